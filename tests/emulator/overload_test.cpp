// Simulates the outcome of requests near capacity, during overload and after
// it.
#include <catch2/catch.hpp>
#include <iostream>

#include "emulator/fleet.hpp"

namespace chalkwell::emulator {
namespace {

using namespace std::chrono_literals;

/// Forty entries that share 45 engines of 12 slots in three failure domains.
/// @param load request rate as a share of the engines' capacity.
FleetSpec ManyEntries(std::uint64_t seed, double load) {
  FleetSpec spec;
  spec.engine_.slots_ = 12;
  spec.engine_.step_time_ = 8870us;
  spec.engine_.step_time_per_request_ = 39us;
  spec.engine_.step_time_per_kilotoken_ = 23us;
  spec.engine_.prefill_tokens_per_second_ = 19'100;
  spec.engine_.steps_per_pass_ = 5;
  spec.engine_.mean_prompt_tokens_ = 920;
  spec.engine_.mean_output_tokens_ = 98;
  spec.engines_ = 45;
  spec.entries_ = 40;
  spec.domains_ = 3;
  spec.engine_queue_limit_ = 24;
  spec.classes_ = {{"summary", 158, 1290, 107, 0.9, 500ms, 6s},
                   {"advice", 201, 787, 107, 0.8, 400ms, 6s},
                   {"question", 113, 607, 70, 0.9, 400ms, 6s}};
  spec.seed_ = seed;
  double requests = 0;
  for (const auto& request_class : spec.classes_) {
    requests += request_class.requests_per_second_;
  }
  const auto factor = load * MaxRequestRate(spec) / requests;
  for (auto& request_class : spec.classes_) {
    request_class.requests_per_second_ *= factor;
  }
  return spec;
}

SecondStats Sum(const std::vector<SecondStats>& seconds, std::size_t from,
                std::size_t to) {
  SecondStats sum;
  for (auto second = from; second < to; ++second) {
    sum.requests_ += seconds[second].requests_;
    sum.within_target_ += seconds[second].within_target_;
    sum.late_ += seconds[second].late_;
    sum.failed_ += seconds[second].failed_;
    sum.first_attempts_refused_ += seconds[second].first_attempts_refused_;
  }
  return sum;
}

double Share(std::uint32_t part, const SecondStats& sum) {
  return static_cast<double>(part) / sum.requests_;
}

TEST_CASE("entries that see the same free slot do not all take it",
          "[emulator]") {
  const auto seed = GENERATE(1U, 2U, 3U);
  const auto sum = Sum(Simulate(ManyEntries(seed, 0.8)), 4, 18);
  const auto within_target = Share(sum.within_target_, sum);
  std::cout << "figure in_target_calm " << within_target << "\n";
  CHECK(within_target > 0.97);
  CHECK(sum.failed_ == 0);
}

TEST_CASE("varying time budgets do not lower the share within the target",
          "[emulator]") {
  const auto seed = GENERATE(1U, 2U, 3U);
  auto spec = ManyEntries(seed, 0.9);
  const auto fixed_budget = Sum(Simulate(spec), 4, 18);
  for (auto& request_class : spec.classes_) {
    request_class.time_budget_spread_ = 0.15;
  }
  const auto varied_budget = Sum(Simulate(spec), 4, 18);
  std::cout << "figure in_target_with_times_from_a_range "
            << Share(varied_budget.within_target_, varied_budget)
            << ", with one time "
            << Share(fixed_budget.within_target_, fixed_budget) << "\n";
  CHECK(Share(varied_budget.within_target_, varied_budget) >
        Share(fixed_budget.within_target_, fixed_budget) - 0.02);
  CHECK(Share(varied_budget.first_attempts_refused_, varied_budget) <= 0.005);
}

TEST_CASE("requests meet their targets again two seconds after an overload",
          "[emulator]") {
  const auto seed = GENERATE(1U, 2U, 3U);
  auto spec = ManyEntries(seed, 0.8);
  spec.load_steps_ = {{5s, 1.8}, {10s, 1}};
  const auto after = Sum(Simulate(spec), 12, 15);
  const auto within_target = Share(after.within_target_, after);
  std::cout << "figure in_target_after_overload " << within_target << "\n";
  CHECK(within_target > 0.9);
}

}  // namespace
}  // namespace chalkwell::emulator
