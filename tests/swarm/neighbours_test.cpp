// Whom an agent tells what it holds.
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

TEST_CASE("how many an agent tells", "[swarm]") {
  struct Row {
    int domains_;
    int each_;
    std::size_t told_;
  };
  const auto row = GENERATE(Row{1, 1, 0}, Row{3, 4, 5}, Row{3, 15, 10},
                            Row{5, 24, 12}, Row{5, 41, 12}, Row{9, 344, 16});
  const auto members = Members(row.domains_, row.each_);
  const auto neighbours = NeighboursOf(members.front(), members);
  CHECK(neighbours.size() <= row.told_);
  // One may stand beside it in more than one circle.
  CHECK(neighbours.size() + 2 >= row.told_);
  CHECK(std::ranges::find(neighbours, members.front().id_) == neighbours.end());
}

TEST_CASE("a newcomer that is not listed yet has neighbours", "[swarm]") {
  // Without them 84 new engines got their weights after 6 s, not 3.
  const auto members = Members(5, 24);
  const SwarmMember self{core::InstanceId("new"), core::FailureDomainId("d0")};
  CHECK(NeighboursOf(self, members).size() >= 10);
}

TEST_CASE("news of a piece reaches every agent of a failure domain",
          "[swarm]") {
  const auto each = GENERATE(5, 24, 41, 344);
  const auto members = Members(1, each);
  std::map<core::InstanceId, std::vector<core::InstanceId>> told;
  for (const auto& member : members) {
    told[member.id_] = NeighboursOf(member, members);
  }
  std::set<core::InstanceId> reached{members.front().id_};
  int rounds = 0;
  for (std::size_t before = 0; before < reached.size(); ++rounds) {
    before = reached.size();
    const auto now = reached;
    for (const auto& id : now) {
      reached.insert(told[id].begin(), told[id].end());
    }
  }
  CHECK(reached.size() == members.size());
  CHECK(rounds <= 6);
}

TEST_CASE("each agent is told by as many as it tells", "[swarm]") {
  const auto each = GENERATE(2, 5, 9, 24, 41, 344);
  const auto members = Members(4, each);
  std::map<core::InstanceId, std::size_t> told_by;
  std::map<core::InstanceId, std::size_t> tells;
  for (const auto& member : members) {
    const auto neighbours = NeighboursOf(member, members);
    tells[member.id_] = neighbours.size();
    for (const auto& id : neighbours) {
      ++told_by[id];
    }
  }
  CHECK(told_by == tells);
}

TEST_CASE("a drawn piece is told to its importers in each other domain",
          "[swarm]") {
  auto members = Members(5, 24);
  const auto importers = ImportersOf("digest", members.front(), members);
  CHECK(importers.size() == 8);
  for (const auto& member : members) {
    CHECK_FALSE((importers.contains(member.id_) &&
                 member.domain_ == members.front().domain_));
  }
  // One behind a narrowed link is none.
  const auto slow = *importers.begin();
  std::ranges::find(members, slow, &SwarmMember::id_)->slow_ = true;
  CHECK_FALSE(ImportersOf("digest", members.front(), members).contains(slow));
}

}  // namespace
}  // namespace chalkwell::swarm
