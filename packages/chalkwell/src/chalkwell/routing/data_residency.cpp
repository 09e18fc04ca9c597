// Regions are resolved to failure domains once per request, so that the choice
// among endpoints compares domains only.
#include "chalkwell/routing/data_residency.hpp"

#include <algorithm>

namespace chalkwell::routing {
namespace {

bool Lists(std::span<const core::RegionId> regions,
           const core::RegionId& region) {
  return regions.empty() || std::ranges::find(regions, region) != regions.end();
}

}  // namespace

AllowedDomains AllowedDomainsOf(std::span<const core::RegionId> route_regions,
                                std::span<const core::RegionId> account_regions,
                                const DomainRegions& regions) {
  if (route_regions.empty() && account_regions.empty()) {
    return std::nullopt;
  }
  std::set<core::FailureDomainId> domains;
  for (const auto& [domain, region] : regions) {
    if (Lists(route_regions, region) && Lists(account_regions, region)) {
      domains.insert(domain);
    }
  }
  return domains;
}

AllowedDomains Intersect(const AllowedDomains& left,
                         const AllowedDomains& right) {
  if (!left || !right) {
    return left ? left : right;
  }
  std::set<core::FailureDomainId> both;
  std::ranges::set_intersection(*left, *right, std::inserter(both, both.end()));
  return both;
}

}  // namespace chalkwell::routing
