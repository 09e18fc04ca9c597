// Decisions of a planned stop.
#include "chalkwell/membership/graceful_shutdown.hpp"

namespace chalkwell::membership {

bool GracefulShutdown::MayExit(core::TimePoint now) const noexcept {
  if (!began_) {
    return false;
  }
  return work_ == 0 || faults_.exit_with_pending_work_ ||
         now - *began_ >= limit_;
}

void GracefulShutdown::Begin(core::TimePoint now) noexcept {
  if (began_) {
    return;
  }
  began_ = now;
  if (faults_.drop_work_on_shutdown_) {
    work_ = 0;
  }
}

void GracefulShutdown::OnWorkFinished() noexcept {
  if (work_ > 0) {
    --work_;
  }
}

}  // namespace chalkwell::membership
