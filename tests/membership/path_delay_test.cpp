// Delay of a path, whatever the clocks say.
#include "chalkwell/membership/path_delay.hpp"

#include <catch2/catch.hpp>

namespace chalkwell::membership {
namespace {

using namespace std::chrono_literals;

TEST_CASE("what exceeds the quickest message is delay", "[membership]") {
  const core::Duration offset = GENERATE(0s, 5h, -5h);
  const core::TimePoint start{10h};
  PathDelay path;
  struct Step {
    core::Duration sent_;
    core::Duration under_way_;
    core::Duration delay_;
  };
  for (const auto& step :
       {Step{0ms, 5ms, 0ms}, Step{100ms, 4ms, 0ms}, Step{200ms, 904ms, 900ms},
        Step{300ms, 804ms, 800ms}, Step{2s, 4ms, 0ms}}) {
    const auto sent_at = start.time_since_epoch() + step.sent_ + offset;
    CHECK(path.OnMessage(sent_at, start + step.sent_ + step.under_way_) ==
          step.delay_);
  }
}

TEST_CASE("a link's delay is what even the quickest sender shows",
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

}  // namespace
}  // namespace chalkwell::membership
