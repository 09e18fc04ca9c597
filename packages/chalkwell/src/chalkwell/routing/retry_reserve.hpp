// Division between the entries of the retries that all of them may make beyond
// the share of requests.
#pragma once

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/deployment_parts.hpp"
#include "chalkwell/routing/fwd.hpp"
#include "chalkwell/routing/retry_budget.hpp"

namespace chalkwell::routing {

/// @brief Part of a reserve of the whole deployment that one entry may use.
///
/// Entries can't ask each other: they may be cut off, and a predecessor on the
/// same machine has ended. So an entry uses nothing that another one may use,
/// or may have used in the last window.
class RetryReserve {
 public:
  /// @param started start of this process.
  /// @param window window of the retry budget.
  RetryReserve(core::TimePoint started, core::Duration window) noexcept
      : started_(started), window_(window) {}

  /// @brief Sets the retries that all entries together may make in a window
  /// beyond the share of requests.
  void SetTotal(double retries) noexcept { total_ = retries; }
  /// @brief This entry's part. Nothing but a burst that must be earned first
  /// until the process has run for a window.
  [[nodiscard]] RetryAllowance PartOf(DeploymentParts& parts,
                                      core::TimePoint now) const noexcept;

 private:
  core::TimePoint started_;
  core::Duration window_;
  double total_ = 0;
};

}  // namespace chalkwell::routing
