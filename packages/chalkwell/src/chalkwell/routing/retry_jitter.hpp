// Jitter for Retry-After. With a constant value, callers refused at the same
// time retry at the same time and with equal remaining times to their
// deadlines. RequestAgeEstimator treats frequent times as those of first
// attempts and would mistake such retries for them.
#pragma once

#include <cstdint>
#include <random>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/fwd.hpp"

namespace chalkwell::routing {

/// @brief Draws the Retry-After values of one entry.
class RetryJitter {
 public:
  explicit RetryJitter(std::uint64_t seed) : random_(seed) {}

  /// @return a uniformly distributed value from 3/4 of the maximum to the
  /// maximum.
  [[nodiscard]] core::Duration Draw(core::Duration max);

 private:
  std::mt19937_64 random_;
};

}  // namespace chalkwell::routing
