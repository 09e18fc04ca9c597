// Delay between retries of a call to a shared resource.
#pragma once

#include <cstdint>
#include <random>

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::core {

/// @brief Settings of a backoff.
struct BackoffSettings {
  /// Full delay after the first failure; each consecutive one doubles it.
  Duration initial_delay_ = std::chrono::milliseconds(100);
  /// Upper limit of the full delay.
  Duration max_delay_ = std::chrono::milliseconds(1000);
};

/// @brief Exponential backoff with jitter. Each delay is random between half of
/// the full delay and all of it, so that callers that fail together do not
/// retry together.
class Backoff {
 public:
  Backoff(BackoffSettings settings, std::uint64_t seed);

  void OnSuccess() noexcept { failures_ = 0; }
  /// @brief Records a failure.
  /// @return the delay before the next attempt.
  Duration OnFailure(TimePoint now);
  /// @brief Whether the delay after the last failure has elapsed.
  [[nodiscard]] bool IsReady(TimePoint now) const noexcept {
    return failures_ == 0 || now >= ready_at_;
  }

 private:
  BackoffSettings settings_;
  std::mt19937_64 random_;
  /// Consecutive failures, at most kMaxDoublings (backoff.cpp).
  unsigned failures_ = 0;
  TimePoint ready_at_;
};

}  // namespace chalkwell::core
