// Tests of the states of listed endpoints, the suspension detector, rank
// assignment and graceful shutdown.
#include <algorithm>
#include <catch2/catch.hpp>

#include "chalkwell/membership/graceful_shutdown.hpp"
#include "chalkwell/membership/listed_endpoints.hpp"
#include "chalkwell/membership/role_assignment.hpp"

namespace chalkwell::membership {
namespace {

using namespace std::chrono_literals;

const core::InstanceId kId("a");
const core::Role kRole("chat");
const core::TimePoint kStart(1h);

config::Instance Listed(bool leaving) {
  config::Instance instance;
  instance.id_ = kId;
  instance.role_ = kRole;
  instance.peer_address_ = "p";
  instance.leaving_ = leaving;
  return instance;
}

TEST_CASE("only connected and ready endpoints get work", "[membership]") {
  struct Row {
    bool connected_;
    bool ready_;
    bool leaving_;
    bool listed_leaving_;
    std::chrono::seconds since_report_;
    bool available_;
  };
  const auto row = GENERATE(Row{true, true, false, false, 0s, true},
                            Row{false, true, false, false, 0s, false},
                            Row{true, false, false, false, 0s, false},
                            Row{true, true, true, false, 0s, false},
                            Row{true, true, false, true, 0s, false},
                            Row{true, true, false, false, 4s, false});
  ListedEndpoints roster({.lease_ = 3s});
  roster.SetInstances({Listed(row.listed_leaving_)});
  roster.OnConnected(kId, kStart);
  REQUIRE(roster.OnReport(
      kId, {.incarnation_ = 1, .ready_ = row.ready_, .leaving_ = row.leaving_},
      kStart));
  if (!row.connected_) {
    roster.OnDisconnected(kId);
  }
  const auto available = roster.Available(kRole, kStart + row.since_report_);
  CHECK(available.size() == (row.available_ ? 1 : 0));
}

TEST_CASE("an endpoint that leaves a probe unanswered is the last choice",
          "[membership]") {
  struct Row {
    bool probed_;
    bool replied_;
    bool other_connected_;
    std::chrono::milliseconds later_;
    bool chosen_;
  };
  const auto row = GENERATE(
      Row{true, false, true, 299ms, true}, Row{true, false, true, 301ms, false},
      Row{true, true, true, 301ms, true}, Row{false, false, true, 301ms, true},
      Row{true, false, false, 301ms, true});
  ListedEndpoints roster({.probe_timeout_ = 300ms});
  auto other = Listed(false);
  other.id_ = core::InstanceId("b");
  roster.SetInstances({Listed(false), other});
  for (const auto& id : {kId, other.id_}) {
    roster.OnConnected(id, kStart);
    REQUIRE(roster.OnReport(id, {.incarnation_ = 1, .ready_ = true}, kStart));
  }
  if (!row.other_connected_) {
    roster.OnDisconnected(other.id_);
  }
  if (row.probed_) {
    roster.OnProbed(kId, kStart);
    roster.OnProbed(kId, kStart + 200ms);
  }
  if (row.replied_) {
    roster.OnReceived(kId);
  }
  const auto available = roster.Available(kRole, kStart + row.later_);
  const bool chosen = std::ranges::any_of(
      available,
      [](const EndpointView* view) { return view->instance_.id_ == kId; });
  CHECK(chosen == row.chosen_);
}

TEST_CASE("an endpoint with a high failure rate gets only trial requests",
          "[membership]") {
  struct Row {
    int endpoints_;
    int failing_;
    std::chrono::milliseconds later_;
    std::size_t available_;
  };
  // If half of the endpoints fail, the cause is not the endpoints.
  const auto row =
      GENERATE(Row{3, 1, 999ms, 2}, Row{3, 1, 1000ms, 3}, Row{4, 1, 0ms, 3},
               Row{4, 2, 0ms, 4}, Row{1, 1, 0ms, 1}, Row{5, 2, 0ms, 3});
  ListedEndpoints roster({.breaker_failures_ = 1000, .trial_period_ = 1s});
  std::vector<config::Instance> listed;
  for (int i = 0; i < row.endpoints_; ++i) {
    listed.push_back(Listed(false));
    listed.back().id_ = core::InstanceId(std::to_string(i));
  }
  roster.SetInstances(listed);
  for (int i = 0; i < row.endpoints_; ++i) {
    const auto& id = listed[static_cast<std::size_t>(i)].id_;
    roster.OnConnected(id, kStart);
    REQUIRE(roster.OnReport(id, {.incarnation_ = 1, .ready_ = true}, kStart));
    for (int request = 0; request < 10; ++request) {
      roster.OnRequestSent(id, kStart);
      roster.OnRequestEnded(id, i < row.failing_ && request % 2 == 1, kStart);
    }
  }
  CHECK(roster.Available(kRole, kStart + row.later_).size() == row.available_);
}

TEST_CASE("an entry may use 125 % of its share of the slots", "[membership]") {
  struct Row {
    std::uint64_t capacity_;
    std::uint64_t sharers_;
    std::uint64_t in_flight_;
    std::uint64_t remaining_;
  };
  const auto row = GENERATE(Row{8, 1, 0, 10}, Row{8, 2, 0, 5}, Row{8, 2, 3, 2},
                            Row{8, 2, 7, 0}, Row{12, 9, 0, 2}, Row{1, 9, 0, 1},
                            Row{8, 0, 0, 10});
  ListedEndpoints roster;
  CHECK_FALSE(roster.RemainingRequests(kRole, kStart).has_value());
  roster.SetInstances({Listed(false)});
  roster.OnConnected(kId, kStart);
  REQUIRE(roster.OnReport(
      kId, {.incarnation_ = 1, .ready_ = true, .capacity_ = row.capacity_},
      kStart));
  roster.OnLoad(kId, 3, row.sharers_);
  for (std::uint64_t i = 0; i < row.in_flight_; ++i) {
    roster.OnRequestSent(kId, kStart);
  }
  CHECK(roster.RemainingRequests(kRole, kStart) == row.remaining_);
}

TEST_CASE("reports of a replaced process are refused", "[membership]") {
  ListedEndpoints roster;
  roster.SetInstances({Listed(false)});
  roster.OnConnected(kId, kStart);
  CHECK(roster.OnReport(kId, {.incarnation_ = 2, .ready_ = false}, kStart));
  CHECK_FALSE(
      roster.OnReport(kId, {.incarnation_ = 1, .ready_ = true}, kStart));
  CHECK(roster.Available(kRole, kStart).empty());
}

TEST_CASE("consecutive failures open the circuit breaker for a while",
          "[membership]") {
  ListedEndpoints roster(
      {.lease_ = 1h, .breaker_failures_ = 2, .breaker_time_ = 2s});
  roster.SetInstances({Listed(false)});
  roster.OnConnected(kId, kStart);
  REQUIRE(roster.OnReport(kId, {.ready_ = true}, kStart));
  roster.OnRequestEnded(kId, true, kStart);
  CHECK(roster.Available(kRole, kStart).size() == 1);
  roster.OnRequestEnded(kId, true, kStart);
  CHECK(roster.Available(kRole, kStart).empty());
  CHECK(roster.Available(kRole, kStart + 2s).size() == 1);
}

TEST_CASE("a suspension longer than the limit is detected once",
          "[membership]") {
  SuspensionDetector detector(1s);
  CHECK_FALSE(detector.Tick(kStart));
  CHECK_FALSE(detector.Tick(kStart + 900ms));
  CHECK(detector.Tick(kStart + 2s));
  CHECK_FALSE(detector.Tick(kStart + 2s));
}

TEST_CASE("ranks do not depend on the other members", "[membership]") {
  const std::vector<core::InstanceId> members{
      core::InstanceId("a"), core::InstanceId("b"), core::InstanceId("c")};
  const auto order = HighestRanked("watch", members, 3);
  for (std::size_t rank = 0; rank < order.size(); ++rank) {
    CHECK(RankOf(order[rank], "watch", members) == rank);
  }
  CHECK(RankOf(core::InstanceId("z"), "watch", members) == members.size());
  const std::vector<core::InstanceId> fewer{order[1], order[2]};
  CHECK(HighestRanked("watch", fewer, 1).front() == order[1]);
}

TEST_CASE("a graceful shutdown waits for work up to its limit",
          "[membership]") {
  GracefulShutdown shutdown(10s);
  shutdown.OnWorkAccepted();
  CHECK_FALSE(shutdown.MayExit(kStart));
  shutdown.Begin(kStart);
  CHECK_FALSE(shutdown.accepting());
  CHECK_FALSE(shutdown.MayExit(kStart + 9s));
  CHECK(shutdown.MayExit(kStart + 10s));
  shutdown.OnWorkFinished();
  CHECK(shutdown.MayExit(kStart + 1s));
}

}  // namespace
}  // namespace chalkwell::membership
