// Additive increase by arrivals, multiplicative decrease by delay.
#include "chalkwell/swarm/fetch_window.hpp"

#include <algorithm>

namespace chalkwell::swarm {
namespace {

/// Some chunks arrive in it on a link of a few Mbit/s.
constexpr auto kSampleTime = std::chrono::milliseconds(500);
/// On a narrowed link chunks are rare: the last one counts for this long.
constexpr auto kMemory = std::chrono::seconds(3);

}  // namespace

FetchWindow::FetchWindow(FetchWindowSettings settings)
    : settings_(settings), size_(settings.first_) {}

void FetchWindow::Start() noexcept {
  size_ = std::min(size_, settings_.first_);
  arrived_ = 0;
}

void FetchWindow::OnChunkReceived(core::Duration transfer, std::size_t bytes,
                                  core::TimePoint now) {
  core::Duration alone{};
  if (settings_.bytes_per_second_ > 0) {
    alone = std::chrono::duration_cast<core::Duration>(
        std::chrono::duration<double>(
            static_cast<double>(bytes) /
            static_cast<double>(settings_.bytes_per_second_)));
  }
  const auto excess =
      std::max<core::Duration>(transfer - alone, core::Duration{});
  const std::chrono::duration<double> seconds =
      std::max<core::Duration>(transfer, std::chrono::milliseconds(1));
  const auto rate = static_cast<double>(size_ * bytes) / seconds.count();
  samples_.push_back({now, excess, rate});
  while (now - samples_.front().at_ > kSampleTime) {
    samples_.pop_front();
  }
  ++arrived_;
  const auto delay = QueueingDelay(now);
  if (delay > settings_.shrink_above_) {
    if (now - cut_at_ >= settings_.cut_interval_) {
      size_ = std::max(settings_.least_, size_ / 2);
      cut_at_ = now;
    }
    arrived_ = 0;
  } else if (delay < settings_.grow_below_ && arrived_ >= size_) {
    size_ = std::min(settings_.most_, size_ + 1);
    arrived_ = 0;
  }
}

bool FetchWindow::Remembered(core::TimePoint now) const {
  return !samples_.empty() && now - samples_.back().at_ <= kMemory;
}

bool FetchWindow::LinkDegraded(core::TimePoint now) const {
  if (!Remembered(now) || settings_.bytes_per_second_ == 0) {
    return false;
  }
  const auto best = std::ranges::max(samples_, {}, &Sample::bytes_per_second_);
  return best.bytes_per_second_ <
         settings_.narrowed_share_ *
             static_cast<double>(settings_.bytes_per_second_);
}

core::Duration FetchWindow::QueueingDelay(core::TimePoint now) const {
  if (!Remembered(now)) {
    return {};
  }
  auto least = samples_.back().excess_;
  for (const auto& sample : samples_) {
    if (now - sample.at_ <= kSampleTime) {
      least = std::min(least, sample.excess_);
    }
  }
  return least;
}

}  // namespace chalkwell::swarm
