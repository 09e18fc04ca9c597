// Refills and drains the token bucket.
#include "daemon/log_rate_limiter.hpp"

#include <algorithm>

namespace chalkwell::daemon {

bool LogRateLimiter::TryAcquire(core::TimePoint now) noexcept {
  const std::chrono::duration<double> elapsed = now - refilled_at_;
  refilled_at_ = now;
  tokens_ = std::min(limit_.burst_,
                     tokens_ + elapsed.count() * limit_.lines_per_second_);
  if (tokens_ < 1) {
    return false;
  }
  --tokens_;
  return true;
}

}  // namespace chalkwell::daemon
