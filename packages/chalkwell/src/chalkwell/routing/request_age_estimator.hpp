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
/// The age is the usual time to the deadline of first attempts minus the time
/// left. That usual time is found as follows:
/// - If callers set one fixed timeout, first attempts have equal times to the
///   deadline, and retries have shorter, differing ones: a frequent value is
///   that of first attempts. The next longer frequent value is used.
/// - If timeouts vary within a range, a histogram of the times is used: retries
///   fall into sparser bins below the range. Their age is known only up to the
///   width of the range, and its lower bound is returned.
/// - While few requests were seen, the next longer frequent value is used, or
///   else the longest.
class RequestAgeEstimator {
 public:
  /// @brief Adds a request and returns its estimated age; zero for a first
  /// attempt or when not known.
  core::Duration AddAndEstimate(const std::string& route,
                                core::Duration time_left);

 private:
  struct History {
    /// Times to the deadline of the last requests in milliseconds, oldest
    /// first; at most kHistorySize.
    std::deque<std::int64_t> last_;
    /// Number of occurrences of each time in `last_`.
    std::map<std::int64_t, std::uint32_t> counts_;
  };

  std::map<std::string, History> routes_;
};

}  // namespace chalkwell::routing
