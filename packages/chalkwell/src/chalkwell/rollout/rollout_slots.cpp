// Turns by rendezvous rank of (version, instance).
#include "chalkwell/rollout/rollout_slots.hpp"

#include <algorithm>
#include <string>
#include <utility>

#include "chalkwell/core/digest.hpp"

namespace chalkwell::rollout {

RolloutSlots::RolloutSlots(core::InstanceId self, double share,
                           core::Duration lease)
    : self_(std::move(self)), share_(share), lease_(lease) {}

void RolloutSlots::SetMembers(std::set<core::InstanceId> members) {
  members_ = std::move(members);
}

void RolloutSlots::StartRollout(std::uint64_t version, core::TimePoint now) {
  version_ = version;
  done_.clear();
  last_progress_ = now;
}

void RolloutSlots::OnServing(const core::InstanceId& member,
                             std::uint64_t version, core::TimePoint now) {
  if (version >= version_ && done_.insert(member).second) {
    last_progress_ = now;
  }
}

std::size_t RolloutSlots::allowed_out() const noexcept {
  const auto allowed = share_ * static_cast<double>(members_.size());
  return std::max<std::size_t>(1, static_cast<std::size_t>(allowed));
}

std::size_t RolloutSlots::PendingAhead() const {
  const auto item = std::to_string(version_);
  const auto own = core::RendezvousScore(item, self_.value());
  return static_cast<std::size_t>(
      std::ranges::count_if(members_, [&](const core::InstanceId& member) {
        return member != self_ && !done_.contains(member) &&
               core::RendezvousScore(item, member.value()) > own;
      }));
}

bool RolloutSlots::MayDrain(core::TimePoint now) const {
  const auto expired_leases =
      static_cast<std::size_t>((now - last_progress_) / lease_);
  return PendingAhead() < allowed_out() * (1 + expired_leases);
}

}  // namespace chalkwell::rollout
