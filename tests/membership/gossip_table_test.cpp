// Tests of membership by gossip: heartbeat counters order rows, and lost
// members are not restored by old copies.
#include "chalkwell/membership/gossip_table.hpp"

#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <set>

#include "chalkwell/membership/role_assignment.hpp"

namespace chalkwell::membership {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart{1000s};

Member Row(const std::string& id, std::uint64_t heartbeat,
           std::uint64_t incarnation = 1, const std::string& domain = "d1") {
  Member member;
  member.id_ = core::InstanceId(id);
  member.incarnation_ = incarnation;
  member.domain_ = core::FailureDomainId(domain);
  member.address_ = id + ":1";
  member.heartbeat_ = heartbeat;
  return member;
}

GossipTable Table() { return GossipTable(Row("self", 0), {}, 1); }

TEST_CASE("the outcome of merging a row", "[membership]") {
  struct Case {
    std::string name_;
    Member row_;
    MergeOutcome outcome_;
  };
  auto leaving = Row("a", 9);
  leaving.leaving_ = true;
  auto unknown_leaving = Row("z", 9);
  unknown_leaving.leaving_ = true;
  const auto row = GENERATE_COPY(
      Case{"a new member", Row("b", 1), MergeOutcome::kJoined},
      Case{"a higher heartbeat", Row("a", 6), MergeOutcome::kUpdated},
      Case{"the same heartbeat", Row("a", 5), MergeOutcome::kUnchanged},
      Case{"an old heartbeat", Row("a", 4), MergeOutcome::kUnchanged},
      Case{"another incarnation", Row("a", 1, 2), MergeOutcome::kJoined},
      Case{"a member leaves", leaving, MergeOutcome::kUpdated},
      Case{"an unknown member leaves", unknown_leaving,
           MergeOutcome::kUnchanged},
      Case{"this process", Row("self", 99), MergeOutcome::kUnchanged});
  CAPTURE(row.name_);
  auto table = Table();
  table.Merge(Row("a", 5), kStart);
  CHECK(table.Merge(row.row_, kStart) == row.outcome_);
}

TEST_CASE(
    "a member whose heartbeat counter stops is lost, and old copies do not "
    "restore it",
    "[membership]") {
  auto table = Table();
  table.Merge(Row("a", 5), kStart);
  CHECK(table.Expire(kStart + 5s).empty());
  CHECK(table.Unresponsive(3, kStart + 2s).empty());
  CHECK(table.Unresponsive(3, kStart + 3s).size() == 1);
  REQUIRE(table.Expire(kStart + 6s).size() == 1);
  CHECK(table.Expire(kStart + 6s).empty());
  CHECK(table.Live().empty());
  table.Merge(Row("a", 5), kStart + 11s);
  CHECK(table.Live().empty());
  CHECK(table.Merge(Row("a", 6), kStart + 12s) == MergeOutcome::kJoined);
  CHECK(table.Live().size() == 1);
}

TEST_CASE("of two incarnations at one address the one received last counts",
          "[membership]") {
  auto table = Table();
  table.Merge(Row("a", 50, 1), kStart);
  table.Merge(Row("a", 1, 2), kStart + 1s);
  REQUIRE(table.Live().size() == 1);
  CHECK(table.Live().front().incarnation_ == 2);
}

TEST_CASE("members of the local failure domain are the first gossip targets",
          "[membership]") {
  auto table = Table();
  for (int i = 0; i < 20; ++i) {
    table.Merge(Row("far" + std::to_string(i), 1, 1, "d2"), kStart);
  }
  table.Merge(Row("near", 1), kStart);
  for (int i = 0; i < 10; ++i) {
    const auto targets = table.GossipTargets(2);
    REQUIRE(targets.size() == 2);
    CHECK(targets.front().id_.value() == "near");
  }
}

TEST_CASE("only the first members in rank of a remote failure domain are kept",
          "[membership]") {
  auto table = Table();
  std::vector<core::InstanceId> ids;
  for (int i = 0; i < 20; ++i) {
    auto row = Row("far" + std::to_string(i), 1, 1, "d2");
    row.local_members_ = 20;
    ids.push_back(row.id_);
    table.Merge(row, kStart);
  }
  const auto first = HighestRanked(kWatcherRoleKey, ids, 3);
  std::set<core::InstanceId> kept;
  for (const auto& member : table.Live()) {
    kept.insert(member.id_);
  }
  CHECK(kept == std::set<core::InstanceId>(first.begin(), first.end()));
  // All of them count, since the kept ones report their number.
  CHECK(table.DeploymentSize() == 21);
  // A lost member makes room for the next in rank.
  table.Expire(kStart + 6s);
  CHECK(table.Merge(Row("far3", 2, 1, "d2"), kStart + 7s) ==
        MergeOutcome::kJoined);
}

TEST_CASE("members discover each other and none is lost by random gossip",
          "[membership]") {
  CHECK(rc::check([](std::uint32_t seed) {
    constexpr std::size_t kMembers = 30;
    constexpr int kJoinRounds = 20;
    std::vector<GossipTable> tables;
    for (std::size_t i = 0; i < kMembers; ++i) {
      tables.emplace_back(Row("m" + std::to_string(i), 0), GossipSettings{},
                          seed + i);
    }
    const auto index = [](const Member& member) {
      return std::stoul(member.id_.value().substr(1));
    };
    auto now = kStart;
    for (int round = 0; round < 40; ++round) {
      now += 1s;
      for (auto& table : tables) {
        table.RaiseHeartbeat();
        auto targets = table.GossipTargets(2);
        if (round == 0) {
          targets.push_back(tables.front().self());
        }
        for (const auto& target : targets) {
          auto& receiver = tables[index(target)];
          // Replies to a new member at once, as the daemon does.
          if (receiver.Merge(table.self(), now) == MergeOutcome::kJoined) {
            for (const auto& row : receiver.Sample(24, table.self().domain_)) {
              table.Merge(row, now);
            }
          }
          for (const auto& row : table.Sample(18, target.domain_)) {
            receiver.Merge(row, now);
          }
        }
      }
      for (auto& table : tables) {
        for (const auto& member : table.Unresponsive(8, now)) {
          auto& probed = tables[index(member)];
          probed.RaiseHeartbeat();
          table.Merge(probed.self(), now);
        }
      }
      for (auto& table : tables) {
        RC_ASSERT(table.Expire(now).empty());
        RC_ASSERT(round < kJoinRounds || table.Live().size() == kMembers - 1);
      }
    }
  }));
}

}  // namespace
}  // namespace chalkwell::membership
