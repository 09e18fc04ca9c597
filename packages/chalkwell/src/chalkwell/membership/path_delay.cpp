// Windowed minimum filters for one-way delay.
#include "chalkwell/membership/path_delay.hpp"

#include <algorithm>
#include <utility>

namespace chalkwell::membership {
namespace {

/// Time scale on which a queue on the own link grows and drains.
constexpr auto kShortWindow = std::chrono::milliseconds(250);
/// Messages required in the short window: a single one may show the delay of
/// its sender's link.
constexpr std::size_t kMinSamples = 3;
/// An idle process receives some two messages per second.
constexpr auto kLongWindow = std::chrono::seconds(1);
/// A minimum counts for one to two of these periods: steady clocks drift by
/// less than 30 ms within one, and no queue lasts that long.
constexpr auto kMinimumWindow = std::chrono::minutes(5);
/// A saturated link drops datagrams: the last sample counts for this long.
constexpr auto kLastSampleValidity = std::chrono::seconds(3);

}  // namespace

core::Duration PathDelay::OnMessage(core::Duration sent_at,
                                    core::TimePoint now) {
  const auto difference = now.time_since_epoch() - sent_at;
  if (now - period_start_ >= kMinimumWindow) {
    previous_min_ = std::exchange(min_, std::nullopt);
    period_start_ = now;
  }
  min_ = std::min(min_.value_or(difference), difference);
  return difference - std::min(*min_, previous_min_.value_or(difference));
}

void LinkDelay::OnMessage(core::Duration delay, core::TimePoint now) {
  samples_.push_back({now, delay});
  while (now - samples_.front().at_ > kLongWindow) {
    samples_.pop_front();
  }
}

std::optional<core::Duration> LinkDelay::MinWithin(core::Duration window,
                                                   std::size_t min_samples,
                                                   core::TimePoint now) const {
  std::optional<core::Duration> min;
  std::size_t samples = 0;
  for (const auto& sample : samples_) {
    if (now - sample.at_ <= window) {
      min = std::min(min.value_or(sample.delay_), sample.delay_);
      ++samples;
    }
  }
  return samples >= min_samples ? min : std::nullopt;
}

core::Duration LinkDelay::At(core::TimePoint now) const {
  if (const auto min = MinWithin(kShortWindow, kMinSamples, now)) {
    return *min;
  }
  if (const auto min = MinWithin(kLongWindow, 1, now)) {
    return *min;
  }
  const bool recent =
      !samples_.empty() && now - samples_.back().at_ <= kLastSampleValidity;
  return recent ? samples_.back().delay_ : core::Duration{};
}

}  // namespace chalkwell::membership
