// Failure domains in which a request may be processed.
#include "chalkwell/routing/data_residency.hpp"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace chalkwell::routing {
namespace {

using Names = std::vector<std::string>;

const DomainRegions kRegions{
    {core::FailureDomainId("n1"), core::RegionId("north")},
    {core::FailureDomainId("n2"), core::RegionId("north")},
    {core::FailureDomainId("s1"), core::RegionId("south")},
    {core::FailureDomainId("e1"), core::RegionId("east")}};

std::vector<core::RegionId> Regions(const Names& names) {
  return {names.begin(), names.end()};
}

std::set<core::FailureDomainId> Domains(const Names& names) {
  std::set<core::FailureDomainId> domains;
  for (const auto& name : names) {
    domains.emplace(name);
  }
  return domains;
}

TEST_CASE("route and account both restrict where a request is processed",
          "[routing]") {
  struct Row {
    Names route_;
    Names account_;
    Names domains_;
  };
  const auto row =
      GENERATE(Row{{"north"}, {}, {"n1", "n2"}}, Row{{}, {"south"}, {"s1"}},
               Row{{"north", "south"}, {"south", "east"}, {"s1"}},
               Row{{"north"}, {"south"}, {}}, Row{{"unknown"}, {}, {}});
  const auto allowed =
      AllowedDomainsOf(Regions(row.route_), Regions(row.account_), kRegions);
  REQUIRE(allowed);
  CHECK(*allowed == Domains(row.domains_));
  CHECK_FALSE(Allows(allowed, core::FailureDomainId("region-not-known")));
}

TEST_CASE("without restrictions a request is processed anywhere", "[routing]") {
  const auto allowed = AllowedDomainsOf({}, {}, kRegions);
  CHECK_FALSE(allowed);
  CHECK(Allows(allowed, core::FailureDomainId("region-not-known")));
}

TEST_CASE("rules that changed during a request restrict it further",
          "[routing]") {
  struct Row {
    AllowedDomains left_;
    AllowedDomains right_;
    AllowedDomains both_;
  };
  const auto row = GENERATE(
      Row{std::nullopt, std::nullopt, std::nullopt},
      Row{Domains({"n1"}), std::nullopt, Domains({"n1"})},
      Row{std::nullopt, Domains({"s1"}), Domains({"s1"})},
      Row{Domains({"n1", "n2"}), Domains({"n2", "s1"}), Domains({"n2"})},
      Row{Domains({"n1"}), Domains({"s1"}), Domains({})});
  CHECK(Intersect(row.left_, row.right_) == row.both_);
}

}  // namespace
}  // namespace chalkwell::routing
