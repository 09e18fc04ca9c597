// Compares both orders of fetching by the time during which the engine serves.
#include "chalkwell/rollout/first_fetch.hpp"

#include <algorithm>

namespace chalkwell::rollout {

bool FetchOlderFirst(const FirstFetchForecast& forecast,
                     const FirstFetchSettings& settings) {
  const auto older_ready = forecast.older_transfer_time_ + settings.load_time_;
  if (!forecast.time_to_newest_available_) {
    return forecast.time_to_older_expiry_ - older_ready > settings.switch_cost_;
  }
  const auto newest_ready = std::max(*forecast.time_to_newest_available_,
                                     forecast.newest_transfer_time_);
  const auto newest_ready_after_older =
      std::max(*forecast.time_to_newest_available_,
               older_ready + forecast.newest_transfer_time_);
  const auto gain =
      std::min(forecast.time_to_older_expiry_, newest_ready_after_older) -
      older_ready;
  const auto loss =
      newest_ready_after_older - newest_ready + settings.switch_cost_;
  return gain > loss;
}

}  // namespace chalkwell::rollout
