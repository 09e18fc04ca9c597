// How many log lines may be written: a burst, then a steady rate.
#pragma once

#include <cstdint>

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::daemon {

/// @brief Settings of a budget.
struct LineBudgetSettings {
  /// About eight times what an entry writes at the usual rate of requests.
  double lines_per_second_ = 1000;
  double burst_ = 2000;
};

/// @brief Token bucket of log lines.
class LineBudget {
 public:
  explicit LineBudget(LineBudgetSettings settings = {}) noexcept
      : settings_(settings), tokens_(settings.burst_) {}

  /// @brief Takes one line if there is one.
  [[nodiscard]] bool Take(core::TimePoint now) noexcept;

 private:
  LineBudgetSettings settings_;
  /// Lines that may be written now, at most the burst.
  double tokens_;
  core::TimePoint filled_at_{};
};

}  // namespace chalkwell::daemon
