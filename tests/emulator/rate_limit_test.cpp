// Simulates what callers get while some engines state rate limits.
#include <catch2/catch.hpp>
#include <iostream>

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

TEST_CASE("rate limits of a few engines make entries refuse requests",
          "[emulator]") {
  const std::size_t limited = GENERATE(0, 2, 4);
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    auto spec = SmallFleet(seed);
    for (std::size_t engine = 0; engine < limited; ++engine) {
      spec.rate_limits_.push_back({engine, 6s, 2});
    }
    const auto seconds = Simulate(spec);
    std::uint32_t requests = 0;
    std::uint32_t refused = 0;
    std::uint32_t within = 0;
    for (std::size_t second = 8; second < 18; ++second) {
      requests += seconds[second].requests_;
      refused += seconds[second].first_attempts_refused_;
      within += seconds[second].within_target_;
    }
    std::cout << "figure limited " << limited << " requests " << requests
              << " refused " << refused << " within_target " << within << "\n";
    CHECK(refused < requests / 50);
  }
}

}  // namespace
}  // namespace chalkwell::emulator
