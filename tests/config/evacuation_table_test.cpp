// Evacuated failure domains, received in any order.
#include "chalkwell/config/evacuation_table.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <optional>
#include <random>
#include <string>

namespace chalkwell::config {
namespace {

using namespace std::chrono_literals;

Evacuation State(const std::string& domain, bool active, std::uint64_t revision,
                 std::uint64_t era = 1) {
  return {core::FailureDomainId(domain), active,
          core::StoreRevision(era, revision)};
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
          false},
      Row{"withdrawn, then the store returned from an older copy",
          {State("a", false, 8), State("a", true, 5, 2)},
          true},
      Row{"published, then withdrawn at a revision that was passed again",
          {State("a", true, 8), State("a", false, 6, 2)},
          false},
      Row{"state of an older era received late",
          {State("a", false, 6, 2), State("a", true, 8)},
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
  CHECK(table.ApplyAll({}, core::StoreRevision(1, row.read_),
                       core::TimePoint()) != row.active_);
  CHECK(IsActive(table, "a") == row.active_);
}

TEST_CASE("an evacuation is not withdrawn because an older copy lacks it",
          "[config][era]") {
  struct Row {
    std::string name_;
    core::Duration after_;
    std::optional<Evacuation> published_again_;
    bool active_;
  };
  const auto recovery = EvacuationTable::kRecoveryTime;
  const auto row = GENERATE_COPY(
      Row{"at once", 0ms, std::nullopt, true},
      Row{"within the recovery time", recovery - 1ms, std::nullopt, true},
      Row{"after it", recovery, std::nullopt, false},
      Row{"published again", recovery, State("a", true, 7, 2), true},
      Row{"withdrawn", 0ms, State("a", false, 7, 2), false});
  CAPTURE(row.name_);
  const core::TimePoint returned_at(1h);
  EvacuationTable table;
  CHECK(table.Apply(State("a", true, 9)));
  CHECK_FALSE(table.ApplyAll({}, core::StoreRevision(2, 6), returned_at));
  if (row.published_again_) {
    CHECK(table.Apply(*row.published_again_));
  }
  (void)table.ApplyDue(returned_at + row.after_);
  CHECK(IsActive(table, "a") == row.active_);
  CHECK_FALSE(table.ApplyDue(returned_at + row.after_));
}

TEST_CASE("a second return of the store extends the recovery time",
          "[config][era]") {
  const core::TimePoint returned_at(1h);
  EvacuationTable table;
  CHECK(table.Apply(State("a", true, 9)));
  (void)table.ApplyAll({}, core::StoreRevision(2, 6), returned_at);
  (void)table.ApplyAll({}, core::StoreRevision(3, 5), returned_at + 1s);
  CHECK_FALSE(table.ApplyDue(returned_at + EvacuationTable::kRecoveryTime));
  CHECK(table.ApplyDue(returned_at + 1s + EvacuationTable::kRecoveryTime));
  CHECK_FALSE(IsActive(table, "a"));
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
      // From the seventh on, of a store that returned from an older copy.
      const bool returned = revision > 6;
      published.push_back(
          State(random() % 2 == 0 ? "a" : "b", random() % 2 == 0,
                returned ? revision - 4 : revision, returned ? 2 : 1));
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
