// State of a graceful shutdown.
#include "chalkwell/membership/graceful_shutdown.hpp"

namespace chalkwell::membership {

bool GracefulShutdown::MayExit(core::TimePoint now) const noexcept {
  if (!began_at_) {
    return false;
  }
  return pending_ == 0 || faults_.exit_with_pending_work_ ||
         now - *began_at_ >= limit_;
}

std::optional<core::TimePoint> GracefulShutdown::drain_end() const noexcept {
  return began_at_ ? std::optional(*began_at_ + limit_) : std::nullopt;
}

void GracefulShutdown::Begin(core::TimePoint now) noexcept {
  if (began_at_) {
    return;
  }
  began_at_ = now;
  if (faults_.drop_work_on_shutdown_) {
    pending_ = 0;
  }
}

void GracefulShutdown::OnWorkFinished() noexcept {
  if (pending_ > 0) {
    --pending_;
  }
}

}  // namespace chalkwell::membership
