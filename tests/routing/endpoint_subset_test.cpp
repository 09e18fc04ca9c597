// Which endpoints an entry uses.
#include "chalkwell/routing/endpoint_subset.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <map>

namespace chalkwell::routing {
namespace {

std::vector<SubsetCandidate> Candidates(const core::InstanceId& entry,
                                        int domains, int each, int warming) {
  std::vector<SubsetCandidate> candidates;
  for (int domain = 0; domain < domains; ++domain) {
    for (int i = 0; i < each + warming; ++i) {
      const core::InstanceId id("i-" + std::to_string(domain) + "-" +
                                std::to_string(i));
      candidates.push_back({id,
                            core::FailureDomainId("d" + std::to_string(domain)),
                            i < each, SubsetRank(entry, id)});
    }
  }
  return candidates;
}

TEST_CASE("a subset's size does not grow with the deployment", "[routing]") {
  struct Row {
    int domains_;
    int each_;
    int warming_;
    std::size_t near_;
    std::size_t far_;
  };
  const auto row =
      GENERATE(Row{3, 4, 0, 4, 8}, Row{3, 15, 0, 10, 6}, Row{5, 24, 0, 10, 6},
               Row{5, 24, 17, 16, 6}, Row{9, 344, 0, 10, 6},
               // What the own domain lacks, the others give.
               Row{5, 2, 0, 2, 8}, Row{2, 3, 0, 3, 3}, Row{1, 40, 0, 16, 0});
  const core::InstanceId entry("e");
  const core::FailureDomainId own("d0");
  const auto subset = ChooseSubset(
      own, Candidates(entry, row.domains_, row.each_, row.warming_));
  const auto near = static_cast<std::size_t>(
      std::ranges::count_if(subset, [](const core::InstanceId& id) {
        return id.value().starts_with("i-0-");
      }));
  CHECK(near == row.near_);
  CHECK(subset.size() - near == row.far_);
}

TEST_CASE("endpoints have like numbers of entries that use them", "[routing]") {
  constexpr int kEntries = 30;
  std::map<core::InstanceId, int> users;
  for (int domain = 0; domain < 5; ++domain) {
    for (int i = 0; i < kEntries; ++i) {
      const core::InstanceId entry("e-" + std::to_string(domain) + "-" +
                                   std::to_string(i));
      const auto subset =
          ChooseSubset(core::FailureDomainId("d" + std::to_string(domain)),
                       Candidates(entry, 5, 24, 0));
      for (const auto& id : subset) {
        ++users[id];
      }
    }
  }
  CHECK(users.size() == 120);
  const auto [least, most] = std::ranges::minmax_element(
      users, {}, [](const auto& entry) { return entry.second; });
  std::cout << "figure users_per_endpoint " << least->second << " to "
            << most->second << " of 150 entries\n";
  CHECK(least->second >= 8);
  CHECK(most->second <= 36);
}

TEST_CASE("a subset changes little when an endpoint goes", "[routing]") {
  const core::InstanceId entry("e");
  const core::FailureDomainId own("d0");
  auto candidates = Candidates(entry, 5, 24, 0);
  const auto before = ChooseSubset(own, candidates);
  std::erase_if(candidates, [&](const SubsetCandidate& candidate) {
    return candidate.id_ == before.front();
  });
  const auto after = ChooseSubset(own, candidates);
  const auto kept =
      std::ranges::count_if(before, [&](const core::InstanceId& id) {
        return std::ranges::find(after, id) != after.end();
      });
  CHECK(after.size() == before.size());
  CHECK(kept == static_cast<std::ptrdiff_t>(before.size()) - 1);
}

}  // namespace
}  // namespace chalkwell::routing
