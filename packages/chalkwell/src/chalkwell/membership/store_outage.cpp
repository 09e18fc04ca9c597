// An outage lasts from the newest list before a failed read to the first list
// after it.
#include "chalkwell/membership/store_outage.hpp"

namespace chalkwell::membership {

void StoreOutage::OnListReceived(core::TimePoint as_of,
                                 core::TimePoint now) noexcept {
  if (as_of_ && as_of <= *as_of_) {
    return;
  }
  const bool long_outage =
      !as_of_ || as_of - *as_of_ >= settings_.renewal_interval_;
  if (failed_ && long_outage) {
    ended_at_ = now;
  }
  failed_ = false;
  as_of_ = as_of;
}

bool StoreOutage::LeasesMayHaveExpired(core::TimePoint now) const noexcept {
  const bool ongoing =
      failed_ && (!as_of_ || now - *as_of_ >= settings_.renewal_interval_);
  return ongoing || (ended_at_ && now - *ended_at_ < settings_.recovery_time_);
}

}  // namespace chalkwell::membership
