// Timers and the two clocks of a machine that is suspended.
#include "daemon/loop.hpp"

#include <catch2/catch.hpp>

namespace chalkwell::daemon {
namespace {

using namespace std::chrono_literals;

/// A loop whose machine can be suspended, and which has something to do now and
/// then, as daemons have.
struct Fixture {
  Fixture() {
    tick_.Every(10ms, [] {});
  }

  core::Duration suspended_{};
  Loop loop_{LoopClocks{.now_ = [this] { return RunningTime() + suspended_; },
                        .running_ = RunningTime}};
  Timer tick_{loop_};
};

TEST_CASE("a timer that is due during a suspension fires after it", "[loop]") {
  const bool periodic = GENERATE(false, true);
  CAPTURE(periodic);
  Fixture fixture;
  std::vector<core::Duration> resumed;
  fixture.loop_.OnResume(
      [&](core::Duration length) { resumed.push_back(length); });
  Timer timer(fixture.loop_);
  const auto stop = [&] { fixture.loop_.Stop(); };
  periodic ? timer.Every(1h, stop) : timer.Once(1h, stop);
  fixture.loop_.Post([&] { fixture.suspended_ = 2h; });
  Timer guard(fixture.loop_);
  guard.Once(3h, [&] { FAIL("the timer has not fired"); });
  fixture.loop_.Run();
  REQUIRE(resumed.size() == 1);
  CHECK(resumed.front() > 2h - 1min);
  CHECK(resumed.front() < 2h + 1min);
}

TEST_CASE("a timer that is not due yet keeps what is left of its time",
          "[loop]") {
  Fixture fixture;
  Timer due(fixture.loop_);
  Timer later(fixture.loop_);
  bool fired = false;
  due.Once(1h, [&] { fixture.loop_.Stop(); });
  later.Once(5h, [&] { fired = true; });
  fixture.loop_.Post([&] { fixture.suspended_ = 2h; });
  fixture.loop_.Run();
  CHECK_FALSE(fired);
  fixture.loop_.Post([&] { fixture.suspended_ = 6h; });
  later.Once(5h - 2h, [&] {
    fired = true;
    fixture.loop_.Stop();
  });
  fixture.loop_.Run();
  CHECK(fired);
}

TEST_CASE("a process that is paused is not taken for a suspended machine",
          "[loop]") {
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
  // It is paused between its looks at the two clocks.
  between_reads = true;
  CHECK(detector.Check(clocks) == core::Duration{});
  CHECK(detector.Check(clocks) == core::Duration{});
}

}  // namespace
}  // namespace chalkwell::daemon
