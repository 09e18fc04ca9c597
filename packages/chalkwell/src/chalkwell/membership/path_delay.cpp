// One-way delay without synchronized clocks.
#include "chalkwell/membership/path_delay.hpp"

#include <algorithm>
#include <utility>

namespace chalkwell::membership {
namespace {

/// A queue on the own link grows and drains within this time.
constexpr auto kShortWindow = std::chrono::milliseconds(250);
/// Messages that the short window must hold: one alone may show the delay of
/// its sender's link.
constexpr std::size_t kFewSamples = 3;
/// At rest a process hears some two messages a second.
constexpr auto kLongWindow = std::chrono::seconds(1);
/// How long the least way counts, once or twice: steady clocks drift by less
/// than 30 ms in it, and no queue lasts as long.
constexpr auto kPeriod = std::chrono::minutes(5);
/// A full link loses datagrams: what the last one showed counts for this long.
constexpr auto kMemory = std::chrono::seconds(3);

}  // namespace

core::Duration PathDelay::OnMessage(core::Duration sent_at,
                                    core::TimePoint now) {
  const auto difference = now.time_since_epoch() - sent_at;
  if (now - period_began_ >= kPeriod) {
    least_before_ = std::exchange(least_, std::nullopt);
    period_began_ = now;
  }
  least_ = std::min(least_.value_or(difference), difference);
  return difference - std::min(*least_, least_before_.value_or(difference));
}

void LinkDelay::OnMessage(core::Duration delay, core::TimePoint now) {
  samples_.push_back({now, delay});
  while (now - samples_.front().at_ > kLongWindow) {
    samples_.pop_front();
  }
}

std::optional<core::Duration> LinkDelay::LeastWithin(
    core::Duration window, std::size_t samples, core::TimePoint now) const {
  std::optional<core::Duration> least;
  std::size_t seen = 0;
  for (const auto& sample : samples_) {
    if (now - sample.at_ <= window) {
      least = std::min(least.value_or(sample.delay_), sample.delay_);
      ++seen;
    }
  }
  return seen >= samples ? least : std::nullopt;
}

core::Duration LinkDelay::At(core::TimePoint now) const {
  if (const auto least = LeastWithin(kShortWindow, kFewSamples, now)) {
    return *least;
  }
  if (const auto least = LeastWithin(kLongWindow, 1, now)) {
    return *least;
  }
  const bool remembered =
      !samples_.empty() && now - samples_.back().at_ <= kMemory;
  return remembered ? samples_.back().delay_ : core::Duration{};
}

}  // namespace chalkwell::membership
