// Clocks of the daemons; no other file reads them. BootTime and RunningTime
// differ by the time for which the machine was suspended.
#pragma once

#include <functional>
#include <optional>

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::daemon {

/// @brief Monotonic time that includes suspensions of the machine
/// (CLOCK_BOOTTIME), so that cached state ages during a suspension too.
[[nodiscard]] core::TimePoint BootTime() noexcept;
/// @brief Monotonic time that stops during suspensions of the machine
/// (CLOCK_MONOTONIC). libuv's timers use this clock.
[[nodiscard]] core::TimePoint RunningTime() noexcept;

/// @brief Clocks of a loop; tests replace them.
struct LoopClocks {
  /// Includes suspensions.
  std::function<core::TimePoint()> now_ = BootTime;
  /// Stops during suspensions.
  std::function<core::TimePoint()> running_ = RunningTime;
};

/// @brief Detects suspensions of the machine: the clock that includes them
/// advances further than the other one.
class SuspensionDetector {
 public:
  /// @brief Compares the clocks. The first call sets the baseline.
  /// @return time suspended since the first call or the last suspension
  /// reported; zero while that is less than 20 ms.
  [[nodiscard]] core::Duration Check(const LoopClocks& clocks);

 private:
  /// Difference of the clocks at the first call or at the last suspension
  /// reported; empty before the first call.
  std::optional<core::Duration> reported_offset_;
};

}  // namespace chalkwell::daemon
