// One-way delay without synchronized clocks.
#include "chalkwell/membership/path_delay.hpp"

#include <algorithm>

namespace chalkwell::membership {
namespace {

/// Long enough for some messages, short enough to follow a link.
constexpr auto kWindow = std::chrono::seconds(1);

}  // namespace

core::Duration PathDelay::OnMessage(core::Duration sent_at,
                                    core::TimePoint now) {
  const auto difference = now.time_since_epoch() - sent_at;
  least_ = std::min(least_.value_or(difference), difference);
  return difference - *least_;
}

void LinkDelay::OnMessage(core::Duration delay, core::TimePoint now) {
  samples_.push_back({now, delay});
  while (now - samples_.front().at_ > kWindow) {
    samples_.pop_front();
  }
}

core::Duration LinkDelay::At(core::TimePoint now) const {
  std::optional<core::Duration> least;
  for (const auto& sample : samples_) {
    if (now - sample.at_ <= kWindow) {
      least = std::min(least.value_or(sample.delay_), sample.delay_);
    }
  }
  return least.value_or(core::Duration{});
}

}  // namespace chalkwell::membership
