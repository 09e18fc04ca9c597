// Which endpoints an entry uses: few of its failure domain and fewer of the
// others, by rendezvous rank. Each endpoint has few choosers, who know its load
// well, in place of all, who choose the same idle one at once. Reports cost
// what subsets hold, not entries times endpoints.
#pragma once

#include <cstdint>
#include <span>
#include <vector>

#include "chalkwell/core/identifier.hpp"

namespace chalkwell::routing {

/// @brief Settings of a subset.
struct EndpointSubsetSettings {
  /// Endpoints of the own failure domain: the best of ten by fresh load is
  /// hardly worse than the best of all.
  std::size_t near_ = 10;
  /// All that can serve: those of other domains fill up what the own one lacks,
  /// and are where load goes when a domain has lost its endpoints.
  std::size_t all_ = 16;
  /// Endpoints that hold no weights yet, beyond those: what comes to serve is
  /// known at once.
  std::size_t warming_ = 6;
};

/// @brief An endpoint that could be in a subset.
struct SubsetCandidate {
  core::InstanceId id_;
  core::FailureDomainId domain_;
  /// It can serve as far as is known.
  bool serves_ = true;
  /// Rank by rendezvous; see SubsetRank.
  std::uint64_t rank_ = 0;
};

/// @brief Rank of an endpoint for an entry; the higher, the earlier.
[[nodiscard]] std::uint64_t SubsetRank(const core::InstanceId& entry,
                                       const core::InstanceId& endpoint);

/// @brief The subset of one entry.
/// @param domain failure domain of the entry.
[[nodiscard]] std::vector<core::InstanceId> ChooseSubset(
    const core::FailureDomainId& domain,
    std::span<const SubsetCandidate> candidates,
    const EndpointSubsetSettings& settings = {});

}  // namespace chalkwell::routing
