// The first members in rank watch; the others take over rank by rank when those
// ahead stop announcing themselves. A member that has just read the document
// also waits for the takeover timeout: otherwise all members that start
// together watch until the first announcement arrives (some 200 ms and 298
// calls with 149 members).
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
    announced_at_ = now;
  }
}

std::size_t WatcherRole::WatcherCount(core::TimePoint now) const {
  if (bytes_ > 0) {
    return std::clamp<std::size_t>(settings_.max_bytes_per_domain_ / bytes_, 1,
                                   settings_.max_watchers_);
  }
  const bool long_read =
      reading_since_ && now - *reading_since_ >= settings_.small_read_limit_;
  return long_read ? 1 : settings_.max_watchers_;
}

bool WatcherRole::IsWatcher(core::TimePoint now) const {
  const auto watchers = WatcherCount(now);
  const auto waiting_since =
      announced_at_ || bytes_ == 0 ? announced_at_ : reading_since_;
  if (rank_ < watchers || !waiting_since) {
    return true;
  }
  const auto standbys_ahead = static_cast<int>(rank_ - watchers);
  return now - *waiting_since >=
         settings_.takeover_timeout_ + settings_.rank_delay_ * standbys_ahead;
}

core::Duration WatcherRole::ReadDelay(core::TimePoint now) const {
  return WatcherCount(now) == settings_.max_watchers_
             ? core::Duration{}
             : settings_.read_rank_delay_ * static_cast<int>(rank_);
}

bool WatcherRole::MustAnnounce(core::TimePoint now) const {
  return WatcherCount(now) < members_.size() && IsWatcher(now);
}

}  // namespace chalkwell::membership
