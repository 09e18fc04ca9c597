// Selects an endpoint by affinity to a prompt prefix with bounded load,
// otherwise by the power of two choices. Endpoints of the local failure domain
// come first.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>

#include "chalkwell/core/identifier.hpp"
#include "chalkwell/routing/fwd.hpp"

namespace chalkwell::routing {

/// @brief An endpoint that can serve the request.
struct Candidate {
  core::InstanceId id_;
  core::FailureDomainId domain_;
  /// Requests of this entry in flight at the endpoint.
  std::uint64_t in_flight_ = 0;
  /// Requests of all entries, as last reported by the endpoint's agent.
  std::uint64_t reported_load_ = 0;
  /// Concurrent requests that the backend supports; at least 1.
  std::uint64_t capacity_ = 1;

  /// @brief Larger of `in_flight_` and `reported_load_`, relative to the
  /// capacity.
  [[nodiscard]] double load() const noexcept;
};

/// @brief Settings of AffinityChooser.
struct AffinityChooserSettings {
  /// The preferred endpoint of a prefix is used while its load is at most this
  /// multiple of the mean load of the endpoints considered, plus one request.
  double affinity_bound_ = 1.25;
  /// Endpoints of all failure domains are considered when each local one has
  /// at least this load.
  double spillover_load_ = 1.0;
};

/// @brief Chooses by prefix affinity and load. Entries that send requests
/// straight to endpoints, not through agents, use EndpointTable::Choose
/// instead, which chooses by predicted cost.
class AffinityChooser {
 public:
  AffinityChooser(core::FailureDomainId local_domain,
                  AffinityChooserSettings settings, std::uint64_t seed);

  /// @brief Chooses one of the candidates.
  /// @param prefix prompt prefix that keys the backend's prefix cache; may be
  /// empty.
  /// @return none if there are no candidates.
  [[nodiscard]] std::optional<core::InstanceId> Choose(
      std::span<const Candidate> candidates, std::string_view prefix);

 private:
  core::FailureDomainId local_domain_;
  AffinityChooserSettings settings_;
  std::mt19937_64 random_;
};

}  // namespace chalkwell::routing
