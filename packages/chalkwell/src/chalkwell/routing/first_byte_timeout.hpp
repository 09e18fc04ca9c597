// Timeout for the first byte of an attempt, after which an entry makes another
// attempt beside it, or abandons it because its weights are outdated.
#pragma once

#include <cstdint>
#include <optional>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/endpoint_table.hpp"

namespace chalkwell::routing {

/// @brief An attempt whose first byte has not arrived.
struct PendingAttempt {
  /// Target time to first byte, as set for its route.
  core::Duration target_latency_{};
  /// Time to first byte predicted when the endpoint was chosen.
  core::Duration predicted_time_to_first_byte_{};
  /// Whether it could still meet the target when it was sent; a late attempt
  /// has a lower priority at engines.
  bool on_time_ = true;
  /// Version of the weights it starts on; none for services without weights.
  std::optional<std::uint64_t> weights_version_;
  /// The first version constraint that limits its version, from when the
  /// attempt was sent on.
  VersionConstraint version_constraint_;
  /// Its endpoint is unresponsive while others are not.
  bool unresponsive_ = false;
  core::TimePoint sent_at_;
};

/// @brief Time from which an attempt without a first byte is silent. Recompute
/// it while waiting: an endpoint that becomes unresponsive brings it forward.
[[nodiscard]] core::TimePoint FirstByteDeadline(const PendingAttempt& attempt);

/// @brief Time from which the attempt must not start any more, since its
/// weights are outdated; none if they are not about to be.
[[nodiscard]] std::optional<core::TimePoint> LatestStart(
    const PendingAttempt& attempt);

}  // namespace chalkwell::routing
