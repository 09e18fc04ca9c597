// The first in rendezvous order watch; the silence of all ahead passes the duty
// on, rank by rank. Who has just read the document waits that long for a first
// word, too: after a start of 149 members all watched for some 200 ms, 298
// calls, before the first two of each domain had told them.
#include "chalkwell/membership/watcher_role.hpp"

#include <algorithm>
#include <utility>

#include "chalkwell/membership/role_assignment.hpp"

namespace chalkwell::membership {
WatcherRole::WatcherRole(core::InstanceId self, WatcherRoleSettings settings)
    : self_(std::move(self)), settings_(settings), members_{self_} {}

std::vector<core::InstanceId> WatcherRole::FirstInRank(
    std::span<const core::InstanceId> members, std::size_t count) {
  return HighestRanked(kWatcherRoleKey, members, count);
}

void WatcherRole::SetMembers(std::span<const core::InstanceId> members) {
  members_ = FirstInRank(members, members.size());
  const auto self = std::ranges::find(members_, self_);
  rank_ = static_cast<std::size_t>(self - members_.begin());
}

void WatcherRole::OnWatcherAnnounced(const core::InstanceId& member,
                                     core::TimePoint now) {
  const auto found = std::ranges::find(members_, member);
  const auto rank = static_cast<std::size_t>(found - members_.begin());
  if (rank < rank_) {
    told_at_ = now;
  }
}

std::size_t WatcherRole::WatcherCount(core::TimePoint now) const {
  if (bytes_ > 0) {
    return std::clamp<std::size_t>(settings_.budget_ / bytes_, 1,
                                   settings_.most_);
  }
  const bool long_read =
      reading_since_ && now - *reading_since_ >= settings_.small_read_;
  return long_read ? 1 : settings_.most_;
}

bool WatcherRole::IsWatcher(core::TimePoint now) const {
  const auto watchers = WatcherCount(now);
  const auto heard_at = told_at_ || bytes_ == 0 ? told_at_ : reading_since_;
  if (rank_ < watchers || !heard_at) {
    return true;
  }
  const auto behind = static_cast<int>(rank_ - watchers);
  return now - *heard_at >= settings_.patience_ + settings_.step_ * behind;
}

bool WatcherRole::MustAnnounce(core::TimePoint now) const {
  return WatcherCount(now) < members_.size() && IsWatcher(now);
}

}  // namespace chalkwell::membership
