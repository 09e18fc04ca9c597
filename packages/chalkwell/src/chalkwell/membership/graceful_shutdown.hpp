// Planned stop of a process: no new work at once, all work at hand finished,
// bounded by the longest deadline.
#pragma once

#include <cstddef>
#include <optional>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/membership/fwd.hpp"

namespace chalkwell::membership {

/// @brief Faults that tests seed to show that the proofs can fail.
struct ShutdownFaults {
  bool accept_while_draining_ = false;
  bool exit_with_pending_work_ = false;
  bool drop_work_on_shutdown_ = false;
};

/// @brief Counts work and decides when the process may exit.
class GracefulShutdown {
 public:
  /// @param limit longest time a stop may wait.
  explicit GracefulShutdown(core::Duration limit,
                            ShutdownFaults faults = {}) noexcept
      : limit_(limit), faults_(faults) {}

  [[nodiscard]] bool draining() const noexcept { return began_.has_value(); }
  /// @brief Whether new work may be taken.
  [[nodiscard]] bool accepting() const noexcept {
    return !draining() || faults_.accept_while_draining_;
  }
  [[nodiscard]] std::size_t pending() const noexcept { return work_; }
  /// @brief Whether the process may exit.
  [[nodiscard]] bool MayExit(core::TimePoint now) const noexcept;

  void Begin(core::TimePoint now) noexcept;
  void OnWorkAccepted() noexcept { ++work_; }
  void OnWorkFinished() noexcept;

 private:
  core::Duration limit_;
  ShutdownFaults faults_;
  /// Work taken and not ended.
  std::size_t work_ = 0;
  /// Set once.
  std::optional<core::TimePoint> began_;
};

}  // namespace chalkwell::membership
