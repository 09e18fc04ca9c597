// Range of Retry-After jitter, and its effect on the recognition of retries.
#include "chalkwell/routing/retry_jitter.hpp"

#include <catch2/catch.hpp>
#include <chrono>

#include "chalkwell/routing/request_age_estimator.hpp"

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

TEST_CASE("jittered delays are between 3/4 of the maximum and the maximum",
          "[routing]") {
  const core::Duration max = GENERATE(0ms, 1ms, 500ms, 2000ms);
  RetryJitter jitter(1);
  for (int i = 0; i < 100; ++i) {
    const auto delay = jitter.Draw(max);
    CHECK(delay >= max * 3 / 4);
    CHECK(delay <= max);
  }
}

TEST_CASE(
    "retries of callers refused together are not taken for first attempts",
    "[routing]") {
  RetryJitter jitter(1);
  RequestAgeEstimator estimator;
  int taken_for_first_attempt = 0;
  for (int i = 0; i < 300; ++i) {
    (void)estimator.AddAndEstimate("route", 6000ms);
    const auto time_left = 5998ms - jitter.Draw(2000ms);
    taken_for_first_attempt +=
        estimator.AddAndEstimate("route", time_left) == 0ms ? 1 : 0;
  }
  CHECK(taken_for_first_attempt < 15);
}

}  // namespace
}  // namespace chalkwell::routing
