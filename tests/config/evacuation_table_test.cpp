// Evacuated failure domains, received in any order.
#include "chalkwell/config/evacuation_table.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <random>
#include <string>

namespace chalkwell::config {
namespace {

Evacuation State(const std::string& domain, bool active,
                 std::uint64_t revision) {
  return {core::FailureDomainId(domain), active,
          core::StoreRevision(1, revision)};
}

bool IsActive(const EvacuationTable& table, const std::string& domain) {
  return table.Active().contains(core::FailureDomainId(domain));
}

TEST_CASE("the newest state of an evacuation wins", "[config]") {
  struct Row {
    std::string name_;
    std::vector<Evacuation> states_;
    bool active_;
  };
  const auto row = GENERATE(
      Row{"published", {State("a", true, 5)}, true},
      Row{"withdrawn", {State("a", true, 5), State("a", false, 8)}, false},
      Row{"received late", {State("a", false, 8), State("a", true, 5)}, false},
      Row{"published again",
          {State("a", true, 5), State("a", false, 8), State("a", true, 9)},
          true},
      Row{"another domain", {State("b", true, 5)}, false},
      Row{"withdrawn at the same revision",
          {State("a", false, 5), State("a", true, 5)},
          false});
  CAPTURE(row.name_);
  EvacuationTable table;
  for (const auto& state : row.states_) {
    (void)table.Apply(state);
  }
  CHECK(IsActive(table, "a") == row.active_);
}

TEST_CASE("a read that lacks an evacuation withdraws it", "[config]") {
  struct Row {
    std::uint64_t published_;
    std::uint64_t read_;
    bool active_;
  };
  // A read is older than an evacuation that another process announced since.
  const auto row =
      GENERATE(Row{5, 9, false}, Row{5, 5, false}, Row{5, 4, true});
  EvacuationTable table;
  CHECK(table.Apply(State("a", true, row.published_)));
  CHECK(table.ApplyAll({}, core::StoreRevision(1, row.read_)) != row.active_);
  CHECK(IsActive(table, "a") == row.active_);
}

TEST_CASE("the number of evacuations held is bounded", "[config]") {
  EvacuationTable table;
  for (std::size_t i = 0; i < 10 * EvacuationTable::kMaxDomains; ++i) {
    (void)table.Apply(State(std::to_string(i), true, i + 1));
  }
  CHECK(table.States().size() == EvacuationTable::kMaxDomains);
}

TEST_CASE("processes that exchange states in any order agree", "[config]") {
  for (std::uint32_t seed = 0; seed < 200; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    std::vector<Evacuation> published;
    for (std::uint64_t revision = 1; revision <= 12; ++revision) {
      published.push_back(
          State(random() % 2 == 0 ? "a" : "b", random() % 2 == 0, revision));
    }
    EvacuationTable in_order;
    for (const auto& state : published) {
      (void)in_order.Apply(state);
    }
    std::ranges::shuffle(published, random);
    EvacuationTable shuffled;
    for (const auto& state : published) {
      (void)shuffled.Apply(state);
    }
    CHECK(shuffled.States() == in_order.States());
  }
}

}  // namespace
}  // namespace chalkwell::config
