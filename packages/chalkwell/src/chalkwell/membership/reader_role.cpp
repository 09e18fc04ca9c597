// Rank 0 is the reader; the other ranks take over one after the other when
// announcements cease.
#include "chalkwell/membership/reader_role.hpp"

#include <algorithm>
#include <utility>

#include "chalkwell/membership/role_assignment.hpp"

namespace chalkwell::membership {
namespace {

/// Hash key of the reader role. The text is arbitrary but fixed: the role stays
/// with one member while it lives.
constexpr std::string_view kReaderRoleKey = "read-list";

}  // namespace

ReaderRole::ReaderRole(core::InstanceId self, ReaderRoleSettings settings)
    : self_(std::move(self)), settings_(settings) {}

void ReaderRole::SetMembers(std::span<const core::InstanceId> members) {
  rank_ = members.empty() ? 0 : RankOf(self_, kReaderRoleKey, members);
  alone_ = members.size() <= 1;
}

void ReaderRole::OnRead(core::TimePoint now) noexcept {
  attempted_at_ = now;
  if (!list_age_base_) {
    // Every member reads once at its start; from then on the others wait for
    // the announcements of the first in rank.
    list_age_base_ = now;
    discovery_until_ = now + settings_.takeover_timeout_;
  }
}

void ReaderRole::OnPeerReadFailed(core::TimePoint now) noexcept {
  peer_failed_at_ = now;
  if (!list_age_base_) {
    list_age_base_ = now;
  }
}

bool ReaderRole::IsReader(core::TimePoint now) const noexcept {
  if (rank_ == 0 || !list_age_base_) {
    return !alone_ || now >= discovery_until_.value_or(now);
  }
  const auto standbys_ahead = static_cast<int>(rank_ - 1);
  const auto announced_at =
      std::max(*list_age_base_, peer_failed_at_.value_or(*list_age_base_));
  const bool no_announcement =
      now - announced_at >=
      settings_.takeover_timeout_ + settings_.rank_delay_ * standbys_ahead;
  const bool peers_fail =
      now - *list_age_base_ >=
      settings_.takeover_timeout_ +
          settings_.failed_read_rank_delay_ * standbys_ahead;
  return no_announcement || peers_fail || IsStale(*list_age_base_, now);
}

bool ReaderRole::IsStale(core::TimePoint as_of,
                         core::TimePoint now) const noexcept {
  const auto last_failure = std::max(peer_failed_at_, failed_at_);
  const bool unreachable = last_failure && *last_failure > as_of;
  return !unreachable && now - as_of >= settings_.max_age_;
}

core::Duration ReaderRole::Interval(core::TimePoint now) const noexcept {
  if (!IsReader(now)) {
    return settings_.standby_interval_;
  }
  if (!list_age_base_ || !attempted_at_ || *list_age_base_ <= *attempted_at_) {
    return settings_.reader_interval_;
  }
  // A read announced by the reader of another domain replaces one by this
  // member.
  const auto delay = settings_.reader_interval_ +
                     settings_.rank_delay_ * static_cast<int>(domains_ahead_);
  return std::min(*list_age_base_ - *attempted_at_ + delay,
                  settings_.standby_interval_);
}

}  // namespace chalkwell::membership
