// Retries that requests earn, and a reserve in an exact sliding window.
#include "chalkwell/routing/retry_budget.hpp"

#include <algorithm>

namespace chalkwell::routing {
namespace {

/// Part of an allowance that is kept for earned retries. These are available
/// again as soon as further requests arrive, the reserve only after a window.
constexpr double kBurstShare = 0.25;
/// Rounding error of a sum of shares.
constexpr double kTolerance = 1e-9;

}  // namespace

RetryAllowance AllowanceOf(double retries) noexcept {
  const double burst = std::max(1.0, kBurstShare * retries);
  return {.burst_ = burst, .reserve_ = std::max(0.0, retries - burst)};
}

double RetryBudget::UsedReserve(core::TimePoint now) const {
  double used = 0;
  for (const auto& use : uses_) {
    used += now - use.at_ < settings_.window_ ? use.retries_ : 0;
  }
  return used;
}

double RetryBudget::Available(RetryKind kind, core::TimePoint now) const {
  const double usable =
      kind == RetryKind::kResume ? 1.0 : 1.0 - settings_.resume_reserve_share_;
  const double left = usable * settings_.allowance_.reserve_ - UsedReserve(now);
  return earned_ + std::max(0.0, left);
}

void RetryBudget::OnRequest() noexcept {
  earned_ = std::min(earned_ + settings_.share_, settings_.allowance_.burst_);
}

void RetryBudget::SetAllowance(RetryAllowance allowance) noexcept {
  settings_.allowance_ = allowance;
  earned_ = std::min(earned_, allowance.burst_);
}

bool RetryBudget::TryConsume(RetryKind kind, core::TimePoint now) {
  std::erase_if(uses_, [&](const Use& use) {
    return now - use.at_ >= settings_.window_;
  });
  if (Available(kind, now) < 1.0 - kTolerance) {
    return false;
  }
  const double earned = std::min(earned_, 1.0);
  earned_ -= earned;
  if (earned < 1.0 - kTolerance) {
    uses_.push_back({.at_ = now, .retries_ = 1.0 - earned});
  }
  return true;
}

}  // namespace chalkwell::routing
