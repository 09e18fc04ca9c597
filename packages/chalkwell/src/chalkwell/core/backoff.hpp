// Pause between tries at something that others ask too.
#pragma once

#include <cstdint>
#include <random>

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::core {

/// @brief Settings of a backoff.
struct BackoffSettings {
  /// After the first failure; doubled with each further one in a row.
  Duration initial_delay_ = std::chrono::milliseconds(100);
  Duration max_delay_ = std::chrono::milliseconds(1000);
};

/// @brief Exponential backoff with jitter. Many who fail together do not come
/// back together: half of each pause is drawn by chance.
class Backoff {
 public:
  Backoff(BackoffSettings settings, std::uint64_t seed);

  void OnSuccess() noexcept { failures_ = 0; }
  /// @brief Counts a failure.
  /// @return how long to wait before the next try.
  Duration OnFailure(TimePoint now);
  /// @brief Whether the pause after the last failure is over.
  [[nodiscard]] bool IsReady(TimePoint now) const noexcept {
    return failures_ == 0 || now >= ready_at_;
  }

 private:
  BackoffSettings settings_;
  std::mt19937_64 random_;
  /// In a row; bounded, since the pause is.
  unsigned failures_ = 0;
  TimePoint ready_at_;
};

}  // namespace chalkwell::core
