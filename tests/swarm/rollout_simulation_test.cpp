// Duration of a rollout from the publication of a version until the last agent
// is complete, in simulated time.
#include "rollout_simulation.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>

namespace chalkwell::swarm {
namespace {

using namespace std::chrono_literals;

double Seconds(core::Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

RolloutSimulationResult RunAndPrint(const RolloutSimulationSettings& settings) {
  auto result = RolloutSimulation(settings).Run();
  if (!result.completed_.empty()) {
    std::cout << "figure: rollout at " << settings.agents_ << " agents in "
              << settings.domains_ << " domains, complete after "
              << Seconds(result.At(0)) << " s first, "
              << Seconds(result.At(0.5)) << " s half, " << Seconds(result.At(1))
              << " s last; origin copies " << result.origin_copies_
              << ", import copies " << result.import_copies_
              << ", busiest over mean " << result.busiest_ << ", announcements "
              << result.announcements_ << "\n";
  }
  return result;
}

TEST_CASE(
    "a rollout without faults takes little longer than one copy on a link",
    "[swarm][roll]") {
  struct Row {
    std::size_t domains_;
    std::size_t agents_;
    core::Duration max_duration_;
  };
  // A link transmits one copy in 2.6 s.
  const auto row =
      GENERATE(Row{3, 12, 3900ms}, Row{3, 45, 4200ms}, Row{5, 204, 4400ms});
  RolloutSimulationSettings settings;
  settings.domains_ = row.domains_;
  settings.agents_ = row.agents_;
  const auto result = RunAndPrint(settings);
  REQUIRE(result.completed_.size() == row.agents_);
  CHECK(result.At(1) <= row.max_duration_);
  CHECK(result.origin_copies_ <= 1.02);
  CHECK(result.import_copies_ <= 1.05);
}

TEST_CASE("after an origin outage each chunk is fetched by few members",
          "[swarm][roll]") {
  // The outage starts before the origin has sent one copy. When members took
  // the lack of progress as the loss of the assigned members, the origin sent
  // 1.11 copies.
  RolloutSimulationSettings settings;
  settings.outage_ = OriginOutage{2300ms, 6300ms};
  const auto result = RunAndPrint(settings);
  REQUIRE(result.completed_.size() == settings.agents_);
  CHECK(result.origin_copies_ <= 1.1);
  CHECK(result.At(1) <= 8300ms);
}

TEST_CASE("agents that wait for a slow origin do not exhaust its connections",
          "[swarm][roll]") {
  // The origin sends 22 chunks per second; a request beyond its connection
  // limit waits 1.5 s.
  RolloutSimulationSettings settings;
  settings.domains_ = 3;
  settings.agents_ = 76;
  settings.origin_rate_ = 4.38e6 / 8;
  settings.outage_ = OriginOutage{500ms, 6500ms};
  const auto result = RunAndPrint(settings);
  REQUIRE(result.completed_.size() == settings.agents_);
  CHECK(result.dropped_connections_ == 0);
  CHECK(result.origin_copies_ <= 1.1);
  CHECK(result.At(1) <= 12s);
}

TEST_CASE("agents lost during a rollout do not keep others from completing",
          "[swarm][roll]") {
  RolloutSimulationSettings settings;
  settings.lost_ = 20;
  const auto result = RunAndPrint(settings);
  REQUIRE(result.completed_.size() == settings.agents_ - settings.lost_);
  CHECK(result.At(1) <= 9s);
}

}  // namespace
}  // namespace chalkwell::swarm
