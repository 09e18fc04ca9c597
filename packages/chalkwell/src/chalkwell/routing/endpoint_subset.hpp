// Deterministic subsetting: for each service, an entry uses a few endpoints of
// the local failure domain and fewer remote ones, by rendezvous hashing.
// Between reports, the load of an endpoint then depends on few entries; if
// every entry used every endpoint, all would choose the same idle one at once.
// It also bounds the load reports by the sizes of the subsets rather than by
// entries times endpoints.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "chalkwell/core/identifier.hpp"

namespace chalkwell::routing {

/// @brief Size limits of a subset.
struct EndpointSubsetSettings {
  /// Places of `max_serving_` reserved for serving endpoints of the local
  /// failure domain. Local ones also take places that remote ones leave free.
  /// The least loaded of ten, by recent reports, is hardly worse than the least
  /// loaded of all.
  std::size_t reserved_local_ = 10;
  /// Serving endpoints of all failure domains. Remote ones fill the places that
  /// local ones do not need and take the load when the local domain loses its
  /// endpoints.
  std::size_t max_serving_ = 16;
  /// Local endpoints that hold no weights yet, in addition, so that the entry
  /// knows at once when they become able to serve. Remote endpoints without
  /// weights are added only while the subset is smaller than `max_serving_`.
  std::size_t max_warming_ = 6;
};

/// @brief A candidate for the subset.
struct SubsetCandidate {
  core::InstanceId id_;
  core::FailureDomainId domain_;
  /// False while it is known to hold no weights.
  bool can_serve_ = true;
  /// See SubsetScore.
  std::uint64_t score_ = 0;
};

/// @brief Rendezvous score of an endpoint for an entry; the highest come first.
[[nodiscard]] std::uint64_t SubsetScore(const core::InstanceId& entry,
                                        const core::InstanceId& endpoint);

/// @brief Selects the subset of one entry.
/// @param domain failure domain of the entry.
[[nodiscard]] std::vector<core::InstanceId> ChooseSubset(
    const core::FailureDomainId& domain,
    std::span<const SubsetCandidate> candidates,
    const EndpointSubsetSettings& settings = {});

}  // namespace chalkwell::routing
