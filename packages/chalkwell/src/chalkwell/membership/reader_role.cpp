// The first in rendezvous order has the duty; silence passes it on, rank by
// rank.
#include "chalkwell/membership/reader_role.hpp"

#include <algorithm>
#include <utility>

#include "chalkwell/membership/role_assignment.hpp"

namespace chalkwell::membership {
namespace {

/// Any fixed text: the duty stays with one member while it lives.
constexpr std::string_view kDuty = "read-list";

}  // namespace

ReaderRole::ReaderRole(core::InstanceId self, ReaderRoleSettings settings)
    : self_(std::move(self)), settings_(settings) {}

void ReaderRole::SetMembers(std::span<const core::InstanceId> members) {
  rank_ = members.empty() ? 0 : RankOf(self_, kDuty, members);
  alone_ = members.size() <= 1;
}

void ReaderRole::OnRead(core::TimePoint now) noexcept {
  asked_at_ = now;
  if (!told_at_) {
    // All members start with a read: the first in rank tells the next ones.
    told_at_ = now;
    alone_until_ = now + settings_.takeover_timeout_;
  }
}

void ReaderRole::OnPeerReadFailed(core::TimePoint now) noexcept {
  tried_at_ = now;
  if (!told_at_) {
    told_at_ = now;
  }
}

bool ReaderRole::IsReader(core::TimePoint now) const noexcept {
  if (rank_ == 0 || !told_at_) {
    return !alone_ || now >= alone_until_.value_or(now);
  }
  const auto behind = static_cast<int>(rank_ - 1);
  const auto heard_at = std::max(*told_at_, tried_at_.value_or(*told_at_));
  const bool silent = now - heard_at >= settings_.takeover_timeout_ +
                                            settings_.rank_delay_ * behind;
  const bool in_vain =
      now - *told_at_ >=
      settings_.takeover_timeout_ + settings_.failed_read_rank_delay_ * behind;
  return silent || in_vain || IsStale(*told_at_, now);
}

bool ReaderRole::IsStale(core::TimePoint as_of,
                         core::TimePoint now) const noexcept {
  const auto tried_at = std::max(tried_at_, failed_at_);
  const bool away = tried_at && *tried_at > as_of;
  return !away && now - as_of >= settings_.max_age_;
}

core::Duration ReaderRole::Interval(core::TimePoint now) const noexcept {
  if (!IsReader(now)) {
    return settings_.standby_interval_;
  }
  if (!told_at_ || !asked_at_ || *told_at_ <= *asked_at_) {
    return settings_.reader_interval_;
  }
  // Told by another domain's reader: that read counts as well.
  const auto wait = settings_.reader_interval_ +
                    settings_.rank_delay_ * static_cast<int>(domains_ahead_);
  return std::min(*told_at_ - *asked_at_ + wait, settings_.standby_interval_);
}

}  // namespace chalkwell::membership
