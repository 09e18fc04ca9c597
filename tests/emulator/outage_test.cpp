// What callers get around an outage of all machines, played in simulated time.
#include <catch2/catch.hpp>
#include <iostream>

#include "emulator/fleet.hpp"

namespace chalkwell::emulator {
namespace {

using namespace std::chrono_literals;

/// Twenty engines at four fifths of what they give: 190 requests a second of
/// some 900 tokens in and 120 out, of very different sizes.
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
  spec.kinds_ = {{"draft", 75, 1290, 144, 0.9, 400ms, 6s},
                 {"explain", 53, 787, 144, 0.8, 400ms, 6s},
                 {"short", 62, 607, 72, 0.9, 300ms, 6s}};
  spec.seed_ = seed;
  return spec;
}

double ShareInTarget(const std::vector<Second>& seconds, std::size_t from,
                     std::size_t to) {
  double asked = 0;
  double in_target = 0;
  for (auto second = from; second < to; ++second) {
    asked += seconds[second].asked_;
    in_target += seconds[second].in_target_;
  }
  return in_target / asked;
}

TEST_CASE("a calm fleet serves callers in time", "[emulator]") {
  const auto seconds = Play(BusyFleet(1));
  CHECK(ShareInTarget(seconds, 2, 18) > 0.95);
}

TEST_CASE("after an outage callers who ask anew are not late behind the others",
          "[emulator]") {
  // Machines are away for 0.8 s, engines for 1.4 s; callers who were not let in
  // come back a second later, those who were cut all together after 2.4 s.
  const auto seed = GENERATE(1U, 2U, 3U);
  auto spec = BusyFleet(seed);
  spec.outages_ = {{5s, 5800ms, 6400ms}};
  const auto late_last = ShareInTarget(Play(spec), 7, 11);
  spec.late_last_ = false;
  const auto in_order = ShareInTarget(Play(spec), 7, 11);
  std::cout << "figure in_target_after_outage " << in_order << " -> "
            << late_last << "\n";
  CHECK(late_last > 0.85);
  CHECK(late_last > in_order + 0.1);
}

TEST_CASE(
    "callers who ask for more than engines give are in time if they are let in",
    "[emulator]") {
  struct Case {
    double load_;
    double in_target_;
  };
  const auto row = GENERATE(Case{1.1, 0.93}, Case{1.2, 0.9}, Case{1.45, 0.42});
  double in_target = 0;
  for (const std::uint64_t seed : {1, 2, 3}) {
    auto spec = BusyFleet(seed);
    for (auto& kind : spec.kinds_) {
      kind.requests_per_second_ *= row.load_;
    }
    in_target += ShareInTarget(Play(spec), 3, 18) / 3;
  }
  std::cout << "figure in_target_at_load_" << row.load_ << " " << in_target
            << "\n";
  CHECK(in_target > row.in_target_);
}

}  // namespace
}  // namespace chalkwell::emulator
