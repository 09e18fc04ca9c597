// Retry budget: limits retries to a share of the requests and a reserve, so
// that failures do not multiply the load.
#pragma once

#include <cstdint>
#include <deque>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/fwd.hpp"

namespace chalkwell::routing {

/// @brief Purpose of a further attempt.
enum class RetryKind : std::uint8_t {
  /// Nothing was forwarded to the caller, which could retry instead.
  kRestart,
  /// Part of the response was forwarded; without this attempt it is truncated.
  kResume,
};

/// @brief Retries that are allowed beyond those that requests earn while they
/// arrive.
struct RetryAllowance {
  /// Most earned retries that are kept for later; below 1 no retry is allowed.
  double burst_ = 1;
  /// Retries per window in addition to earned ones.
  double reserve_ = 20;
};

/// @brief Divides the number of retries that a budget may allow in any window
/// beyond its share of the requests in that window.
[[nodiscard]] RetryAllowance AllowanceOf(double retries) noexcept;

/// @brief Settings of RetryBudget.
struct RetryBudgetSettings {
  /// Retries earned by each request; at least 0.
  double share_ = 0.1;
  RetryAllowance allowance_;
  /// Fraction of the reserve that is available to resumes only, 0 to 1.
  double resume_reserve_share_ = 0.5;
  core::Duration window_ = std::chrono::seconds(10);
};

/// @brief Decides whether a retry is allowed.
///
/// In any window, retries are at most the share of the requests in that window,
/// the burst and the reserve: a retry that was earned before the window counts
/// towards the burst.
///
/// The loss of an endpoint breaks all its responses at once. Resuming these has
/// priority, so part of the reserve is not available to other retries.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetSettings settings = {}) noexcept
      : settings_(settings) {}

  /// @brief Number of retries still allowed; at least 0.
  [[nodiscard]] double Available(RetryKind kind, core::TimePoint now) const;

  /// @brief Counts a request, which earns a share of a retry.
  void OnRequest() noexcept;
  /// @brief Sets this entry's part of an allowance that is divided between the
  /// entries; it changes with their number.
  void SetAllowance(RetryAllowance allowance) noexcept;
  /// @brief Consumes one retry if the budget allows it.
  [[nodiscard]] bool TryConsume(RetryKind kind, core::TimePoint now);

 private:
  /// @brief Use of the reserve by one retry.
  struct Use {
    core::TimePoint at_;
    /// Part of the retry that was not earned, above 0 and at most 1.
    double retries_ = 0;
  };

  [[nodiscard]] double UsedReserve(core::TimePoint now) const;

  RetryBudgetSettings settings_;
  /// Earned and not consumed; at most the burst.
  double earned_ = 0;
  /// In order of time. Holds those of the last window, and older ones until the
  /// next retry.
  std::deque<Use> uses_;
};

}  // namespace chalkwell::routing
