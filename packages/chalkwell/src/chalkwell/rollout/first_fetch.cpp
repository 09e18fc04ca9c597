// Both ways are compared by the time in which the engine can serve.
#include "chalkwell/rollout/first_fetch.hpp"

#include <algorithm>

namespace chalkwell::rollout {

bool FetchOlderFirst(const FirstFetchForecast& forecast,
                     const FirstFetchSettings& settings) {
  const auto older_serves = forecast.older_transfer_ + settings.load_time_;
  if (!forecast.newest_available_) {
    return forecast.older_expiry_ - older_serves > settings.switch_cost_;
  }
  const auto newest =
      std::max(*forecast.newest_available_, forecast.newest_transfer_);
  const auto newest_after = std::max(*forecast.newest_available_,
                                     older_serves + forecast.newest_transfer_);
  const auto gain =
      std::min(forecast.older_expiry_, newest_after) - older_serves;
  const auto loss = newest_after - newest + settings.switch_cost_;
  return gain > loss;
}

}  // namespace chalkwell::rollout
