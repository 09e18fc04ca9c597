// The first in rendezvous order has the duty; silence gives it to everyone.
#include "chalkwell/membership/read_duty.hpp"

#include <utility>

#include "chalkwell/membership/duties.hpp"

namespace chalkwell::membership {
namespace {

/// Any fixed text: the duty stays with one member while it lives.
constexpr std::string_view kDuty = "read-list";

}  // namespace

ReadDuty::ReadDuty(core::InstanceId self, ReadDutySettings settings)
    : self_(std::move(self)), settings_(settings) {}

void ReadDuty::SetMembers(std::span<const core::InstanceId> members) {
  elected_ = members.empty() || RankOf(self_, kDuty, members) == 0;
}

core::Duration ReadDuty::Interval(core::TimePoint now) const noexcept {
  const bool told = told_at_ && now - *told_at_ < settings_.patience_;
  return elected_ || !told ? settings_.often_ : settings_.seldom_;
}

}  // namespace chalkwell::membership
