// Announcements take precedence over listed rows.
#include "chalkwell/routing/incarnation_table.hpp"

#include <algorithm>

namespace chalkwell::routing {
namespace {

/// Previous incarnations kept per address. Their rows disappear when their
/// leases expire, long before as many incarnations have followed.
constexpr std::size_t kMaxPrevious = 8;

bool Contains(const std::deque<EndpointIncarnation>& incarnations,
              const EndpointIncarnation& incarnation) {
  return std::ranges::any_of(incarnations,
                             [&](const EndpointIncarnation& other) {
                               return MayBeSameIncarnation(other, incarnation);
                             });
}

bool ContainsId(const std::deque<EndpointIncarnation>& incarnations,
                const core::InstanceId& id) {
  return std::ranges::find(incarnations, id, &EndpointIncarnation::id_) !=
         incarnations.end();
}

}  // namespace

void IncarnationTable::Supersede(AddressState& state,
                                 const EndpointIncarnation& incarnation) {
  std::erase_if(state.previous_, [&](const EndpointIncarnation& previous) {
    return MayBeSameIncarnation(previous, incarnation);
  });
  if (!state.current_.id_.empty()) {
    state.previous_.push_back(state.current_);
  }
  if (state.previous_.size() > kMaxPrevious) {
    state.previous_.pop_front();
  }
  state.current_ = incarnation;
  state.created_revision_ = {};
}

void IncarnationTable::OnRow(const std::string& address,
                             const EndpointIncarnation& incarnation,
                             core::StoreRevision created) {
  auto& state = addresses_[address];
  if (Contains(state.previous_, incarnation)) {
    return;
  }
  auto& current = state.current_;
  if (current.id_.empty()) {
    current = incarnation;
  }
  if (MayBeSameIncarnation(current, incarnation)) {
    state.created_revision_ = created;
    if (!current.started_) {
      current.started_ = incarnation.started_;
    }
    return;
  }
  // Incarnations of one id share one row, so one not seen before is the latest,
  // even if another id was current in between. Rows of two ids are compared by
  // age, except with an announced incarnation whose row was not seen yet.
  const bool restarted = current.id_ == incarnation.id_ ||
                         ContainsId(state.previous_, incarnation.id_);
  const bool newer =
      state.created_revision_.known() && created > state.created_revision_;
  if (restarted || newer) {
    Supersede(state, incarnation);
    state.created_revision_ = created;
  }
}

void IncarnationTable::OnAnnounced(const std::string& address,
                                   const EndpointIncarnation& incarnation) {
  auto& state = addresses_[address];
  if (MayBeSameIncarnation(state.current_, incarnation)) {
    if (!state.current_.started_) {
      state.current_.started_ = incarnation.started_;
    }
    return;
  }
  Supersede(state, incarnation);
}

bool IncarnationTable::IsCurrent(const std::string& address,
                                 const EndpointIncarnation& incarnation) const {
  const auto found = addresses_.find(address);
  return found == addresses_.end() || found->second.current_.id_.empty() ||
         MayBeSameIncarnation(found->second.current_, incarnation);
}

}  // namespace chalkwell::routing
