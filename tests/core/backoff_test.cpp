// Pauses between tries.
#include "chalkwell/core/backoff.hpp"

#include <catch2/catch.hpp>
#include <numeric>
#include <vector>

namespace chalkwell::core {
namespace {

using namespace std::chrono_literals;

const TimePoint kStart(1h);
constexpr BackoffSettings kSettings{200ms, 2000ms};

TEST_CASE("pauses double up to the longest, half of each by chance", "[core]") {
  struct Row {
    unsigned failures_;
    Duration least_;
    Duration most_;
  };
  const auto row = GENERATE(Row{1, 100ms, 200ms}, Row{2, 200ms, 400ms},
                            Row{4, 800ms, 1600ms}, Row{5, 1000ms, 2000ms},
                            Row{60, 1000ms, 2000ms});
  const auto seed = GENERATE(range(0U, 20U));
  Backoff backoff(kSettings, seed);
  CHECK(backoff.IsReady(kStart));
  Duration pause{};
  for (unsigned i = 0; i < row.failures_; ++i) {
    pause = backoff.OnFailure(kStart);
  }
  CHECK(pause >= row.least_);
  CHECK(pause <= row.most_);
  CHECK_FALSE(backoff.IsReady(kStart + pause - 1ns));
  CHECK(backoff.IsReady(kStart + pause));
  backoff.OnSuccess();
  CHECK(backoff.IsReady(kStart));
  CHECK(backoff.OnFailure(kStart) <= 200ms);
}

TEST_CASE("many who fail together ask rarely and not together", "[core]") {
  // 76 processes that ask a source which refuses for ten seconds: at each tick
  // of 40 ms they would ask 19,000 times.
  constexpr unsigned kAskers = 76;
  std::vector<unsigned> asks(11);
  for (unsigned asker = 0; asker < kAskers; ++asker) {
    Backoff backoff(kSettings, asker);
    for (auto at = kStart; at < kStart + 10s;) {
      ++asks[static_cast<std::size_t>((at - kStart) / 1s)];
      at += backoff.OnFailure(at);
    }
  }
  CHECK(std::accumulate(asks.begin(), asks.end(), 0U) < 1000);
  CHECK(asks[9] > 30);
  CHECK(asks[9] < 80);
}

}  // namespace
}  // namespace chalkwell::core
