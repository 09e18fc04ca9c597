// Who reads a published list, and how often.
#include "chalkwell/membership/reader_role.hpp"

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "chalkwell/membership/role_assignment.hpp"

namespace chalkwell::membership {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart(1h);

TEST_CASE("exactly one of a failure domain's members is elected",
          "[membership]") {
  const auto size = GENERATE(1U, 2U, 3U, 9U);
  std::vector<core::InstanceId> members;
  for (std::size_t i = 0; i < size; ++i) {
    members.emplace_back(std::to_string(i));
  }
  std::size_t elected = 0;
  for (const auto& member : members) {
    ReaderRole duty(member, {});
    duty.SetMembers(members);
    duty.OnPeerRead(kStart);
    elected += duty.IsReader(kStart) ? 1 : 0;
  }
  CHECK(elected == 1);
}

TEST_CASE("a member reads seldom only while it is told", "[membership]") {
  struct Row {
    std::size_t rank_;
    std::optional<core::Duration> told_before_;
    core::Duration interval_;
  };
  const auto row = GENERATE(
      Row{0, std::nullopt, 600ms}, Row{1, 100ms, 120s}, Row{1, 800ms, 120s},
      Row{1, 900ms, 600ms}, Row{1, std::nullopt, 600ms},
      // Those behind leave it to those ahead for longer.
      Row{2, 900ms, 120s}, Row{2, 1050ms, 600ms}, Row{3, 1050ms, 120s});
  const std::vector<core::InstanceId> members{
      core::InstanceId("a"), core::InstanceId("b"), core::InstanceId("c"),
      core::InstanceId("d")};
  const auto order = HighestRanked("read-list", members, members.size());
  ReaderRole duty(order[row.rank_], {});
  duty.SetMembers(members);
  if (row.told_before_) {
    duty.OnPeerRead(kStart - *row.told_before_);
  }
  CHECK(duty.Interval(kStart) == row.interval_);
}

TEST_CASE("after a start of all members one goes on reading", "[membership]") {
  std::vector<core::InstanceId> members;
  members.reserve(30);
  for (int i = 0; i < 30; ++i) {
    members.emplace_back(std::to_string(i));
  }
  int reads = 0;
  for (const auto& member : members) {
    ReaderRole duty(member, {});
    duty.SetMembers(members);
    duty.OnRead(kStart);
    reads += duty.Interval(kStart + 100ms) == 600ms ? 1 : 0;
  }
  CHECK(reads == 1);
}

TEST_CASE("a read told by another failure domain stands for the own one",
          "[membership]") {
  struct Row {
    std::size_t domains_ahead_;
    /// After the last own read; none for not since.
    std::optional<core::Duration> told_after_;
    core::Duration interval_;
  };
  const auto row =
      GENERATE(Row{0, std::nullopt, 600ms}, Row{0, 300ms, 900ms},
               Row{1, 300ms, 1050ms}, Row{4, 300ms, 1500ms},
               // Cut off from the others it reads as if it were alone.
               Row{4, std::nullopt, 600ms});
  ReaderRole duty(core::InstanceId("a"), {});
  duty.SetMembers(std::vector{core::InstanceId("a")});
  duty.SetDomainsAhead(row.domains_ahead_);
  duty.OnPeerRead(kStart - 5s);
  duty.OnRead(kStart);
  if (row.told_after_) {
    duty.OnPeerRead(kStart + *row.told_after_);
  }
  CHECK(duty.Interval(kStart + 400ms) == row.interval_);
}

TEST_CASE("while reads fail few go on trying, one more after the other",
          "[membership]") {
  struct Row {
    /// Since the last read that brought the list.
    core::Duration away_;
    std::size_t trying_;
  };
  // Before, all 30 tried 1.4 times a second and more.
  const auto row = GENERATE(Row{500ms, 1}, Row{900ms, 2}, Row{2100ms, 3},
                            Row{4500ms, 5}, Row{8s, 7});
  std::vector<core::InstanceId> members;
  members.reserve(30);
  for (int i = 0; i < 30; ++i) {
    members.emplace_back(std::to_string(i));
  }
  std::size_t trying = 0;
  for (const auto& member : members) {
    ReaderRole duty(member, {});
    duty.SetMembers(members);
    duty.OnPeerRead(kStart);
    for (core::Duration at{}; at <= row.away_; at += 600ms) {
      duty.OnPeerReadFailed(kStart + at);
    }
    const auto now = kStart + row.away_;
    trying += duty.IsReader(now) ? 1 : 0;
    // Nobody hears of them any more: the next ones take over as ever.
    CHECK(duty.IsReader(now + 6s));
  }
  CHECK(trying == row.trying_);
}

TEST_CASE("who knows no other yet waits a little after its first read",
          "[membership]") {
  struct Row {
    std::size_t members_;
    core::Duration after_;
    bool reads_;
  };
  const auto row = GENERATE(Row{1, 600ms, false}, Row{1, 899ms, false},
                            Row{1, 900ms, true}, Row{2, 600ms, true});
  const std::vector<core::InstanceId> all{core::InstanceId("a"),
                                          core::InstanceId("b")};
  const auto first = HighestRanked("read-list", all, 1).front();
  ReaderRole duty(first, {});
  duty.OnRead(kStart);
  duty.SetMembers(row.members_ == 1 ? std::vector{first} : all);
  CHECK(duty.IsReader(kStart + row.after_) == row.reads_);
}

TEST_CASE("however many stand by, none of them believes an old list",
          "[membership]") {
  // Each waited for the one before it: the thirteenth, told nothing any more,
  // chose endpoints by a list of 2.7 s, the thirtieth of 5.3 s. An endpoint
  // that leaves may get work for 2 to 4 s, the time on the way included.
  const auto size = GENERATE(1U, 2U, 13U, 30U, 300U);
  std::vector<core::InstanceId> members;
  for (unsigned i = 0; i < size; ++i) {
    members.emplace_back(std::to_string(i));
  }
  for (const auto& member : members) {
    ReaderRole duty(member, {});
    duty.SetMembers(members);
    duty.OnRead(kStart - 1s);
    duty.OnPeerRead(kStart);
    CHECK(duty.IsReader(kStart + 1500ms));
  }
}

TEST_CASE("an old telling keeps nobody from reading", "[membership]") {
  // A reader stood still between the store's answer and its telling: what it
  // told then counted as read at that moment.
  struct Row {
    core::Duration age_;
    bool tried_;
    bool stale_;
  };
  const auto row = GENERATE(Row{0ms, false, false}, Row{1199ms, false, false},
                            Row{1200ms, false, true}, Row{4s, false, true},
                            // While the publisher is away few go on trying.
                            Row{1300ms, true, false});
  const std::vector<core::InstanceId> members{
      core::InstanceId("a"), core::InstanceId("b"), core::InstanceId("c")};
  const auto last = HighestRanked("read-list", members, 3).back();
  ReaderRole duty(last, {});
  duty.SetMembers(members);
  duty.OnRead(kStart - 5s);
  duty.OnPeerRead(kStart - row.age_);
  if (row.tried_) {
    duty.OnReadFailed(kStart);
  }
  CHECK(duty.IsStale(kStart - row.age_, kStart) == row.stale_);
  // A later telling of something older takes nothing back.
  duty.OnPeerRead(kStart);
  duty.OnPeerRead(kStart - 10s);
  CHECK_FALSE(duty.IsReader(kStart + 1s));
}

TEST_CASE("one who tries in vain tries again as often as it reads",
          "[membership]") {
  ReaderRole duty(core::InstanceId("a"), {});
  duty.SetMembers(std::vector{core::InstanceId("a")});
  duty.SetDomainsAhead(3);
  duty.OnRead(kStart);
  duty.OnPeerRead(kStart + 20s);
  duty.OnReadFailed(kStart + 21s);
  CHECK(duty.Interval(kStart + 21s) == 600ms);
}

}  // namespace
}  // namespace chalkwell::membership
