// How many streams an entry has under way at engines that are nearly full: a
// limit that rises while they come in time and falls as they come late.
//
// The load this answers: for seconds, callers ask for more than engines give.
// Reports of load are older than the time in which a free slot is taken, so all
// entries that see one fill it at once, and a queue grows behind it in which
// everyone becomes late. Each entry finds its own share of what engines give:
// nothing is exchanged for that.
#pragma once

#include <algorithm>
#include <chrono>
#include <cstdint>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/fwd.hpp"

namespace chalkwell::routing {

/// @brief Settings of a limit.
struct ConcurrencyLimitSettings {
  /// Part of the streams that comes late while the limit neither rises nor
  /// falls; engines and paths with faults alone make some late.
  double late_share_ = 0.1;
  /// Part of the limit that one late stream takes away.
  double decrease_ = 0.05;
  /// Below this the share in time could no longer be observed.
  double least_ = 2;
  /// The limit rises no further than to this many times the streams under way.
  double headroom_ = 2;
};

/// @brief Additive increase, multiplicative decrease by outcomes.
class ConcurrencyLimit {
 public:
  explicit ConcurrencyLimit(ConcurrencyLimitSettings settings = {})
      : settings_(settings) {}

  /// @brief Whether a further stream is within the limit.
  [[nodiscard]] bool Allows() const noexcept {
    return !limited_ || under_way_ < limit_;
  }
  void OnBegun() noexcept { ++under_way_; }
  /// @brief A stream that was begun has ended, whatever its outcome.
  void OnEnded() noexcept { under_way_ -= under_way_ > 0 ? 1 : 0; }
  /// @brief The first event of a stream came, or is known to come late.
  void OnOutcome(bool in_time) noexcept;

  [[nodiscard]] std::uint32_t under_way() const noexcept { return under_way_; }
  [[nodiscard]] double limit() const noexcept { return limit_; }

 private:
  ConcurrencyLimitSettings settings_;
  /// Streams begun and not ended.
  std::uint32_t under_way_ = 0;
  /// False until a stream was late.
  bool limited_ = false;
  /// At least settings_.least_ once limited.
  double limit_ = 0;
};

}  // namespace chalkwell::routing
