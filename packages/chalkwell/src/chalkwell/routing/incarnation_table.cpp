// What is told goes before what is listed.
#include "chalkwell/routing/incarnation_table.hpp"

#include <algorithm>

namespace chalkwell::routing {
namespace {

/// Dead lives remembered of one address: their rows end with their leases, long
/// before as many have followed.
constexpr std::size_t kMaxDead = 8;

bool Holds(const std::deque<EndpointIncarnation>& lives,
           const EndpointIncarnation& life) {
  return std::ranges::any_of(lives, [&](const EndpointIncarnation& known) {
    return SameIncarnation(known, life);
  });
}

bool HoldsId(const std::deque<EndpointIncarnation>& lives,
             const core::InstanceId& id) {
  return std::ranges::find(lives, id, &EndpointIncarnation::id_) != lives.end();
}

}  // namespace

void IncarnationTable::Follow(Known& known, const EndpointIncarnation& life) {
  std::erase_if(known.dead_, [&](const EndpointIncarnation& dead) {
    return SameIncarnation(dead, life);
  });
  if (!known.living_.id_.empty()) {
    known.dead_.push_back(known.living_);
  }
  if (known.dead_.size() > kMaxDead) {
    known.dead_.pop_front();
  }
  known.living_ = life;
  known.created_ = 0;
}

void IncarnationTable::OnRow(const std::string& address,
                             const EndpointIncarnation& life,
                             std::uint64_t created) {
  auto& known = addresses_[address];
  if (Holds(known.dead_, life)) {
    return;
  }
  auto& living = known.living_;
  if (living.id_.empty()) {
    living = life;
  }
  if (SameIncarnation(living, life)) {
    known.created_ = created;
    if (!living.started_) {
      living.started_ = life.started_;
    }
    return;
  }
  // Lives of one id follow each other in one row: a life that was not there
  // before is the latest, also where another id came between. Of two ids a told
  // one whose row was not seen yet cannot be compared.
  const bool again = living.id_ == life.id_ || HoldsId(known.dead_, life.id_);
  const bool newer = known.created_ > 0 && created > known.created_;
  if (again || newer) {
    Follow(known, life);
    known.created_ = created;
  }
}

void IncarnationTable::OnTold(const std::string& address,
                              const EndpointIncarnation& life) {
  auto& known = addresses_[address];
  if (SameIncarnation(known.living_, life)) {
    if (!known.living_.started_) {
      known.living_.started_ = life.started_;
    }
    return;
  }
  Follow(known, life);
}

bool IncarnationTable::Lives(const std::string& address,
                             const EndpointIncarnation& life) const {
  const auto found = addresses_.find(address);
  return found == addresses_.end() || found->second.living_.id_.empty() ||
         SameIncarnation(found->second.living_, life);
}

}  // namespace chalkwell::routing
