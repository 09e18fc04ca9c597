// Deterministic subsetting: for each service, an entry uses a few endpoints of
// the local failure domain and fewer remote ones, by rendezvous hashing.
// Only a few entries then send to an endpoint before its next load report; if
// every entry used every endpoint, all would choose the one that was last
// reported idle. The number of load reports is then the sum of the sizes of the
// subsets rather than entries times endpoints.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "chalkwell/core/identifier.hpp"

namespace chalkwell::routing {

/// @brief Size limits of a subset, in endpoints.
struct EndpointSubsetSettings {
  /// Of the `max_serving_` endpoints that can serve, this many are local if
  /// available, and more if there are too few remote ones. Ten suffice: by
  /// recent reports, the least loaded of ten is hardly more loaded than the
  /// least loaded of all.
  std::size_t reserved_local_ = 10;
  /// Maximum number of endpoints that can serve, of all failure domains. The
  /// remote ones among them take the load when the local domain loses its
  /// endpoints.
  std::size_t max_serving_ = 16;
  /// Maximum number of local endpoints that hold no weights yet, in addition,
  /// so that the entry knows at once when they become able to serve. Remote
  /// endpoints without weights are added only while the subset is smaller than
  /// `max_serving_`.
  std::size_t max_without_weights_ = 6;
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
