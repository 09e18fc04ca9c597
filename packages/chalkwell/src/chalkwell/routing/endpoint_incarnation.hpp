// Which life of an endpoint is meant: it may start again under its id.
#pragma once

#include <optional>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"

namespace chalkwell::routing {

/// @brief An id with the time of one start.
struct EndpointIncarnation {
  core::InstanceId id_;
  /// By its own clock, which may be stepped back: a later start may bear an
  /// earlier time. None where it is not told.
  std::optional<core::StartTime> started_;
};

/// @brief Whether two start times tell lives of one id apart. One that is not
/// told tells nothing.
[[nodiscard]] inline bool StartTimesDiffer(
    const std::optional<core::StartTime>& left,
    const std::optional<core::StartTime>& right) noexcept {
  return left && right && *left != *right;
}

/// @brief Whether both may be the same life, as far as is told.
[[nodiscard]] inline bool SameIncarnation(const EndpointIncarnation& left,
                                          const EndpointIncarnation& right) {
  return left.id_ == right.id_ &&
         !StartTimesDiffer(left.started_, right.started_);
}

}  // namespace chalkwell::routing
