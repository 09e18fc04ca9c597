// Jitter for Retry-After. With a constant value, callers that set the same
// timeout and are refused together retry together, with the same time left to
// the deadline. RequestAgeEstimator takes a time left that many requests share
// for that of first attempts, so it would take these retries for first
// attempts.
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
