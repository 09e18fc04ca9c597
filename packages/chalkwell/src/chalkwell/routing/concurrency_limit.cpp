// Starts from what is under way as the first stream is late.
#include "chalkwell/routing/concurrency_limit.hpp"

namespace chalkwell::routing {

void ConcurrencyLimit::OnOutcome(bool in_time) noexcept {
  const double most =
      std::max(settings_.least_, settings_.headroom_ * under_way_);
  if (!limited_) {
    if (!in_time) {
      limited_ = true;
      limit_ = most;
    }
    return;
  }
  const double late_share = settings_.late_share_;
  const double rise =
      settings_.decrease_ * limit_ * late_share / (1 - late_share);
  limit_ = in_time
               ? std::max(limit_, std::min(limit_ + rise, most))
               : std::max(settings_.least_, std::min(limit_, most) -
                                                settings_.decrease_ * limit_);
}

}  // namespace chalkwell::routing
