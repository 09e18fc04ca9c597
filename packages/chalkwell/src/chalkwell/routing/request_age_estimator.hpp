// Estimates the time since a caller's first attempt from the time to its
// deadline.
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

/// @brief Learns the time to the deadline of first attempts, by route.
///
/// Where callers set the same time to the millisecond, retries have the
/// scattered remainders of it: a time that occurs often is that of first
/// attempts. Where each caller sets a time from a range, retries lie below the
/// range with fewer requests per bin; their age is then known only up to the
/// width of the range, and the lower bound is returned. While few requests were
/// seen, ages are measured from the longest time.
class RequestAgeEstimator {
 public:
  /// @brief Adds a request and returns its estimated age; zero when not known.
  core::Duration AddAndEstimate(const std::string& route,
                                core::Duration time_left);

 private:
  struct History {
    /// Times of the last requests in milliseconds, oldest first; at most
    /// kHistorySize.
    std::deque<std::int64_t> last_;
    /// Number of occurrences of each time in `last_`.
    std::map<std::int64_t, std::uint32_t> counts_;
  };

  std::map<std::string, History> routes_;
};

}  // namespace chalkwell::routing
