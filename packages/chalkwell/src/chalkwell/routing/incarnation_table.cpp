// What is told goes before what is listed.
#include "chalkwell/routing/incarnation_table.hpp"

#include <algorithm>

namespace chalkwell::routing {
namespace {

/// Dead incarnations remembered of one address: their rows end with their
/// leases, long before as many have followed.
constexpr std::size_t kMaxDead = 8;

}  // namespace

void IncarnationTable::OnRow(const std::string& address,
                             const core::InstanceId& id,
                             std::uint64_t created) {
  auto& known = addresses_[address];
  if (std::ranges::find(known.dead_, id) != known.dead_.end()) {
    return;
  }
  if (known.living_.empty()) {
    known.living_ = id;
  }
  if (known.living_ == id) {
    known.created_ = created;
    return;
  }
  // A told one whose row was not seen yet cannot be compared.
  if (known.created_ > 0 && created > known.created_) {
    known.living_ = id;
    known.created_ = created;
  }
}

void IncarnationTable::OnTold(const std::string& address,
                              const core::InstanceId& id) {
  auto& known = addresses_[address];
  if (known.living_ == id) {
    return;
  }
  std::erase(known.dead_, id);
  if (!known.living_.empty()) {
    known.dead_.push_back(known.living_);
  }
  if (known.dead_.size() > kMaxDead) {
    known.dead_.pop_front();
  }
  known.living_ = id;
  known.created_ = 0;
}

bool IncarnationTable::Lives(const std::string& address,
                             const core::InstanceId& id) const {
  const auto found = addresses_.find(address);
  return found == addresses_.end() || found->second.living_.empty() ||
         found->second.living_ == id;
}

}  // namespace chalkwell::routing
