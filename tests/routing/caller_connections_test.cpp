// Which connection is closed for a new one.
#include "chalkwell/routing/caller_connections.hpp"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;
using enum ConnectionPhase;

constexpr core::TimePoint kNow{std::chrono::hours(1)};

CallerConnectionsSettings Settings() {
  return {.max_connections_ = 4, .closing_share_ = 0.25, .protected_time_ = 1s};
}

struct Member {
  ConnectionPhase phase_;
  core::Duration age_;
};

struct Row {
  std::string name_;
  std::vector<Member> members_;
  bool full_;
  /// Number of the member to close, from 1; 0 for none.
  std::size_t selected_;
};

TEST_CASE("a connection in use is closed for a new one", "[routing]") {
  const auto row = GENERATE(
      Row{"room is left", {{kHandling, 9s}, {kIdle, 9s}}, false, 2},
      Row{"the longest idle one",
          {{kIdle, 2s}, {kIdle, 9s}, {kReceiving, 99s}},
          true,
          2},
      Row{"an idle one before a slow request",
          {{kReceiving, 99s}, {kHandling, 99s}, {kIdle, 0s}},
          true,
          3},
      Row{"the slowest request",
          {{kReceiving, 2s}, {kReceiving, 9s}, {kHandling, 99s}},
          true,
          2},
      Row{"a request that has just begun",
          {{kReceiving, 900ms}, {kHandling, 9s}, {kHandling, 9s}},
          true,
          0},
      Row{"requests that are handled",
          {{kHandling, 9s}, {kHandling, 9s}, {kHandling, 9s}},
          true,
          0},
      Row{"closing connections take no other place",
          {{kHandling, 9s}, {kHandling, 9s}, {kClosing, 9s}, {kClosing, 9s}},
          false,
          0});
  CAPTURE(row.name_);
  CallerConnections connections(Settings());
  std::vector<CallerConnections::ConnectionId> ids;
  for (std::size_t i = 0; i < row.members_.size(); ++i) {
    ids.push_back(connections.Add(kNow - 100s));
  }
  // Time does not go back.
  for (auto age = 100s; age >= 0s; --age) {
    for (std::size_t i = 0; i < row.members_.size(); ++i) {
      const auto& member = row.members_[i];
      if (std::chrono::ceil<std::chrono::seconds>(member.age_) == age) {
        connections.SetPhase(ids[i], member.phase_, kNow - member.age_);
      }
    }
  }
  CHECK(connections.full() == row.full_);
  const auto selected = connections.SelectForNew(kNow);
  REQUIRE(selected.has_value() == (row.selected_ > 0));
  if (selected) {
    CHECK(*selected == ids.at(row.selected_ - 1));
  }
}

TEST_CASE("closing connections take all descriptors", "[routing]") {
  CallerConnections connections(Settings());
  const auto first = connections.Add(kNow);
  const auto second = connections.Add(kNow);
  connections.SetPhase(second, kClosing, kNow + 1s);
  CHECK_FALSE(connections.SelectOverdue());
  connections.SetPhase(first, kClosing, kNow + 2s);
  CHECK(connections.SelectOverdue() == second);
  connections.Remove(second);
  CHECK_FALSE(connections.SelectOverdue());
  CHECK(connections.size() == 1);
}

TEST_CASE("connections without a limit are closed", "[routing]") {
  CallerConnections connections({.max_connections_ = 0});
  for (int i = 0; i < 1000; ++i) {
    connections.SetPhase(connections.Add(kNow), kClosing, kNow);
  }
  CHECK_FALSE(connections.full());
  CHECK_FALSE(connections.SelectOverdue());
}

}  // namespace
}  // namespace chalkwell::routing
