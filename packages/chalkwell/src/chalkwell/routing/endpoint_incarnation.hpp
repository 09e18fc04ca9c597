// Identifies an incarnation of an endpoint, which may restart under the same
// id.
#pragma once

#include <optional>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"

namespace chalkwell::routing {

/// @brief The id of an endpoint and the time of one of its starts.
struct EndpointIncarnation {
  core::InstanceId id_;
  /// Start time by the endpoint's clock, which may be stepped back: a later
  /// start may have an earlier time. None if unknown.
  std::optional<core::StartTime> started_;

  friend bool operator==(const EndpointIncarnation&,
                         const EndpointIncarnation&) = default;
};

/// @brief Whether two start times distinguish incarnations of one id. An
/// unknown time distinguishes nothing.
[[nodiscard]] inline bool StartTimesDiffer(
    const std::optional<core::StartTime>& left,
    const std::optional<core::StartTime>& right) noexcept {
  return left && right && *left != *right;
}

/// @brief Whether both may be the same incarnation, as far as is known.
[[nodiscard]] inline bool MayBeSameIncarnation(
    const EndpointIncarnation& left, const EndpointIncarnation& right) {
  return left.id_ == right.id_ &&
         !StartTimesDiffer(left.started_, right.started_);
}

}  // namespace chalkwell::routing
