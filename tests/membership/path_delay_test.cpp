// Tests of one-way delays without synchronized clocks.
#include "chalkwell/membership/path_delay.hpp"

#include <catch2/catch.hpp>

namespace chalkwell::membership {
namespace {

using namespace std::chrono_literals;

TEST_CASE("the delay is what exceeds the minimum one-way delay",
          "[membership]") {
  const core::Duration offset = GENERATE(0s, 5h, -5h);
  const core::TimePoint start{10h};
  PathDelay path;
  struct Step {
    core::Duration sent_;
    core::Duration one_way_;
    core::Duration delay_;
  };
  for (const auto& step :
       {Step{0ms, 5ms, 0ms}, Step{100ms, 4ms, 0ms}, Step{200ms, 904ms, 900ms},
        Step{300ms, 804ms, 800ms}, Step{2s, 4ms, 0ms}}) {
    const auto sent_at = start.time_since_epoch() + step.sent_ + offset;
    CHECK(path.OnMessage(sent_at, start + step.sent_ + step.one_way_) ==
          step.delay_);
  }
}

TEST_CASE("clock drift does not show as delay", "[membership]") {
  // The minimum of receive time minus send time used to count without a time
  // limit: after a day with a drift of 50 ppm, a message seemed to be delayed
  // by 4.3 s.
  const core::TimePoint start{10h};
  PathDelay path;
  core::Duration max_delay{};
  for (core::Duration at{}; at < 24h; at += 1min) {
    const auto sent_at = start.time_since_epoch() + at - at / 20'000;
    max_delay = std::max(max_delay, path.OnMessage(sent_at, start + at + 5ms));
  }
  CHECK(max_delay < 40ms);
  const core::Duration day = 24h;
  const auto next_day = start + day;
  CHECK(path.OnMessage(next_day.time_since_epoch() - day / 20'000,
                       next_day + 900ms) >= 890ms);
}

TEST_CASE("the delay of a link is the minimum over its senders",
          "[membership]") {
  const core::TimePoint start{10h};
  LinkDelay link;
  CHECK(link.At(start) == 0ms);
  link.OnMessage(900ms, start);
  CHECK(link.At(start) == 900ms);
  link.OnMessage(5ms, start + 100ms);
  CHECK(link.At(start + 100ms) == 5ms);
  link.OnMessage(800ms, start + 1050ms);
  CHECK(link.At(start + 1050ms) == 5ms);
  CHECK(link.At(start + 1500ms) == 800ms);
  CHECK(link.At(start + 9s) == 0ms);
}

TEST_CASE("the delay of a filling link shows at once when many messages arrive",
          "[membership]") {
  // The minimum over a full second hid a queue of 1.6 s while it grew.
  const core::TimePoint start{10h};
  LinkDelay link;
  for (int i = 0; i < 10; ++i) {
    link.OnMessage(5ms, start + i * 20ms);
  }
  CHECK(link.At(start + 200ms) == 5ms);
  for (int i = 0; i < 10; ++i) {
    link.OnMessage(700ms, start + 500ms + i * 20ms);
  }
  CHECK(link.At(start + 700ms) == 700ms);
}

TEST_CASE("the delay of the last message counts for a while when none arrive",
          "[membership]") {
  struct Row {
    core::Duration after_;
    core::Duration delay_;
  };
  const auto row =
      GENERATE(Row{900ms, 800ms}, Row{2500ms, 800ms}, Row{3500ms, 0ms});
  const core::TimePoint start{10h};
  LinkDelay link;
  link.OnMessage(800ms, start);
  CHECK(link.At(start + row.after_) == row.delay_);
}

}  // namespace
}  // namespace chalkwell::membership
