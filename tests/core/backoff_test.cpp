// Tests of the delays between retries.
#include "chalkwell/core/backoff.hpp"

#include <catch2/catch.hpp>
#include <numeric>
#include <vector>

namespace chalkwell::core {
namespace {

using namespace std::chrono_literals;

const TimePoint kStart(1h);
constexpr BackoffSettings kSettings{200ms, 2000ms};

TEST_CASE("full delays double up to the maximum, the upper half is random",
          "[core]") {
  struct Row {
    unsigned failures_;
    Duration min_;
    Duration max_;
  };
  const auto row = GENERATE(Row{1, 100ms, 200ms}, Row{2, 200ms, 400ms},
                            Row{4, 800ms, 1600ms}, Row{5, 1000ms, 2000ms},
                            Row{60, 1000ms, 2000ms});
  const auto seed = GENERATE(range(0U, 20U));
  Backoff backoff(kSettings, seed);
  CHECK(backoff.IsReady(kStart));
  Duration delay{};
  for (unsigned i = 0; i < row.failures_; ++i) {
    delay = backoff.OnFailure(kStart);
  }
  CHECK(delay >= row.min_);
  CHECK(delay <= row.max_);
  CHECK_FALSE(backoff.IsReady(kStart + delay - 1ns));
  CHECK(backoff.IsReady(kStart + delay));
  backoff.OnSuccess();
  CHECK(backoff.IsReady(kStart));
  CHECK(backoff.OnFailure(kStart) <= 200ms);
}

TEST_CASE("callers that fail together retry rarely and spread out", "[core]") {
  // 76 processes call a source that refuses calls for ten seconds. Without
  // backoff, one call per 40 ms tick, they would make 19,000 calls.
  constexpr unsigned kCallers = 76;
  std::vector<unsigned> calls(11);
  for (unsigned caller = 0; caller < kCallers; ++caller) {
    Backoff backoff(kSettings, caller);
    for (auto at = kStart; at < kStart + 10s;) {
      ++calls[static_cast<std::size_t>((at - kStart) / 1s)];
      at += backoff.OnFailure(at);
    }
  }
  CHECK(std::accumulate(calls.begin(), calls.end(), 0U) < 1000);
  CHECK(calls[9] > 30);
  CHECK(calls[9] < 80);
}

}  // namespace
}  // namespace chalkwell::core
