// Event loop, timers and signals with libuv.
#include "daemon/loop.hpp"

#include <algorithm>
#include <exception>
#include <utility>

namespace chalkwell::daemon {
namespace {

std::function<void(const std::exception&)>& UncaughtHandler() {
  static std::function<void(const std::exception&)> handler;
  return handler;
}

std::uint64_t ToMilliseconds(core::Duration duration) {
  const auto rounded = std::chrono::ceil<std::chrono::milliseconds>(duration);
  return static_cast<std::uint64_t>(
      std::max<std::chrono::milliseconds::rep>(0, rounded.count()));
}

struct SignalState {
  uv_signal_t handle_{};
  std::function<void()> handler_;
};

}  // namespace

void Guarded(const std::function<void()>& task) noexcept {
  try {
    task();
  } catch (const std::exception& error) {
    if (UncaughtHandler()) {
      UncaughtHandler()(error);
    }
  }
}

void SetUncaughtHandler(std::function<void(const std::exception&)> handler) {
  UncaughtHandler() = std::move(handler);
}

namespace internal {

/// State of one timer. It outlives the Timer until the loop has closed the
/// handle.
struct TimerState {
  explicit TimerState(Loop& loop) : loop_(loop) {}

  /// Starts libuv's timer with the time left until `due_`.
  void Arm() {
    uv_update_time(handle_.loop);
    uv_timer_start(&handle_, Fire, ToMilliseconds(due_ - loop_.Now()), 0);
  }

  static void Fire(uv_timer_t* handle);

  uv_timer_t handle_{};
  Loop& loop_;
  core::TimePoint due_;
  /// Zero for a timer that fires once.
  core::Duration period_{};
  std::function<void()> task_;
};

}  // namespace internal

Loop::Loop(LoopClocks clocks) : clocks_(std::move(clocks)) {
  // Sets the baseline: earlier suspensions do not count.
  (void)suspension_.Check(clocks_);
  uv_loop_init(&loop_);
  uv_check_init(&loop_, &check_);
  check_.data = this;
  uv_check_start(&check_, [](uv_check_t* handle) {
    static_cast<Loop*>(handle->data)->CheckSuspension();
  });
  uv_unref(reinterpret_cast<uv_handle_t*>(&check_));
}

Loop::~Loop() {
  const bool idle = uv_loop_alive(&loop_) == 0;
  uv_close(reinterpret_cast<uv_handle_t*>(&check_), nullptr);
  if (idle) {
    // Closes check_, the only handle left.
    uv_run(&loop_, UV_RUN_NOWAIT);
  }
  uv_loop_close(&loop_);
}

void Loop::CheckSuspension() {
  const auto suspended = suspension_.Check(clocks_);
  if (suspended == core::Duration{}) {
    return;
  }
  for (auto* timer : timers_) {
    timer->Arm();
  }
  if (on_resume_) {
    Guarded([&] { on_resume_(suspended); });
  }
}

void Loop::OnResume(std::function<void(core::Duration suspended)> handler) {
  on_resume_ = std::move(handler);
}

void Loop::Run() { uv_run(&loop_, UV_RUN_DEFAULT); }

void Loop::Stop() noexcept { uv_stop(&loop_); }

void Loop::After(core::Duration delay, std::function<void()> task) {
  auto* timer = new Timer(*this);
  timer->Once(delay, [timer, task = std::move(task)] {
    const auto task_copy = task;
    delete timer;
    task_copy();
  });
}

void Loop::OnSignal(int number, std::function<void()> handler) {
  auto* state = new SignalState{{}, std::move(handler)};
  uv_signal_init(&loop_, &state->handle_);
  state->handle_.data = state;
  uv_signal_start(
      &state->handle_,
      [](uv_signal_t* handle, int) {
        Guarded(static_cast<SignalState*>(handle->data)->handler_);
      },
      number);
  uv_unref(reinterpret_cast<uv_handle_t*>(&state->handle_));
}

void internal::TimerState::Fire(uv_timer_t* handle) {
  auto& state = *static_cast<TimerState*>(handle->data);
  const auto task = state.task_;
  if (state.period_ > core::Duration{}) {
    state.due_ = state.loop_.Now() + state.period_;
    state.Arm();
  } else {
    state.loop_.timers_.erase(&state);
  }
  Guarded(task);
}

Timer::Timer(Loop& loop) : state_(new internal::TimerState(loop)) {
  uv_timer_init(loop.raw(), &state_->handle_);
  state_->handle_.data = state_;
}

Timer::~Timer() {
  state_->loop_.timers_.erase(state_);
  uv_timer_stop(&state_->handle_);
  uv_close(reinterpret_cast<uv_handle_t*>(&state_->handle_),
           [](uv_handle_t* handle) {
             delete static_cast<internal::TimerState*>(handle->data);
           });
}

void Timer::Start(core::Duration delay, core::Duration period,
                  std::function<void()> task) {
  state_->task_ = std::move(task);
  state_->due_ = state_->loop_.Now() + delay;
  state_->period_ = period;
  state_->loop_.timers_.insert(state_);
  state_->Arm();
}

void Timer::Once(core::Duration delay, std::function<void()> task) {
  Start(delay, {}, std::move(task));
}

void Timer::Every(core::Duration period, std::function<void()> task) {
  Start(period, period, std::move(task));
}

void Timer::Cancel() noexcept {
  state_->loop_.timers_.erase(state_);
  uv_timer_stop(&state_->handle_);
  // Releases what the task captured.
  state_->task_ = nullptr;
}

}  // namespace chalkwell::daemon
