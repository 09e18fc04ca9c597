// One retry budget for each service that is in use.
#include "chalkwell/routing/retry_budgets.hpp"

namespace chalkwell::routing {

void RetryBudgets::SetAllowance(RetryAllowance allowance) {
  settings_.allowance_ = allowance;
  for (auto& [service, row] : rows_) {
    row.budget_.SetAllowance(allowance);
  }
}

void RetryBudgets::OnRequest(const std::string& service, core::TimePoint now) {
  BudgetOf(service, now).OnRequest();
}

double RetryBudgets::Available(const std::string& service, RetryKind kind,
                               core::TimePoint now) const {
  const auto found = rows_.find(service);
  return found == rows_.end() ? RetryBudget(settings_).Available(kind, now)
                              : found->second.budget_.Available(kind, now);
}

bool RetryBudgets::TryConsume(const std::string& service, RetryKind kind,
                              core::TimePoint now) {
  return BudgetOf(service, now).TryConsume(kind, now);
}

RetryBudget& RetryBudgets::BudgetOf(const std::string& service,
                                    core::TimePoint now) {
  auto found = rows_.find(service);
  if (found == rows_.end()) {
    RemoveIdle(now);
    found = rows_.emplace(service, Row{RetryBudget(settings_), now}).first;
  }
  found->second.last_used_ = now;
  return found->second.budget_;
}

void RetryBudgets::RemoveIdle(core::TimePoint now) {
  std::erase_if(rows_, [&](const auto& row) {
    return now - row.second.last_used_ > settings_.window_;
  });
}

}  // namespace chalkwell::routing
