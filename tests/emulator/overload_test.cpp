// What callers get while they ask for more than engines give, and afterwards.
#include <catch2/catch.hpp>
#include <iostream>

#include "emulator/fleet.hpp"

namespace chalkwell::emulator {
namespace {

using namespace std::chrono_literals;

/// Forty entries that share 45 engines of 12 slots in three failure domains.
/// @param load as a part of what the engines give.
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
  spec.engine_queue_ = 24;
  spec.kinds_ = {{"summary", 158, 1290, 107, 0.9, 500ms, 6s},
                 {"advice", 201, 787, 107, 0.8, 400ms, 6s},
                 {"question", 113, 607, 70, 0.9, 400ms, 6s}};
  spec.seed_ = seed;
  double asked = 0;
  for (const auto& kind : spec.kinds_) {
    asked += kind.requests_per_second_;
  }
  const auto factor = load * Capacity(spec) / asked;
  for (auto& kind : spec.kinds_) {
    kind.requests_per_second_ *= factor;
  }
  return spec;
}

Second Sum(const std::vector<Second>& seconds, std::size_t from,
           std::size_t to) {
  Second sum;
  for (auto second = from; second < to; ++second) {
    sum.asked_ += seconds[second].asked_;
    sum.in_target_ += seconds[second].in_target_;
    sum.late_ += seconds[second].late_;
    sum.refused_ += seconds[second].refused_;
    sum.rejected_first_ += seconds[second].rejected_first_;
  }
  return sum;
}

double Share(std::uint32_t part, const Second& sum) {
  return static_cast<double>(part) / sum.asked_;
}

TEST_CASE("entries that see the same free slot do not all take it",
          "[emulator]") {
  const auto seed = GENERATE(1U, 2U, 3U);
  const auto sum = Sum(Play(ManyEntries(seed, 0.8)), 4, 18);
  const auto in_target = Share(sum.in_target_, sum);
  std::cout << "figure in_target_calm " << in_target << "\n";
  CHECK(in_target > 0.97);
  CHECK(sum.refused_ == 0);
}

TEST_CASE("callers who give times from a range are served as the others",
          "[emulator]") {
  const auto seed = GENERATE(1U, 2U, 3U);
  auto spec = ManyEntries(seed, 0.9);
  const auto one_time = Sum(Play(spec), 4, 18);
  for (auto& kind : spec.kinds_) {
    kind.budget_spread_ = 0.15;
  }
  const auto range = Sum(Play(spec), 4, 18);
  std::cout << "figure in_target_with_times_from_a_range "
            << Share(range.in_target_, range) << ", with one time "
            << Share(one_time.in_target_, one_time) << "\n";
  CHECK(Share(range.in_target_, range) >
        Share(one_time.in_target_, one_time) - 0.02);
  CHECK(Share(range.rejected_first_, range) <= 0.005);
}

TEST_CASE("two seconds after an overload callers are in time again",
          "[emulator]") {
  const auto seed = GENERATE(1U, 2U, 3U);
  auto spec = ManyEntries(seed, 0.8);
  spec.load_steps_ = {{5s, 1.8}, {10s, 1}};
  const auto after = Sum(Play(spec), 12, 15);
  const auto in_target = Share(after.in_target_, after);
  std::cout << "figure in_target_after_overload " << in_target << "\n";
  CHECK(in_target > 0.9);
}

}  // namespace
}  // namespace chalkwell::emulator
