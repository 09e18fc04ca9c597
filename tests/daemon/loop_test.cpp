// Timers of the loop across a suspension of the machine, which is detected by
// comparing a clock that counts suspended time with one that does not.
#include "daemon/loop.hpp"

#include <catch2/catch.hpp>

namespace chalkwell::daemon {
namespace {

using namespace std::chrono_literals;

/// A loop on clocks that show a suspension of the machine. A periodic timer
/// wakes the loop up, so that it compares its clocks.
struct Fixture {
  Fixture() {
    keep_awake_timer_.Every(10ms, [] {});
  }

  core::Duration suspended_{};
  Loop loop_{LoopClocks{.now_ = [this] { return RunningTime() + suspended_; },
                        .running_ = RunningTime}};
  Timer keep_awake_timer_{loop_};
};

TEST_CASE("a timer that is due during a suspension fires after it", "[loop]") {
  const bool periodic = GENERATE(false, true);
  CAPTURE(periodic);
  Fixture fixture;
  std::vector<core::Duration> suspensions;
  fixture.loop_.OnResume(
      [&](core::Duration length) { suspensions.push_back(length); });
  Timer timer(fixture.loop_);
  const auto stop_loop = [&] { fixture.loop_.Stop(); };
  periodic ? timer.Every(1h, stop_loop) : timer.Once(1h, stop_loop);
  fixture.loop_.Post([&] { fixture.suspended_ = 2h; });
  Timer timeout(fixture.loop_);
  timeout.Once(3h,
               [&] { FAIL("the timer did not fire after the suspension"); });
  fixture.loop_.Run();
  REQUIRE(suspensions.size() == 1);
  CHECK(suspensions.front() > 2h - 1min);
  CHECK(suspensions.front() < 2h + 1min);
}

TEST_CASE("a timer that is not due after a suspension keeps its remaining time",
          "[loop]") {
  Fixture fixture;
  Timer due_timer(fixture.loop_);
  Timer later_timer(fixture.loop_);
  bool fired = false;
  due_timer.Once(1h, [&] { fixture.loop_.Stop(); });
  later_timer.Once(5h, [&] { fired = true; });
  fixture.loop_.Post([&] { fixture.suspended_ = 2h; });
  fixture.loop_.Run();
  CHECK_FALSE(fired);
  fixture.loop_.Post([&] { fixture.suspended_ = 6h; });
  later_timer.Once(5h - 2h, [&] {
    fired = true;
    fixture.loop_.Stop();
  });
  fixture.loop_.Run();
  CHECK(fired);
}

TEST_CASE("a paused process is not taken for a suspended machine", "[loop]") {
  core::Duration paused{};
  bool between_reads = false;
  SuspensionDetector detector;
  const LoopClocks clocks{
      .now_ =
          [&] {
            paused += between_reads ? 4s : 0s;
            between_reads = false;
            return core::TimePoint{} + 10s + paused;
          },
      .running_ = [&] { return core::TimePoint{} + 10s + paused; }};
  CHECK(detector.Check(clocks) == core::Duration{});
  // The process is paused between reading the two clocks.
  between_reads = true;
  CHECK(detector.Check(clocks) == core::Duration{});
  CHECK(detector.Check(clocks) == core::Duration{});
}

}  // namespace
}  // namespace chalkwell::daemon
