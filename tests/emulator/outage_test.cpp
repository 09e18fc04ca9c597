// Simulates the outcome of requests before and after an outage of all machines.
#include <catch2/catch.hpp>
#include <iostream>

#include "emulator/fleet.hpp"

namespace chalkwell::emulator {
namespace {

using namespace std::chrono_literals;

/// Twenty engines at 80 % of their capacity: 190 requests per second with a
/// mean of about 900 prompt and 120 output tokens, of widely varying sizes.
FleetSpec BusyFleet(std::uint64_t seed) {
  FleetSpec spec;
  spec.engine_.slots_ = 16;
  spec.engine_.step_time_ = 6730us;
  spec.engine_.step_time_per_request_ = 22us;
  spec.engine_.step_time_per_kilotoken_ = 7us;
  spec.engine_.prefill_tokens_per_second_ = 30'600;
  spec.engine_.steps_per_pass_ = 6;
  spec.engine_.mean_prompt_tokens_ = 930;
  spec.engine_.mean_output_tokens_ = 122;
  spec.classes_ = {{"draft", 75, 1290, 144, 0.9, 400ms, 6s},
                   {"explain", 53, 787, 144, 0.8, 400ms, 6s},
                   {"short", 62, 607, 72, 0.9, 300ms, 6s}};
  spec.seed_ = seed;
  return spec;
}

double ShareWithinTarget(const std::vector<SecondStats>& seconds,
                         std::size_t from, std::size_t to) {
  double requests = 0;
  double within_target = 0;
  for (auto second = from; second < to; ++second) {
    requests += seconds[second].requests_;
    within_target += seconds[second].within_target_;
  }
  return within_target / requests;
}

TEST_CASE("requests meet their targets under normal load", "[emulator]") {
  const auto seconds = Simulate(BusyFleet(1));
  CHECK(ShareWithinTarget(seconds, 2, 18) > 0.95);
}

TEST_CASE("after an outage new requests are not delayed by retried ones",
          "[emulator]") {
  // Machines are down for 0.8 s and engines for 1.4 s. Callers that could not
  // connect retry after 1 s; those whose requests were interrupted all retry
  // after 2.4 s. Without priority for requests that are on time, these retries
  // delay the new requests.
  const auto seed = GENERATE(1U, 2U, 3U);
  auto spec = BusyFleet(seed);
  spec.outages_ = {{5s, 5800ms, 6400ms}};
  const auto prioritized = ShareWithinTarget(Simulate(spec), 7, 11);
  spec.on_time_first_ = false;
  const auto unprioritized = ShareWithinTarget(Simulate(spec), 7, 11);
  std::cout << "figure in_target_after_outage " << unprioritized << " -> "
            << prioritized << "\n";
  CHECK(prioritized > 0.85);
  CHECK(prioritized > unprioritized + 0.1);
}

TEST_CASE("admission keeps requests within their targets under overload",
          "[emulator]") {
  struct Case {
    double load_;
    double min_within_target_;
  };
  const auto row = GENERATE(Case{1.1, 0.93}, Case{1.2, 0.9}, Case{1.45, 0.42});
  double within_target = 0;
  for (const std::uint64_t seed : {1, 2, 3}) {
    auto spec = BusyFleet(seed);
    for (auto& request_class : spec.classes_) {
      request_class.requests_per_second_ *= row.load_;
    }
    within_target += ShareWithinTarget(Simulate(spec), 3, 18) / 3;
  }
  std::cout << "figure in_target_at_load_" << row.load_ << " " << within_target
            << "\n";
  CHECK(within_target > row.min_within_target_);
}

}  // namespace
}  // namespace chalkwell::emulator
