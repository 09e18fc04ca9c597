// Simulates what callers get while some engines state rate limits.
#include <catch2/catch.hpp>
#include <iostream>
#include <string>

#include "emulator/fleet.hpp"

namespace chalkwell::emulator {
namespace {

using namespace std::chrono_literals;

constexpr double kRequestsPerSecond = 100;

/// Seven entries and 20 engines of 16 slots in three failure domains.
FleetSpec SmallFleet(std::uint64_t seed) {
  FleetSpec spec;
  spec.engine_.slots_ = 16;
  spec.engine_.step_time_ = 9270us;
  spec.engine_.step_time_per_request_ = 23us;
  spec.engine_.step_time_per_kilotoken_ = 32us;
  spec.engine_.prefill_tokens_per_second_ = 20'700;
  spec.engine_.steps_per_pass_ = 5;
  spec.engine_.mean_prompt_tokens_ = 979;
  spec.engine_.mean_output_tokens_ = 92;
  spec.engines_ = 20;
  spec.entries_ = 7;
  spec.domains_ = 3;
  spec.classes_ = {
      {"summary", 0.41 * kRequestsPerSecond, 1290, 101, 0.9, 500ms, 6s},
      {"advice", 0.31 * kRequestsPerSecond, 787, 101, 0.7, 400ms, 6s},
      {"question", 0.28 * kRequestsPerSecond, 607, 70, 0.9, 400ms, 6s}};
  spec.seed_ = seed;
  return spec;
}

/// Outcomes of the requests between two seconds.
struct Outcomes {
  /// Most engines that stated a limit at the same time.
  std::uint32_t limited_engines_ = 0;
  std::uint32_t requests_ = 0;
  std::uint32_t refused_ = 0;
  std::uint32_t within_target_ = 0;
};

Outcomes Sum(const std::vector<SecondStats>& seconds, std::size_t from,
             std::size_t to) {
  Outcomes sum;
  for (auto second = from; second < to; ++second) {
    sum.requests_ += seconds[second].requests_;
    sum.refused_ += seconds[second].first_attempts_refused_;
    sum.within_target_ += seconds[second].within_target_;
    sum.limited_engines_ =
        std::max(sum.limited_engines_, seconds[second].limited_engines_);
  }
  return sum;
}

TEST_CASE("entries refuse requests although rate limits leave room for them",
          "[emulator]") {
  struct Row {
    std::string name_;
    std::size_t limited_engines_;
    /// Mean limit of an engine; the load is 5 a second for each.
    double mean_limit_;
    /// Largest share of the requests that may be refused at first.
    double max_refused_;
  };
  const auto row = GENERATE(Row{"a few engines", 2, 2, 0.01},
                            Row{"a fifth of the engines", 4, 2, 0.01},
                            Row{"all engines", 20, 8, 0.05});
  CAPTURE(row.name_);
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    auto spec = SmallFleet(seed);
    for (std::size_t engine = 0; engine < row.limited_engines_; ++engine) {
      const auto factor = 0.5 + 0.25 * static_cast<double>(engine % 5);
      spec.rate_limits_.push_back({engine, 6s, row.mean_limit_ * factor});
    }
    const auto sum = Sum(Simulate(spec), 8, 18);
    const auto refused = static_cast<double>(sum.refused_) / sum.requests_;
    std::cout << "figure refused_at_rate_limits " << refused << " ("
              << row.name_ << ")\n";
    CAPTURE(seed, sum.requests_, sum.within_target_);
    CHECK(refused <= row.max_refused_);
  }
}

TEST_CASE("limits of a few engines make others state limits", "[emulator]") {
  struct Row {
    std::string name_;
    /// Share of what the engines can serve.
    double load_;
    /// Requests at an engine of 16 slots from which on it states a limit.
    std::size_t min_requests_;
  };
  const auto row =
      GENERATE(Row{"half load, at a busy engine", 0.5, 14},
               Row{"higher load, at an engine with a queue", 0.7, 18});
  CAPTURE(row.name_);
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    auto spec = SmallFleet(seed);
    const double scale = row.load_ * MaxRequestRate(spec) / kRequestsPerSecond;
    for (auto& request_class : spec.classes_) {
      request_class.requests_per_second_ *= scale;
    }
    spec.rate_limits_ = {{0, 6s, 2}, {1, 6s, 2}};
    spec.load_rate_limit_ = LoadRateLimit{row.min_requests_, 0.35, 60s};
    const auto sum = Sum(Simulate(spec), 8, 18);
    CAPTURE(seed, sum.requests_, sum.refused_);
    CHECK(sum.limited_engines_ == spec.rate_limits_.size());
    CHECK(sum.refused_ == 0);
  }
}

}  // namespace
}  // namespace chalkwell::emulator
