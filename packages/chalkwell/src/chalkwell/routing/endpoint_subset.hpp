// Deterministic subsetting: each entry uses a few endpoints of its own failure
// domain and fewer of the others, by rendezvous hashing. With few entries per
// endpoint, each of them knows the endpoint's load well; if every entry used
// every endpoint, all would pick the same idle one at once. It also bounds the
// load reports by the sizes of the subsets rather than by entries times
// endpoints.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "chalkwell/core/identifier.hpp"

namespace chalkwell::routing {

/// @brief Size limits of a subset.
struct EndpointSubsetSettings {
  /// Serving endpoints of the local failure domain. The least loaded of ten, by
  /// recent reports, is hardly worse than the least loaded of all.
  std::size_t max_local_ = 10;
  /// Serving endpoints of all failure domains. Remote ones fill the remaining
  /// places and take the load when the local domain loses its endpoints.
  std::size_t max_serving_ = 16;
  /// Local endpoints that hold no weights yet, in addition, so that the entry
  /// knows at once when they become able to serve.
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
