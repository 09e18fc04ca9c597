// Data residency: the failure domains in which a request may be processed, from
// the regions that its route and its client account allow. Both apply to every
// attempt of the request: the first one, retries and resumed streams.
#pragma once

#include <map>
#include <optional>
#include <set>
#include <span>

#include "chalkwell/core/identifier.hpp"

namespace chalkwell::routing {

/// @brief Failure domains in which a request may be processed; none for all of
/// them.
using AllowedDomains = std::optional<std::set<core::FailureDomainId>>;

/// @brief Region of each failure domain.
using DomainRegions = std::map<core::FailureDomainId, core::RegionId>;

/// @brief Failure domains that lie in regions allowed by both lists.
///
/// A domain whose region is not known is allowed only if neither list restricts
/// the request.
/// @param route_regions regions that the route allows; empty for all.
/// @param account_regions regions that the client account allows; empty for
/// all.
[[nodiscard]] AllowedDomains AllowedDomainsOf(
    std::span<const core::RegionId> route_regions,
    std::span<const core::RegionId> account_regions,
    const DomainRegions& regions);

/// @brief Failure domains that both sets allow.
[[nodiscard]] AllowedDomains Intersect(const AllowedDomains& left,
                                       const AllowedDomains& right);

/// @brief Whether a failure domain belongs to the allowed ones.
[[nodiscard]] inline bool Allows(const AllowedDomains& allowed,
                                 const core::FailureDomainId& domain) {
  return !allowed || allowed->contains(domain);
}

}  // namespace chalkwell::routing
