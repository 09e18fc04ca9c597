// When rejected callers come back. With the same Retry-After, those of one
// moment come back together, and with the same time left each:
// RequestAgeEstimator, which learns what fresh requests have left from times
// that repeat, takes them for fresh.
#pragma once

#include <cstdint>
#include <random>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/fwd.hpp"

namespace chalkwell::routing {

/// @brief Draws the times of one entry.
class RetryJitter {
 public:
  explicit RetryJitter(std::uint64_t seed) : random_(seed) {}

  /// @return between three quarters of the longest time and the longest time.
  [[nodiscard]] core::Duration Draw(core::Duration longest);

 private:
  std::mt19937_64 random_;
};

}  // namespace chalkwell::routing
