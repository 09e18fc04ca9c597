// Endpoint choice: affinity by prompt prefix with bounded load, else the better
// of two; own failure domain first.
#pragma once

#include <cstdint>
#include <optional>
#include <random>
#include <span>
#include <string_view>

#include "chalkwell/core/identifier.hpp"
#include "chalkwell/routing/fwd.hpp"

namespace chalkwell::routing {

/// @brief An endpoint that may take the request.
struct Candidate {
  core::InstanceId id_;
  core::FailureDomainId domain_;
  /// Requests this entry has there now.
  std::uint64_t in_flight_ = 0;
  /// Requests the agent last reported from all entries.
  std::uint64_t reported_load_ = 0;
  /// Requests the back end runs at once; at least 1.
  std::uint64_t capacity_ = 1;

  /// @brief Load relative to capacity: the larger of what is known here and
  /// what was reported.
  [[nodiscard]] double load() const noexcept;
};

/// @brief Settings of the choice.
struct ChoiceSettings {
  /// A prefix's home is taken while its load is at most this times the mean.
  double affinity_bound_ = 1.25;
  /// Other domains are used when the own domain's least load is above this.
  double spill_load_ = 1.0;
};

/// @brief Chooses among candidates.
class EndpointChooser {
 public:
  EndpointChooser(core::FailureDomainId own_domain, ChoiceSettings settings,
                  std::uint64_t seed);

  /// @param prefix what the back end's prefix cache would key on; may be empty.
  [[nodiscard]] std::optional<core::InstanceId> Choose(
      std::span<const Candidate> candidates, std::string_view prefix);

 private:
  core::FailureDomainId own_domain_;
  ChoiceSettings settings_;
  std::mt19937_64 random_;
};

}  // namespace chalkwell::routing
