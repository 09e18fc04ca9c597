// Reads the Linux clocks.
#include "daemon/clock.hpp"

#include <algorithm>
#include <chrono>
#include <ctime>

namespace chalkwell::daemon {
namespace {

/// Shorter suspensions only make timers fire late and are not reported.
constexpr auto kMinSuspension = std::chrono::milliseconds(20);

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
  auto offset = clocks.now_() - running;
  if (!reported_offset_) {
    reported_offset_ = offset;
  }
  if (offset - *reported_offset_ >= kMinSuspension) {
    // A pause of the process between the two reads makes the difference too
    // large. Reading the clocks in the opposite order makes it too small.
    const auto now = clocks.now_();
    offset = std::min(offset, now - clocks.running_());
  }
  const auto increase = offset - *reported_offset_;
  if (increase < kMinSuspension) {
    return {};
  }
  reported_offset_ = offset;
  return increase;
}

}  // namespace chalkwell::daemon
