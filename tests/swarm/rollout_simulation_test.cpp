// How long a roll takes from the naming to the last agent, in simulated time.
#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>

#include "roll_play.hpp"

namespace chalkwell::swarm {
namespace {

using namespace std::chrono_literals;

double Seconds(core::Duration span) {
  return std::chrono::duration<double>(span).count();
}

RolloutSimulationResult Played(const RolloutSimulationSettings& settings) {
  auto result = RolloutSimulation(settings).Run();
  if (!result.whole_.empty()) {
    std::cout << "figure: roll at " << settings.agents_ << " agents in "
              << settings.domains_ << " domains, whole after "
              << Seconds(result.At(0)) << " s first, "
              << Seconds(result.At(0.5)) << " s half, " << Seconds(result.At(1))
              << " s last; origin copies " << result.origin_copies_
              << ", import copies " << result.import_copies_
              << ", busiest over mean " << result.busiest_ << ", messages "
              << result.told_ << "\n";
  }
  return result;
}

TEST_CASE("a calm roll takes little more than one copy's time on a link",
          "[swarm][roll]") {
  struct Row {
    std::size_t domains_;
    std::size_t agents_;
    core::Duration last_;
  };
  // One copy takes 2.6 s of a link.
  const auto row =
      GENERATE(Row{3, 12, 3900ms}, Row{3, 45, 4200ms}, Row{5, 204, 4400ms});
  RolloutSimulationSettings settings;
  settings.domains_ = row.domains_;
  settings.agents_ = row.agents_;
  const auto result = Played(settings);
  REQUIRE(result.whole_.size() == row.agents_);
  CHECK(result.At(1) <= row.last_);
  CHECK(result.origin_copies_ <= 1.02);
  CHECK(result.import_copies_ <= 1.05);
}

TEST_CASE("an origin that is back is not asked for one chunk by many",
          "[swarm][roll]") {
  // The origin is away before one copy is out. When those behind in rank took
  // its silence for that of the elected, it sent 1.11 copies.
  RolloutSimulationSettings settings;
  settings.away_ = OriginAway{2300ms, 6300ms};
  const auto result = Played(settings);
  REQUIRE(result.whole_.size() == settings.agents_);
  CHECK(result.origin_copies_ <= 1.1);
  CHECK(result.At(1) <= 8300ms);
}

TEST_CASE("agents that all wait for a slow origin leave it room",
          "[swarm][roll]") {
  // It sends 22 chunks a second; what finds no connection waits for 1.5 s.
  RolloutSimulationSettings settings;
  settings.domains_ = 3;
  settings.agents_ = 76;
  settings.origin_rate_ = 4.38e6 / 8;
  settings.away_ = OriginAway{500ms, 6500ms};
  const auto result = Played(settings);
  REQUIRE(result.whole_.size() == settings.agents_);
  CHECK(result.dropped_connections_ == 0);
  CHECK(result.origin_copies_ <= 1.1);
  CHECK(result.At(1) <= 12s);
}

TEST_CASE("agents that die in the middle of a roll keep nobody from it",
          "[swarm][roll]") {
  RolloutSimulationSettings settings;
  settings.lost_ = 20;
  const auto result = Played(settings);
  REQUIRE(result.whole_.size() == settings.agents_ - settings.lost_);
  CHECK(result.At(1) <= 9s);
}

}  // namespace
}  // namespace chalkwell::swarm
