// Division between the entries of the retries that all of them may make beyond
// the share of requests.
#pragma once

#include <cstddef>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/window_maximum.hpp"
#include "chalkwell/routing/fwd.hpp"
#include "chalkwell/routing/retry_budget.hpp"

namespace chalkwell::routing {

/// @brief Part of a reserve of the whole deployment that one entry may use.
///
/// Entries can't ask each other: they may be cut off, and a predecessor on the
/// same machine is gone. So an entry uses nothing that another one may use, or
/// may have used in the last window.
class RetryReserve {
 public:
  /// @param started start of this process.
  /// @param window window of the retry budget.
  RetryReserve(core::TimePoint started, core::Duration window) noexcept;

  /// @brief Sets the retries that all entries together may make in a window
  /// beyond the share of requests.
  void SetTotal(double retries) noexcept { total_ = retries; }
  /// @brief Sets between whom the reserve is divided. Not to be called before
  /// the process has found other entries, unless it is the only one.
  /// @param domains failure domains of the deployment; each gets the same part,
  /// so that it does not matter which of them are known to be live.
  /// @param local_entries live entries of the own failure domain that are
  /// known, this one included.
  void SetView(std::size_t domains, std::size_t local_entries,
               core::TimePoint now) noexcept;
  /// @brief This entry's part. Nothing but a burst that must be earned first
  /// until the process has run for a window.
  [[nodiscard]] RetryAllowance PartAt(core::TimePoint now) noexcept;

 private:
  core::TimePoint started_;
  core::Duration window_;
  double total_ = 0;
  /// Largest numbers of the last minute: those that are not known any more may
  /// be cut off. 0 before the first view.
  core::WindowMaximum domains_;
  core::WindowMaximum local_entries_;
};

}  // namespace chalkwell::routing
