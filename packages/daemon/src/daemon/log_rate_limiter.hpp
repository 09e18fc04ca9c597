// Rate limit of log lines.
#pragma once

#include <cstdint>

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::daemon {

/// @brief Rate and burst of log lines.
struct LogRateLimit {
  /// About eight times what an entry writes at its usual request rate.
  double lines_per_second_ = 1000;
  /// Capacity of the bucket, in lines.
  double burst_ = 2000;
};

/// @brief Token bucket; one token is one log line.
class LogRateLimiter {
 public:
  explicit LogRateLimiter(LogRateLimit limit = {}) noexcept
      : limit_(limit), tokens_(limit.burst_) {}

  /// @brief Takes a token.
  /// @param now monotonic.
  /// @return false when the bucket is empty: the line must not be written.
  [[nodiscard]] bool TryAcquire(core::TimePoint now) noexcept;

 private:
  LogRateLimit limit_;
  /// Lines that may be written now; at most `burst_`.
  double tokens_;
  core::TimePoint refilled_at_{};
};

}  // namespace chalkwell::daemon
