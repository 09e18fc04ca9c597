// Admission of requests that arrive while the process drains before its end.
#pragma once

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::routing {

/// @brief A request that arrives at a draining process.
struct LateRequest {
  /// It may be sent again after its response was cut off.
  bool repeatable_ = true;
  core::TimePoint deadline_;
  core::Duration target_latency_{};
};

/// @brief Whether a request can have its response before a draining process
/// ends its requests.
///
/// One that may not be repeated must be certain to: its caller could not tell
/// whether it ran. Any other is admitted if its target latency is left.
/// @param end when the process ends the requests that are still in flight.
[[nodiscard]] bool CanFinishBefore(core::TimePoint end,
                                   const LateRequest& request,
                                   core::TimePoint now);

}  // namespace chalkwell::routing
