// The event loop and its timers. Timers are due by the time that includes
// suspensions of the machine; libuv's own are not.
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

/// @brief Owner of one libuv loop.
class Loop {
 public:
  explicit Loop(LoopClocks clocks = {});
  ~Loop();
  Loop(const Loop&) = delete;
  Loop& operator=(const Loop&) = delete;

  [[nodiscard]] uv_loop_t* raw() noexcept { return &loop_; }
  /// @brief Monotonic time now, suspensions included.
  [[nodiscard]] core::TimePoint Now() const { return clocks_.now_(); }

  /// @brief Runs until Stop.
  void Run();
  void Stop() noexcept;
  /// @brief Runs a task on the next turn of the loop.
  void Post(std::function<void()> task) { After({}, std::move(task)); }
  /// @brief Runs a task once, later; it cannot be cancelled.
  void After(core::Duration delay, std::function<void()> task);
  /// @brief Calls `handler` at each arrival of a signal.
  void OnSignal(int number, std::function<void()> handler);
  /// @brief Calls `handler` after a suspension of the machine, with its length,
  /// once the timers are set anew. It is noticed at the next event or timer.
  void OnResume(std::function<void(core::Duration suspended)> handler);

 private:
  friend class Timer;
  friend struct internal::TimerState;

  void CheckSuspension();

  LoopClocks clocks_;
  SuspensionDetector suspension_;
  std::function<void(core::Duration)> on_resume_;
  uv_loop_t loop_{};
  /// Runs after each wait for events.
  uv_check_t check_{};
  /// Timers that are set.
  std::set<internal::TimerState*> timers_;
};

/// @brief A timer; destroying it cancels it.
class Timer {
 public:
  explicit Timer(Loop& loop);
  ~Timer();
  Timer(const Timer&) = delete;
  Timer& operator=(const Timer&) = delete;

  void Once(core::Duration delay, std::function<void()> task);
  void Every(core::Duration period, std::function<void()> task);
  void Cancel() noexcept;

 private:
  void Start(core::Duration delay, core::Duration period,
             std::function<void()> task);

  /// Freed by the loop.
  internal::TimerState* state_;
};

/// @brief Runs a task at the edge of a C callback: no exception passes it.
void Guarded(const std::function<void()>& task) noexcept;
/// @brief Receives what Guarded caught.
void SetUncaughtHandler(std::function<void(const std::exception&)> handler);

}  // namespace chalkwell::daemon
