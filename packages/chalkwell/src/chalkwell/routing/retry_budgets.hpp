// Retry budgets of an entry, one for each service.
#pragma once

#include <map>
#include <string>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/fwd.hpp"
#include "chalkwell/routing/retry_budget.hpp"

namespace chalkwell::routing {

/// @brief Decides on retries by service: requests for one service earn no
/// retries for another.
class RetryBudgets {
 public:
  explicit RetryBudgets(RetryBudgetSettings settings) noexcept
      : settings_(settings) {}

  [[nodiscard]] const RetryAllowance& allowance() const noexcept {
    return settings_.allowance_;
  }
  /// @brief Sets the allowance of each service.
  void SetAllowance(RetryAllowance allowance);
  /// @brief Counts a request for a service.
  void OnRequest(const std::string& service, core::TimePoint now);
  /// @brief Number of retries still allowed for a service; at least 0.
  [[nodiscard]] double Available(const std::string& service, RetryKind kind,
                                 core::TimePoint now) const;
  /// @brief Consumes one retry for a service if its budget allows it.
  [[nodiscard]] bool TryConsume(const std::string& service, RetryKind kind,
                                core::TimePoint now);

 private:
  struct Row {
    RetryBudget budget_;
    core::TimePoint last_used_;
  };

  [[nodiscard]] RetryBudget& BudgetOf(const std::string& service,
                                      core::TimePoint now);
  /// @brief Removes budgets that nothing used for a window; a new one allows no
  /// more.
  void RemoveIdle(core::TimePoint now);

  RetryBudgetSettings settings_;
  /// By name of the service.
  std::map<std::string, Row> rows_;
};

}  // namespace chalkwell::routing
