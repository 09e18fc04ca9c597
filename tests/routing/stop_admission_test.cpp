// Requests that arrive while the process drains.
#include "chalkwell/routing/stop_admission.hpp"

#include <catch2/catch.hpp>
#include <chrono>
#include <string>

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

TEST_CASE("a request is admitted that the end of the process would cut off",
          "[routing]") {
  struct Row {
    std::string name_;
    bool repeatable_;
    core::Duration time_left_;
    core::Duration until_end_;
    bool admitted_;
  };
  const auto row = GENERATE(
      Row{"not repeatable, certain to end", false, 2s, 3s, true},
      Row{"not repeatable, ends with the process", false, 3s, 3s, true},
      Row{"not repeatable, may end later", false, 3001ms, 3s, false},
      Row{"repeatable, may end later", true, 6s, 3s, true},
      Row{"repeatable, less than its target is left", true, 6s, 299ms, false},
      Row{"repeatable, its deadline comes first", true, 100ms, 200ms, true},
      Row{"repeatable, the process has ended", true, 6s, -1ms, false},
      Row{"not repeatable, the process has ended", false, 6s, -1ms, false});
  CAPTURE(row.name_);
  const core::TimePoint now{100s};
  CHECK(CanFinishBefore(now + row.until_end_,
                        {.repeatable_ = row.repeatable_,
                         .deadline_ = now + row.time_left_,
                         .target_latency_ = 300ms},
                        now) == row.admitted_);
}

}  // namespace
}  // namespace chalkwell::routing
