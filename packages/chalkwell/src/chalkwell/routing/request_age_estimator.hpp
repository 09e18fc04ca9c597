// Estimates how long ago a caller first sent a request, from the time left to
// its deadline. Attempts and retries are those of the caller here, not those of
// the entry.
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
/// - If callers set a fixed timeout, first attempts have equal times to the
///   deadline, and retries have shorter, differing ones: a value that several
///   requests share is that of first attempts. The smallest such value that is
///   not below the request's time left is used.
/// - If timeouts vary within a range, a histogram of the times is used: retries
///   fall into sparser bins below the range. Their age can be determined only
///   with an uncertainty of the width of the range; the smallest possible age
///   is returned.
/// - While few requests were seen, a shared value is used, as for fixed
///   timeouts, or else the longest time seen.
class RequestAgeEstimator {
 public:
  /// @brief Adds a request and estimates its age.
  /// @param time_left time to the request's deadline.
  /// @return time since the caller's first attempt; zero for a first attempt or
  /// when not known.
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
