// When rejected callers come back, and whether they are recognised then.
#include "chalkwell/routing/retry_jitter.hpp"

#include <catch2/catch.hpp>
#include <chrono>

#include "chalkwell/routing/request_age_estimator.hpp"

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

TEST_CASE("a drawn time is between three quarters and the whole", "[routing]") {
  const core::Duration longest = GENERATE(0ms, 1ms, 500ms, 2000ms);
  RetryJitter spread(1);
  for (int i = 0; i < 100; ++i) {
    const auto drawn = spread.Draw(longest);
    CHECK(drawn >= longest * 3 / 4);
    CHECK(drawn <= longest);
  }
}

TEST_CASE("callers who were rejected together are not taken for fresh ones",
          "[routing]") {
  RetryJitter spread(1);
  RequestAgeEstimator ages;
  int taken_for_fresh = 0;
  for (int i = 0; i < 300; ++i) {
    (void)ages.AddAndEstimate("route", 6000ms);
    const auto left = 5998ms - spread.Draw(2000ms);
    taken_for_fresh += ages.AddAndEstimate("route", left) == 0ms ? 1 : 0;
  }
  CHECK(taken_for_fresh < 15);
}

}  // namespace
}  // namespace chalkwell::routing
