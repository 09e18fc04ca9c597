// The rate is measured over the last second.
#include "chalkwell/swarm/availability_forecast.hpp"

#include <chrono>

namespace chalkwell::swarm {
namespace {

/// Sampling window: long compared with the gaps between chunks of an origin of
/// a few Mbit/s, short compared with an outage.
constexpr auto kSamplingWindow = std::chrono::seconds(1);

}  // namespace

void AvailabilityForecast::Start(std::size_t chunks, core::TimePoint now) {
  chunks_ = chunks;
  started_ = now;
  samples_.clear();
}

void AvailabilityForecast::OnAvailable(std::size_t available,
                                       core::TimePoint now) {
  if (samples_.empty() || available != samples_.back().available_) {
    samples_.push_back({now, available});
  }
  while (samples_.size() > 1 && now - samples_[1].at_ >= kSamplingWindow) {
    samples_.pop_front();
  }
}

bool AvailabilityForecast::HasRate(core::TimePoint now) const {
  return now - started_ >= kSamplingWindow;
}

std::optional<core::Duration> AvailabilityForecast::TimeLeft(
    core::TimePoint now) const {
  if (chunks_ == 0 || samples_.empty()) {
    return std::nullopt;
  }
  const auto available = samples_.back().available_;
  if (available >= chunks_) {
    return core::Duration{};
  }
  const auto gained = available - samples_.front().available_;
  if (!HasRate(now) || gained == 0 ||
      now - samples_.back().at_ >= kSamplingWindow) {
    return std::nullopt;
  }
  const auto span = now - samples_.front().at_;
  const auto remaining = static_cast<double>(chunks_ - available);
  return std::chrono::duration_cast<core::Duration>(
      std::chrono::duration<double, core::Duration::period>(span) * remaining /
      static_cast<double>(gained));
}

}  // namespace chalkwell::swarm
