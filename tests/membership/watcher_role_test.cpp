// Tests of which members watch a published document.
#include "chalkwell/membership/watcher_role.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <vector>

namespace chalkwell::membership {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart(1h);
constexpr std::size_t kSmall = 20'000;
constexpr std::size_t kLarge = 1'300'000;

std::vector<core::InstanceId> Members(std::size_t count) {
  std::vector<core::InstanceId> members;
  for (std::size_t i = 0; i < count; ++i) {
    members.emplace_back("e" + std::to_string(i));
  }
  return WatcherRole::FirstInRank(members, count);
}

WatcherRole RoleOf(const std::vector<core::InstanceId>& members,
                   std::size_t rank) {
  WatcherRole role(members[rank]);
  role.SetMembers(members);
  return role;
}

TEST_CASE("the number of watchers depends on the size of the document",
          "[membership]") {
  struct Row {
    std::size_t bytes_;
    std::size_t members_;
    std::size_t watchers_;
  };
  const auto row =
      GENERATE(Row{kSmall, 2, 2}, Row{kSmall, 9, 2}, Row{kSmall, 38, 2},
               Row{100'000, 9, 2}, Row{kLarge, 9, 1}, Row{kLarge, 1, 1},
               Row{kLarge, 38, 1});
  const auto members = Members(row.members_);
  std::size_t watchers = 0;
  for (std::size_t rank = 0; rank < members.size(); ++rank) {
    auto role = RoleOf(members, rank);
    role.OnDocumentReceived(row.bytes_);
    if (rank > 0) {
      role.OnWatcherAnnounced(members[0], kStart);
    }
    CHECK(role.WatcherCount(kStart) == std::max<std::size_t>(1, row.watchers_));
    watchers += role.IsWatcher(kStart) ? 1 : 0;
    CHECK(role.MustAnnounce(kStart) ==
          (role.IsWatcher(kStart) && row.watchers_ < members.size()));
  }
  CHECK(watchers == row.watchers_);
}

TEST_CASE("a member watches while no member ahead in rank announces itself",
          "[membership]") {
  const auto members = Members(4);
  auto role = RoleOf(members, 2);
  role.OnDocumentReceived(kLarge);
  CHECK(role.IsWatcher(kStart));
  role.OnWatcherAnnounced(members[3], kStart);
  CHECK(role.IsWatcher(kStart));
  role.OnWatcherAnnounced(members[1], kStart);
  CHECK_FALSE(role.IsWatcher(kStart));
}

TEST_CASE(
    "a member that has just read awaits an announcement before it watches",
    "[membership]") {
  struct Row {
    std::size_t rank_;
    core::Duration after_;
    bool watches_;
  };
  const auto row = GENERATE(Row{0, 0ms, true}, Row{1, 0ms, true},
                            Row{2, 0ms, false}, Row{2, 1499ms, false},
                            Row{2, 1500ms, true}, Row{3, 1500ms, false});
  const auto members = Members(4);
  auto role = RoleOf(members, row.rank_);
  role.OnFirstReadStarted(kStart);
  // It watches until it has received the document.
  CHECK(role.IsWatcher(kStart));
  role.OnDocumentReceived(kSmall);
  CHECK(role.IsWatcher(kStart + row.after_) == row.watches_);
}

TEST_CASE("without announcements members take over rank by rank",
          "[membership]") {
  const auto members = Members(4);
  const WatcherRoleSettings settings;
  for (std::size_t rank = 1; rank < members.size(); ++rank) {
    auto role = RoleOf(members, rank);
    role.OnDocumentReceived(kLarge);
    role.OnWatcherAnnounced(members[0], kStart);
    const auto due = kStart + settings.takeover_timeout_ +
                     settings.rank_delay_ * (static_cast<int>(rank) - 1);
    CHECK_FALSE(role.IsWatcher(due - 1ms));
    CHECK(role.IsWatcher(due));
    // The member that took over keeps those behind it from watching as well.
    if (rank > 1) {
      role.OnWatcherAnnounced(members[1], due);
      CHECK_FALSE(role.IsWatcher(due));
    }
  }
}

TEST_CASE("the next in rank watches when the first is removed",
          "[membership]") {
  const auto members = Members(4);
  auto role = RoleOf(members, 1);
  role.OnDocumentReceived(kLarge);
  role.OnWatcherAnnounced(members[0], kStart);
  CHECK_FALSE(role.IsWatcher(kStart));
  const std::vector<core::InstanceId> remaining(members.begin() + 1,
                                                members.end());
  role.SetMembers(remaining);
  CHECK(role.IsWatcher(kStart));
}

TEST_CASE("a long first read is left to the first in rank", "[membership]") {
  struct Row {
    std::size_t rank_;
    core::Duration reading_;
    bool watches_;
  };
  const auto row =
      GENERATE(Row{0, 1s, true}, Row{1, 140ms, true}, Row{1, 150ms, false},
               Row{2, 10ms, false}, Row{3, 1s, false});
  const auto members = Members(4);
  auto role = RoleOf(members, row.rank_);
  role.OnFirstReadStarted(kStart);
  if (row.rank_ > 0) {
    role.OnWatcherAnnounced(members[0], kStart + row.reading_);
  }
  CHECK(role.IsWatcher(kStart + row.reading_) == row.watches_);
}

TEST_CASE("all members read an overdue large document at once",
          "[membership]") {
  struct Row {
    std::size_t bytes_;
    std::size_t rank_;
    core::Duration delay_;
  };
  const auto row =
      GENERATE(Row{kSmall, 0, 0ms}, Row{kSmall, 8, 0ms}, Row{kLarge, 0, 0ms},
               Row{kLarge, 1, 100ms}, Row{kLarge, 8, 800ms});
  auto role = RoleOf(Members(9), row.rank_);
  role.OnDocumentReceived(row.bytes_);
  CHECK(role.ReadDelay(kStart) == row.delay_);
}

}  // namespace
}  // namespace chalkwell::membership
