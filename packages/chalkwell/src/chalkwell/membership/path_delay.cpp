// One-way delay without synchronized clocks.
#include "chalkwell/membership/path_delay.hpp"

#include <algorithm>

namespace chalkwell::membership {

core::Duration PathDelay::OnMessage(core::Duration sent_at,
                                    core::TimePoint now) {
  const auto difference = now.time_since_epoch() - sent_at;
  least_ = std::min(least_.value_or(difference), difference);
  return difference - *least_;
}

}  // namespace chalkwell::membership
