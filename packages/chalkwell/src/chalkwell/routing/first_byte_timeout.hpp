// How long an entry waits for the first byte of an attempt before it tries
// elsewhere.
#pragma once

#include <cstdint>
#include <optional>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/endpoint_table.hpp"

namespace chalkwell::routing {

/// @brief An attempt whose first byte is awaited.
struct PendingAttempt {
  /// Within which the answer is worth most.
  core::Duration target_latency_{};
  /// First byte as the choice expected it.
  core::Duration predicted_first_byte_{};
  /// Late ones wait for those on time.
  bool on_time_ = true;
  /// Weights that it is to begin on; none for plain services.
  std::optional<std::uint64_t> weights_version_;
  /// In force as it was sent.
  VersionConstraint version_constraint_;
  /// Nothing is heard of its endpoint any more, while others are heard.
  bool unresponsive_ = false;
  core::TimePoint sent_at_;
};

/// @brief When to give the attempt up, as far as is known now: an endpoint may
/// fall silent meanwhile.
[[nodiscard]] core::TimePoint FirstByteDeadline(const PendingAttempt& attempt);

}  // namespace chalkwell::routing
