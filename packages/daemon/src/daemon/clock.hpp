// The clocks of the daemons: the only place that reads them. They differ by the
// time for which the machine was suspended.
#pragma once

#include <functional>
#include <optional>

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::daemon {

/// @brief Monotonic time since the machine started. It goes on while the
/// machine is suspended (CLOCK_BOOTTIME), so that what a process knows ages
/// meanwhile.
[[nodiscard]] core::TimePoint BootTime() noexcept;
/// @brief Monotonic time without suspensions (CLOCK_MONOTONIC): what libuv's
/// timers go by.
[[nodiscard]] core::TimePoint RunningTime() noexcept;

/// @brief Clocks of a loop.
struct LoopClocks {
  std::function<core::TimePoint()> now_ = BootTime;
  std::function<core::TimePoint()> running_ = RunningTime;
};

/// @brief Notices that the machine was suspended: one clock ran on alone.
class SuspensionDetector {
 public:
  /// @brief Compares the clocks.
  /// @return how long the machine was suspended since the last call; zero when
  /// it was not.
  [[nodiscard]] core::Duration Check(const LoopClocks& clocks);

 private:
  /// Time suspended since the machine started; none before the first call.
  std::optional<core::Duration> suspended_;
};

}  // namespace chalkwell::daemon
