// Neighbours and importers: the recipients of announcements of held chunks.
#include "chalkwell/swarm/neighbours.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>

namespace chalkwell::swarm {
namespace {

std::vector<SwarmMember> Members(int domains, int each) {
  std::vector<SwarmMember> members;
  for (int domain = 0; domain < domains; ++domain) {
    for (int i = 0; i < each; ++i) {
      members.push_back({core::InstanceId("a" + std::to_string(domain) + "-" +
                                          std::to_string(i)),
                         core::FailureDomainId("d" + std::to_string(domain))});
    }
  }
  return members;
}

TEST_CASE("the number of neighbours is bounded", "[swarm]") {
  struct Row {
    int domains_;
    int each_;
    std::size_t max_count_;
  };
  const auto row = GENERATE(Row{1, 1, 0}, Row{3, 4, 5}, Row{3, 15, 10},
                            Row{5, 24, 12}, Row{5, 41, 12}, Row{9, 344, 16});
  const auto members = Members(row.domains_, row.each_);
  const auto neighbours = NeighboursOf(members.front(), members);
  CHECK(neighbours.size() <= row.max_count_);
  // A member may be adjacent to it on more than one ring.
  CHECK(neighbours.size() + 2 >= row.max_count_);
  CHECK(std::ranges::find(neighbours, members.front().id_) == neighbours.end());
}

TEST_CASE("a new member that is not listed yet has neighbours", "[swarm]") {
  // Without neighbours, 84 new engines received their weights after 6 s instead
  // of 3 s.
  const auto members = Members(5, 24);
  const SwarmMember self{core::InstanceId("new"), core::FailureDomainId("d0")};
  CHECK(NeighboursOf(self, members).size() >= 10);
}

TEST_CASE("an announcement reaches every member of a failure domain",
          "[swarm]") {
  const auto each = GENERATE(5, 24, 41, 344);
  const auto members = Members(1, each);
  std::map<core::InstanceId, std::vector<core::InstanceId>> neighbours;
  for (const auto& member : members) {
    neighbours[member.id_] = NeighboursOf(member, members);
  }
  std::set<core::InstanceId> reached{members.front().id_};
  int rounds = 0;
  for (std::size_t before = 0; before < reached.size(); ++rounds) {
    before = reached.size();
    const auto senders = reached;
    for (const auto& id : senders) {
      reached.insert(neighbours[id].begin(), neighbours[id].end());
    }
  }
  CHECK(reached.size() == members.size());
  CHECK(rounds <= 6);
}

TEST_CASE("each member receives from as many members as it announces to",
          "[swarm]") {
  const auto each = GENERATE(2, 5, 9, 24, 41, 344);
  const auto members = Members(4, each);
  std::map<core::InstanceId, std::size_t> senders;
  std::map<core::InstanceId, std::size_t> recipients;
  for (const auto& member : members) {
    const auto neighbours = NeighboursOf(member, members);
    recipients[member.id_] = neighbours.size();
    for (const auto& id : neighbours) {
      ++senders[id];
    }
  }
  CHECK(senders == recipients);
}

TEST_CASE("a chunk from the origin has importers in each remote domain",
          "[swarm]") {
  auto members = Members(5, 24);
  const auto importers = ImportersOf("digest", members.front(), members);
  CHECK(importers.size() == 8);
  for (const auto& member : members) {
    CHECK_FALSE((importers.contains(member.id_) &&
                 member.domain_ == members.front().domain_));
  }
  // A member on a degraded link is not an importer.
  const auto degraded = *importers.begin();
  std::ranges::find(members, degraded, &SwarmMember::id_)->degraded_ = true;
  CHECK_FALSE(
      ImportersOf("digest", members.front(), members).contains(degraded));
}

}  // namespace
}  // namespace chalkwell::swarm
