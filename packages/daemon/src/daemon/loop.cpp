// libuv loop, timers and signals.
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

std::uint64_t Milliseconds(core::Duration duration) {
  const auto whole = std::chrono::ceil<std::chrono::milliseconds>(duration);
  return static_cast<std::uint64_t>(
      std::max<std::chrono::milliseconds::rep>(0, whole.count()));
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

Loop::Loop() { uv_loop_init(&loop_); }

Loop::~Loop() { uv_loop_close(&loop_); }

core::TimePoint Loop::Now() const noexcept {
  return std::chrono::steady_clock::now();
}

void Loop::Run() { uv_run(&loop_, UV_RUN_DEFAULT); }

void Loop::Stop() noexcept { uv_stop(&loop_); }

void Loop::After(core::Duration delay, std::function<void()> task) {
  auto* timer = new Timer(*this);
  timer->Once(delay, [timer, task = std::move(task)] {
    const auto held = task;
    delete timer;
    held();
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

struct Timer::State {
  uv_timer_t handle_{};
  std::function<void()> task_;
};

Timer::Timer(Loop& loop) : state_(new State) {
  uv_timer_init(loop.raw(), &state_->handle_);
  state_->handle_.data = state_;
}

Timer::~Timer() {
  uv_timer_stop(&state_->handle_);
  uv_close(
      reinterpret_cast<uv_handle_t*>(&state_->handle_),
      [](uv_handle_t* handle) { delete static_cast<State*>(handle->data); });
}

void Timer::Start(core::Duration delay, core::Duration period,
                  std::function<void()> task) {
  state_->task_ = std::move(task);
  uv_update_time(state_->handle_.loop);
  uv_timer_start(
      &state_->handle_,
      [](uv_timer_t* handle) {
        const auto task = static_cast<State*>(handle->data)->task_;
        Guarded(task);
      },
      Milliseconds(delay), Milliseconds(period));
}

void Timer::Once(core::Duration delay, std::function<void()> task) {
  Start(delay, {}, std::move(task));
}

void Timer::Every(core::Duration period, std::function<void()> task) {
  Start(period, period, std::move(task));
}

void Timer::Cancel() noexcept {
  uv_timer_stop(&state_->handle_);
  // What the task holds is let go of with it.
  state_->task_ = nullptr;
}

}  // namespace chalkwell::daemon
