// How long ago a caller first asked, as the time it has left shows.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/fwd.hpp"

namespace chalkwell::routing {

/// @brief Learns the times that callers of each route give a fresh request.
///
/// Where they set the same time to the millisecond, those that come back have
/// what is left, scattered: a time that is seen again and again is that of
/// fresh requests. Where each gives a time from a range, those that come back
/// are fewer to a bin below it; their age is known up to that range only, and
/// the least possible one is returned. With few requests seen, ages count from
/// the longest time.
class RequestAgeEstimator {
 public:
  /// @brief Adds a request and returns its age; zero when it is not known.
  core::Duration AddAndEstimate(const std::string& route,
                                core::Duration time_left);

 private:
  struct Seen {
    /// The last ones, oldest first; at most kMemory.
    std::deque<std::int64_t> last_;
    /// How often each of them is among the last.
    std::map<std::int64_t, std::uint32_t> counts_;
  };

  std::map<std::string, Seen> routes_;
};

}  // namespace chalkwell::routing
