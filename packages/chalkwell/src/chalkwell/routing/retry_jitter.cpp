// Uniform times.
#include "chalkwell/routing/retry_jitter.hpp"

#include <algorithm>

namespace chalkwell::routing {

core::Duration RetryJitter::Draw(core::Duration longest) {
  const auto most = std::max(longest, core::Duration{}).count();
  return core::Duration(std::uniform_int_distribution<core::Duration::rep>(
      most - most / 4, most)(random_));
}

}  // namespace chalkwell::routing
