// An outage reaches from the newest list before a failure to the first after
// it.
#include "chalkwell/membership/store_outage.hpp"

namespace chalkwell::membership {

void StoreOutage::OnListReceived(core::TimePoint as_of,
                                 core::TimePoint now) noexcept {
  if (as_of_ && as_of <= *as_of_) {
    return;
  }
  const bool long_away =
      !as_of_ || as_of - *as_of_ >= settings_.renewal_interval_;
  if (failed_ && long_away) {
    ended_at_ = now;
  }
  failed_ = false;
  as_of_ = as_of;
}

bool StoreOutage::LeasesMayHaveExpired(core::TimePoint now) const noexcept {
  const bool away =
      failed_ && (!as_of_ || now - *as_of_ >= settings_.renewal_interval_);
  return away || (ended_at_ && now - *ended_at_ < settings_.return_time_);
}

}  // namespace chalkwell::membership
