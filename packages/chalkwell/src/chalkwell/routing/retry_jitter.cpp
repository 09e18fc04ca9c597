// Uniformly distributed delays.
#include "chalkwell/routing/retry_jitter.hpp"

#include <algorithm>

namespace chalkwell::routing {

core::Duration RetryJitter::Draw(core::Duration max) {
  const auto max_ticks = std::max(max, core::Duration{}).count();
  return core::Duration(std::uniform_int_distribution<core::Duration::rep>(
      max_ticks - max_ticks / 4, max_ticks)(random_));
}

}  // namespace chalkwell::routing
