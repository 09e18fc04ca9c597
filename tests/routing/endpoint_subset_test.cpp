// Tests of the subset of endpoints that an entry uses.
#include "chalkwell/routing/endpoint_subset.hpp"

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <map>

namespace chalkwell::routing {
namespace {

std::vector<SubsetCandidate> Candidates(const core::InstanceId& entry,
                                        int domains, int serving, int warming) {
  std::vector<SubsetCandidate> candidates;
  for (int domain = 0; domain < domains; ++domain) {
    for (int i = 0; i < serving + warming; ++i) {
      const core::InstanceId id("i-" + std::to_string(domain) + "-" +
                                std::to_string(i));
      candidates.push_back({id,
                            core::FailureDomainId("d" + std::to_string(domain)),
                            i < serving, SubsetScore(entry, id)});
    }
  }
  return candidates;
}

TEST_CASE("the size of a subset does not grow with the deployment",
          "[routing]") {
  struct Row {
    int domains_;
    /// Endpoints per domain.
    int serving_;
    int warming_;
    /// Expected endpoints of the subset.
    std::size_t local_;
    std::size_t remote_;
  };
  const auto row =
      GENERATE(Row{3, 4, 0, 4, 8}, Row{3, 15, 0, 10, 6}, Row{5, 24, 0, 10, 6},
               Row{5, 24, 17, 16, 6}, Row{9, 344, 0, 10, 6},
               // Remote endpoints make up for missing local ones, and the
               // reverse.
               Row{5, 2, 0, 2, 8}, Row{2, 3, 0, 3, 3}, Row{1, 40, 0, 16, 0});
  const core::InstanceId entry("e");
  const core::FailureDomainId local_domain("d0");
  const auto subset =
      ChooseSubset(local_domain,
                   Candidates(entry, row.domains_, row.serving_, row.warming_));
  const auto local = static_cast<std::size_t>(
      std::ranges::count_if(subset, [](const core::InstanceId& id) {
        return id.value().starts_with("i-0-");
      }));
  CHECK(local == row.local_);
  CHECK(subset.size() - local == row.remote_);
}

TEST_CASE("endpoints are used by similar numbers of entries", "[routing]") {
  constexpr int kEntriesPerDomain = 30;
  std::map<core::InstanceId, int> users;
  for (int domain = 0; domain < 5; ++domain) {
    for (int i = 0; i < kEntriesPerDomain; ++i) {
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
  const auto [min_users, max_users] = std::ranges::minmax_element(
      users, {}, [](const auto& entry) { return entry.second; });
  std::cout << "figure users_per_endpoint " << min_users->second << " to "
            << max_users->second << " of 150 entries\n";
  CHECK(min_users->second >= 8);
  CHECK(max_users->second <= 36);
}

TEST_CASE("removing an endpoint replaces only that one in a subset",
          "[routing]") {
  const core::InstanceId entry("e");
  const core::FailureDomainId local_domain("d0");
  auto candidates = Candidates(entry, 5, 24, 0);
  const auto before = ChooseSubset(local_domain, candidates);
  std::erase_if(candidates, [&](const SubsetCandidate& candidate) {
    return candidate.id_ == before.front();
  });
  const auto after = ChooseSubset(local_domain, candidates);
  const auto retained =
      std::ranges::count_if(before, [&](const core::InstanceId& id) {
        return std::ranges::find(after, id) != after.end();
      });
  CHECK(after.size() == before.size());
  CHECK(retained == static_cast<std::ptrdiff_t>(before.size()) - 1);
}

}  // namespace
}  // namespace chalkwell::routing
