// Slots are assigned in the rendezvous order of (version, instance).
#include "chalkwell/rollout/rollout_slots.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "chalkwell/core/digest.hpp"

namespace chalkwell::rollout {

RolloutSlots::RolloutSlots(core::InstanceId self, double max_unavailable_share,
                           core::Duration progress_timeout)
    : self_(std::move(self)),
      max_unavailable_share_(max_unavailable_share),
      progress_timeout_(progress_timeout) {}

void RolloutSlots::SetMembers(std::set<core::InstanceId> members) {
  members_ = std::move(members);
}

void RolloutSlots::StartRollout(std::uint64_t version, core::TimePoint now) {
  version_ = version;
  updated_.clear();
  last_progress_ = now;
}

void RolloutSlots::OnServing(const core::InstanceId& member,
                             std::uint64_t version, core::TimePoint now) {
  if (version >= version_ && updated_.insert(member).second) {
    last_progress_ = now;
  }
}

std::size_t RolloutSlots::max_unavailable() const noexcept {
  const auto count =
      max_unavailable_share_ * static_cast<double>(members_.size());
  return std::max<std::size_t>(1, static_cast<std::size_t>(count));
}

std::size_t RolloutSlots::PendingAhead() const {
  const auto item = std::to_string(version_);
  const auto own = core::RendezvousScore(item, self_.value());
  return static_cast<std::size_t>(
      std::ranges::count_if(members_, [&](const core::InstanceId& member) {
        return member != self_ && !updated_.contains(member) &&
               core::RendezvousScore(item, member.value()) > own;
      }));
}

bool RolloutSlots::MayDrain(core::TimePoint now) const {
  const auto expired_timeouts =
      static_cast<std::size_t>((now - last_progress_) / progress_timeout_);
  return PendingAhead() < max_unavailable() * (1 + expired_timeouts);
}

}  // namespace chalkwell::rollout
