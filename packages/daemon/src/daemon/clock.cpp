// Linux clocks as time points of one type.
#include "daemon/clock.hpp"

#include <algorithm>
#include <chrono>
#include <ctime>

namespace chalkwell::daemon {
namespace {

/// Shorter suspensions are left to the timers' own lateness.
constexpr auto kLeastSuspension = std::chrono::milliseconds(20);
core::TimePoint Read(clockid_t clock) noexcept {
  timespec time{};
  ::clock_gettime(clock, &time);
  return core::TimePoint(std::chrono::seconds(time.tv_sec) +
                         std::chrono::nanoseconds(time.tv_nsec));
}

}  // namespace

core::TimePoint BootTime() noexcept { return Read(CLOCK_BOOTTIME); }

core::TimePoint RunningTime() noexcept { return Read(CLOCK_MONOTONIC); }

core::Duration SuspensionDetector::Check(const LoopClocks& clocks) {
  const auto running = clocks.running_();
  auto suspended = clocks.now_() - running;
  if (!suspended_) {
    suspended_ = suspended;
  }
  if (suspended - *suspended_ >= kLeastSuspension) {
    // The process may have been paused between the two reads: the other order
    // shows the clocks too close then, not too far apart.
    const auto now = clocks.now_();
    suspended = std::min(suspended, now - clocks.running_());
  }
  const auto grown = suspended - *suspended_;
  if (grown < kLeastSuspension) {
    return {};
  }
  suspended_ = suspended;
  return grown;
}

}  // namespace chalkwell::daemon
