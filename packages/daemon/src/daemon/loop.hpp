// Event loop and timers. Timers run on a clock that includes suspensions of the
// machine, unlike libuv's own.
#pragma once

#include <uv.h>

#include <functional>
#include <memory>
#include <set>
#include <utility>

#include "chalkwell/core/fwd.hpp"
#include "daemon/clock.hpp"
#include "daemon/fwd.hpp"

namespace chalkwell::daemon {

namespace internal {
struct TimerState;
}

/// @brief Event loop on top of libuv. Everything runs in the thread of Run.
class Loop {
 public:
  explicit Loop(LoopClocks clocks = {});
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  [[nodiscard]] uv_loop_t* raw() noexcept { return &loop_; }
  /// @brief Monotonic time, suspensions included.
  [[nodiscard]] core::TimePoint Now() const { return clocks_.now_(); }

  /// @brief Runs until Stop, or until nothing is left to wait for.
  void Run();
  void Stop() noexcept;
  /// @brief Runs a task in a later iteration of the loop.
  void Post(std::function<void()> task) { After({}, std::move(task)); }
  /// @brief Runs a task once after a delay; it cannot be cancelled.
  void After(core::Duration delay, std::function<void()> task);
  /// @brief Calls `handler` each time the process receives a signal.
  void OnSignal(int number, std::function<void()> handler);
  /// @brief Sets the handler that is called with the length of a suspension of
  /// the machine, after the timers have been rearmed. A suspension is detected
  /// when the loop next wakes up for an event or a timer.
  void OnResume(std::function<void(core::Duration suspended)> handler);

 private:
  friend class Timer;
  friend struct internal::TimerState;

  void CheckSuspension();

  LoopClocks clocks_;
  SuspensionDetector suspension_;
  std::function<void(core::Duration)> on_resume_;
  uv_loop_t loop_{};
  /// Detects suspensions after each wait for events.
  uv_check_t check_{};
  /// Armed timers.
  std::set<internal::TimerState*> timers_;
};

/// @brief A timer. Destroying it cancels it, and starting it again replaces the
/// pending task.
class Timer {
 public:
  explicit Timer(Loop& loop);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  /// @brief Runs `task` once, `delay` from now.
  void Once(core::Duration delay, std::function<void()> task);
  /// @brief Runs `task` repeatedly, first one `period` from now. Each run is
  /// scheduled one period after the previous one has started.
  void Every(core::Duration period, std::function<void()> task);
  void Cancel() noexcept;

 private:
  void Start(core::Duration delay, core::Duration period,
             std::function<void()> task);

  /// Deleted by the loop once the handle is closed.
  internal::TimerState* state_;
};

/// @brief Runs a task on behalf of a C callback. Passes exceptions derived from
/// std::exception to the handler of SetUncaughtHandler; without a handler they
/// are dropped. Other exceptions terminate the process.
void Guarded(const std::function<void()>& task) noexcept;
/// @brief Sets the handler of exceptions caught by Guarded in this process.
void SetUncaughtHandler(std::function<void(const std::exception&)> handler);

}  // namespace chalkwell::daemon
