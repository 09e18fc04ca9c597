// Additive increase by received chunks, multiplicative decrease by delay.
#include "chalkwell/swarm/fetch_window.hpp"

#include <algorithm>

namespace chalkwell::swarm {
namespace {

/// Long enough for several chunks to arrive on a link of a few Mbit/s.
constexpr auto kSamplingWindow = std::chrono::milliseconds(500);
/// How long the newest sample is used: chunks are rare on a degraded link.
constexpr auto kSampleLifetime = std::chrono::seconds(3);

}  // namespace

FetchWindow::FetchWindow(FetchWindowSettings settings)
    : settings_(settings), size_(settings.initial_size_) {}

void FetchWindow::Start() noexcept {
  size_ = std::min(size_, settings_.initial_size_);
  received_ = 0;
}

void FetchWindow::OnChunkReceived(core::Duration transfer, std::size_t bytes,
                                  core::TimePoint now) {
  core::Duration transmission_time{};
  if (settings_.bytes_per_second_ > 0) {
    transmission_time = std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(
            static_cast<double>(bytes) /
            static_cast<double>(settings_.bytes_per_second_)));
  }
  const auto queueing_delay =
      std::max<core::Duration>(transfer - transmission_time, core::Duration{});
  const std::chrono::duration<double> seconds =
      std::max<core::Duration>(transfer, std::chrono::milliseconds(1));
  const auto rate = static_cast<double>(size_ * bytes) / seconds.count();
  samples_.push_back({now, queueing_delay, rate});
  while (now - samples_.front().at_ > kSamplingWindow) {
    samples_.pop_front();
  }
  ++received_;
  const auto delay = QueueingDelay(now);
  if (delay > settings_.shrink_above_) {
    if (now - decreased_at_ >= settings_.min_decrease_interval_) {
      size_ = std::max(settings_.min_size_, size_ / 2);
      decreased_at_ = now;
    }
    received_ = 0;
  } else if (delay < settings_.grow_below_ && received_ >= size_) {
    size_ = std::min(settings_.max_size_, size_ + 1);
    received_ = 0;
  }
}

bool FetchWindow::HasRecentSample(core::TimePoint now) const {
  return !samples_.empty() && now - samples_.back().at_ <= kSampleLifetime;
}

bool FetchWindow::LinkDegraded(core::TimePoint now) const {
  if (!HasRecentSample(now) || settings_.bytes_per_second_ == 0) {
    return false;
  }
  const auto best = std::ranges::max(samples_, {}, &Sample::bytes_per_second_);
  return best.bytes_per_second_ <
         settings_.degraded_rate_fraction_ *
             static_cast<double>(settings_.bytes_per_second_);
}

core::Duration FetchWindow::QueueingDelay(core::TimePoint now) const {
  if (!HasRecentSample(now)) {
    return {};
  }
  auto minimum = samples_.back().queueing_delay_;
  for (const auto& sample : samples_) {
    if (now - sample.at_ <= kSamplingWindow) {
      minimum = std::min(minimum, sample.queueing_delay_);
    }
  }
  return minimum;
}

}  // namespace chalkwell::swarm
