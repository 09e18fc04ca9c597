// Graceful shutdown of a process: new work is refused at once and accepted
// work is finished, bounded by the longest request deadline.
#pragma once

#include <cstddef>
#include <optional>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/membership/fwd.hpp"

namespace chalkwell::membership {

/// @brief Faults that tests inject to show that their checks detect them.
struct ShutdownFaults {
  bool accept_while_draining_ = false;
  /// MayExit() ignores pending work.
  bool exit_with_pending_work_ = false;
  /// Begin() forgets the pending work.
  bool drop_work_on_shutdown_ = false;
};

/// @brief Counts accepted work and decides when the process may exit.
class GracefulShutdown {
 public:
  /// @param limit longest time to wait for accepted work.
  explicit GracefulShutdown(core::Duration limit,
                            ShutdownFaults faults = {}) noexcept
      : limit_(limit), faults_(faults) {}

  [[nodiscard]] bool draining() const noexcept { return began_at_.has_value(); }
  /// @brief Whether new work may be accepted.
  [[nodiscard]] bool accepting() const noexcept {
    return !draining() || faults_.accept_while_draining_;
  }
  [[nodiscard]] std::size_t pending() const noexcept { return pending_; }
  /// @brief Whether shutdown has begun and either no work is pending or the
  /// limit has passed.
  [[nodiscard]] bool MayExit(core::TimePoint now) const noexcept;

  /// @brief When the limit has passed; none before Begin().
  [[nodiscard]] std::optional<core::TimePoint> drain_end() const noexcept;

  void Begin(core::TimePoint now) noexcept;
  void OnWorkAccepted() noexcept { ++pending_; }
  void OnWorkFinished() noexcept;

 private:
  core::Duration limit_;
  ShutdownFaults faults_;
  /// Accepted and not finished.
  std::size_t pending_ = 0;
  /// Set by the first Begin().
  std::optional<core::TimePoint> began_at_;
};

}  // namespace chalkwell::membership
