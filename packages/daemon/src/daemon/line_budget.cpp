// Token bucket.
#include "daemon/line_budget.hpp"

#include <algorithm>

namespace chalkwell::daemon {

bool LineBudget::Take(core::TimePoint now) noexcept {
  const std::chrono::duration<double> passed = now - filled_at_;
  filled_at_ = now;
  tokens_ = std::min(settings_.burst_,
                     tokens_ + passed.count() * settings_.lines_per_second_);
  if (tokens_ < 1) {
    return false;
  }
  --tokens_;
  return true;
}

}  // namespace chalkwell::daemon
