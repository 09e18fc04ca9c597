// Who takes a published document from its publisher.
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

WatcherRole DutyOf(const std::vector<core::InstanceId>& members,
                   std::size_t rank) {
  WatcherRole duty(members[rank]);
  duty.SetMembers(members);
  return duty;
}

TEST_CASE("how many of a failure domain watch a document of a size",
          "[membership]") {
  struct Row {
    std::size_t bytes_;
    std::size_t members_;
    std::size_t watch_;
  };
  const auto row =
      GENERATE(Row{kSmall, 2, 2}, Row{kSmall, 9, 2}, Row{kSmall, 38, 2},
               Row{100'000, 9, 2}, Row{kLarge, 9, 1}, Row{kLarge, 1, 1},
               Row{kLarge, 38, 1});
  const auto members = Members(row.members_);
  std::size_t watch = 0;
  for (std::size_t rank = 0; rank < members.size(); ++rank) {
    auto duty = DutyOf(members, rank);
    duty.OnDocumentReceived(row.bytes_);
    if (rank > 0) {
      duty.OnWatcherAnnounced(members[0], kStart);
    }
    CHECK(duty.WatcherCount(kStart) == std::max<std::size_t>(1, row.watch_));
    watch += duty.IsWatcher(kStart) ? 1 : 0;
    CHECK(duty.MustAnnounce(kStart) ==
          (duty.IsWatcher(kStart) && row.watch_ < members.size()));
  }
  CHECK(watch == row.watch_);
}

TEST_CASE("a member watches as long as none ahead says that it does",
          "[membership]") {
  const auto members = Members(4);
  auto duty = DutyOf(members, 2);
  duty.OnDocumentReceived(kLarge);
  CHECK(duty.IsWatcher(kStart));
  duty.OnWatcherAnnounced(members[3], kStart);
  CHECK(duty.IsWatcher(kStart));
  duty.OnWatcherAnnounced(members[1], kStart);
  CHECK_FALSE(duty.IsWatcher(kStart));
}

TEST_CASE("who has just read waits for a first word before it watches",
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
  auto duty = DutyOf(members, row.rank_);
  duty.OnFirstReadStarted(kStart);
  // Until it has the document it goes on reading.
  CHECK(duty.IsWatcher(kStart));
  duty.OnDocumentReceived(kSmall);
  CHECK(duty.IsWatcher(kStart + row.after_) == row.watches_);
}

TEST_CASE("silence passes the duty on one after the other", "[membership]") {
  const auto members = Members(4);
  const WatcherRoleSettings settings;
  for (std::size_t rank = 1; rank < members.size(); ++rank) {
    auto duty = DutyOf(members, rank);
    duty.OnDocumentReceived(kLarge);
    duty.OnWatcherAnnounced(members[0], kStart);
    const auto due = kStart + settings.patience_ +
                     settings.step_ * (static_cast<int>(rank) - 1);
    CHECK_FALSE(duty.IsWatcher(due - 1ms));
    CHECK(duty.IsWatcher(due));
    // Whoever took it up keeps those behind it from doing so too.
    if (rank > 1) {
      duty.OnWatcherAnnounced(members[1], due);
      CHECK_FALSE(duty.IsWatcher(due));
    }
  }
}

TEST_CASE("the next in rank has the duty when the first is gone",
          "[membership]") {
  const auto members = Members(4);
  auto duty = DutyOf(members, 1);
  duty.OnDocumentReceived(kLarge);
  duty.OnWatcherAnnounced(members[0], kStart);
  CHECK_FALSE(duty.IsWatcher(kStart));
  const std::vector<core::InstanceId> left(members.begin() + 1, members.end());
  duty.SetMembers(left);
  CHECK(duty.IsWatcher(kStart));
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
  auto duty = DutyOf(members, row.rank_);
  duty.OnFirstReadStarted(kStart);
  if (row.rank_ > 0) {
    duty.OnWatcherAnnounced(members[0], kStart + row.reading_);
  }
  CHECK(duty.IsWatcher(kStart + row.reading_) == row.watches_);
}

}  // namespace
}  // namespace chalkwell::membership
