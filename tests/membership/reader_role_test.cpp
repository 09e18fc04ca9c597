// Tests of which members read a published list, and how often.
#include "chalkwell/membership/reader_role.hpp"

#include <catch2/catch.hpp>
#include <optional>
#include <vector>

#include "chalkwell/membership/role_assignment.hpp"

namespace chalkwell::membership {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart(1h);

TEST_CASE("exactly one member of a failure domain is the reader",
          "[membership]") {
  const auto size = GENERATE(1U, 2U, 3U, 9U);
  std::vector<core::InstanceId> members;
  for (std::size_t i = 0; i < size; ++i) {
    members.emplace_back(std::to_string(i));
  }
  std::size_t readers = 0;
  for (const auto& member : members) {
    ReaderRole role(member, {});
    role.SetMembers(members);
    role.OnPeerRead(kStart);
    readers += role.IsReader(kStart) ? 1 : 0;
  }
  CHECK(readers == 1);
}

TEST_CASE("a member reads rarely only while reads are announced",
          "[membership]") {
  struct Row {
    std::size_t rank_;
    std::optional<core::Duration> announced_before_;
    core::Duration interval_;
  };
  const auto row = GENERATE(
      Row{0, std::nullopt, 600ms}, Row{1, 100ms, 120s}, Row{1, 800ms, 120s},
      Row{1, 900ms, 600ms}, Row{1, std::nullopt, 600ms},
      // Each rank waits longer than the one before it.
      Row{2, 900ms, 120s}, Row{2, 1050ms, 600ms}, Row{3, 1050ms, 120s});
  const std::vector<core::InstanceId> members{
      core::InstanceId("a"), core::InstanceId("b"), core::InstanceId("c"),
      core::InstanceId("d")};
  const auto order = HighestRanked("read-list", members, members.size());
  ReaderRole role(order[row.rank_], {});
  role.SetMembers(members);
  if (row.announced_before_) {
    role.OnPeerRead(kStart - *row.announced_before_);
  }
  CHECK(role.Interval(kStart) == row.interval_);
}

TEST_CASE("after all members start together one goes on reading",
          "[membership]") {
  std::vector<core::InstanceId> members;
  members.reserve(30);
  for (int i = 0; i < 30; ++i) {
    members.emplace_back(std::to_string(i));
  }
  int readers = 0;
  for (const auto& member : members) {
    ReaderRole role(member, {});
    role.SetMembers(members);
    role.OnRead(kStart);
    readers += role.Interval(kStart + 100ms) == 600ms ? 1 : 0;
  }
  CHECK(readers == 1);
}

TEST_CASE("a read announced by another failure domain replaces a local one",
          "[membership]") {
  struct Row {
    std::size_t domains_ahead_;
    /// Since this member's last read; none if there was no announcement since.
    std::optional<core::Duration> announced_after_;
    core::Duration interval_;
  };
  const auto row =
      GENERATE(Row{0, std::nullopt, 600ms}, Row{0, 300ms, 900ms},
               Row{1, 300ms, 1050ms}, Row{4, 300ms, 1500ms},
               // Partitioned from the other domains it reads as if alone.
               Row{4, std::nullopt, 600ms});
  ReaderRole role(core::InstanceId("a"), {});
  role.SetMembers(std::vector{core::InstanceId("a")});
  role.SetDomainsAhead(row.domains_ahead_);
  role.OnPeerRead(kStart - 5s);
  role.OnRead(kStart);
  if (row.announced_after_) {
    role.OnPeerRead(kStart + *row.announced_after_);
  }
  CHECK(role.Interval(kStart + 400ms) == row.interval_);
}

TEST_CASE("while reads fail few members read, one more per delay",
          "[membership]") {
  struct Row {
    /// Time since the last successful read.
    core::Duration outage_;
    std::size_t readers_;
  };
  // All 30 members used to read, at least 1.4 times per second each.
  const auto row = GENERATE(Row{500ms, 1}, Row{900ms, 2}, Row{2100ms, 3},
                            Row{4500ms, 5}, Row{8s, 7});
  std::vector<core::InstanceId> members;
  members.reserve(30);
  for (int i = 0; i < 30; ++i) {
    members.emplace_back(std::to_string(i));
  }
  std::size_t readers = 0;
  for (const auto& member : members) {
    ReaderRole role(member, {});
    role.SetMembers(members);
    role.OnPeerRead(kStart);
    for (core::Duration at{}; at <= row.outage_; at += 600ms) {
      role.OnPeerReadFailed(kStart + at);
    }
    const auto now = kStart + row.outage_;
    readers += role.IsReader(now) ? 1 : 0;
    // Without further announcements the next ranks take over as usual.
    CHECK(role.IsReader(now + 6s));
  }
  CHECK(readers == row.readers_);
}

TEST_CASE("a member that knows no other waits a little after its first read",
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
  ReaderRole role(first, {});
  role.OnRead(kStart);
  role.SetMembers(row.members_ == 1 ? std::vector{first} : all);
  CHECK(role.IsReader(kStart + row.after_) == row.reads_);
}

TEST_CASE("no member uses an old list, whatever its rank", "[membership]") {
  // Each rank used to wait for the one before it without a limit: once
  // announcements ceased, the thirteenth used a list that was 2.7 s old and the
  // thirtieth one of 5.3 s. A draining endpoint may get requests for 2 to 4 s,
  // including their time on the network.
  const auto size = GENERATE(1U, 2U, 13U, 30U, 300U);
  std::vector<core::InstanceId> members;
  for (unsigned i = 0; i < size; ++i) {
    members.emplace_back(std::to_string(i));
  }
  for (const auto& member : members) {
    ReaderRole role(member, {});
    role.SetMembers(members);
    role.OnRead(kStart - 1s);
    role.OnPeerRead(kStart);
    CHECK(role.IsReader(kStart + 1500ms));
  }
}

TEST_CASE("the announcement of an old read does not postpone reads",
          "[membership]") {
  // A reader was suspended between the response of the store and its
  // announcement; the list used to count as read when it was announced.
  struct Row {
    core::Duration age_;
    bool failed_;
    bool stale_;
  };
  const auto row = GENERATE(Row{0ms, false, false}, Row{1199ms, false, false},
                            Row{1200ms, false, true}, Row{4s, false, true},
                            // Few members read while the store is unreachable.
                            Row{1300ms, true, false});
  const std::vector<core::InstanceId> members{
      core::InstanceId("a"), core::InstanceId("b"), core::InstanceId("c")};
  const auto last = HighestRanked("read-list", members, 3).back();
  ReaderRole role(last, {});
  role.SetMembers(members);
  role.OnRead(kStart - 5s);
  role.OnPeerRead(kStart - row.age_);
  if (row.failed_) {
    role.OnReadFailed(kStart);
  }
  CHECK(role.IsStale(kStart - row.age_, kStart) == row.stale_);
  // A later announcement of an older read changes nothing.
  role.OnPeerRead(kStart);
  role.OnPeerRead(kStart - 10s);
  CHECK_FALSE(role.IsReader(kStart + 1s));
}

TEST_CASE("after a failed read the reader keeps its read interval",
          "[membership]") {
  ReaderRole role(core::InstanceId("a"), {});
  role.SetMembers(std::vector{core::InstanceId("a")});
  role.SetDomainsAhead(3);
  role.OnRead(kStart);
  role.OnPeerRead(kStart + 20s);
  role.OnReadFailed(kStart + 21s);
  CHECK(role.Interval(kStart + 21s) == 600ms);
}

}  // namespace
}  // namespace chalkwell::membership
