// Both ways are compared by the time in which the engine can serve.
#include "chalkwell/rollout/start_choice.hpp"

#include <algorithm>

namespace chalkwell::rollout {

bool OlderFirst(const StartForecast& forecast,
                const StartChoiceSettings& settings) {
  const auto older_serves = forecast.older_link_ + settings.load_time_;
  if (!forecast.newest_out_) {
    return forecast.older_end_ - older_serves > settings.switch_cost_;
  }
  const auto newest = std::max(*forecast.newest_out_, forecast.newest_link_);
  const auto newest_after =
      std::max(*forecast.newest_out_, older_serves + forecast.newest_link_);
  const auto gain = std::min(forecast.older_end_, newest_after) - older_serves;
  const auto loss = newest_after - newest + settings.switch_cost_;
  return gain > loss;
}

}  // namespace chalkwell::rollout
