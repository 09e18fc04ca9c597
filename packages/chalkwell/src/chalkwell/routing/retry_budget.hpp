// Retry budget: limits retries to a share of the requests in a sliding window,
// so that failures do not multiply the load.
#pragma once

#include <array>
#include <cstdint>

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

/// @brief Settings of RetryBudget.
struct RetryBudgetSettings {
  /// Retries allowed per request in the window, 0 to 1.
  double share_ = 0.1;
  /// Retries allowed per window in addition to that share.
  double reserve_ = 20;
  /// Fraction of the reserve that is available to resumes only, 0 to 1.
  double resume_reserve_share_ = 0.5;
  core::Duration window_ = std::chrono::seconds(10);
};

/// @brief Decides whether a retry is allowed, from the numbers of requests and
/// retries in the last window.
///
/// The loss of an endpoint breaks all its responses at once. Resuming these has
/// priority, so part of the reserve is not available to other retries.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetSettings settings = {}) noexcept
      : settings_(settings) {}

  /// @brief Number of retries still allowed in the window; at least 0.
  [[nodiscard]] double Available(RetryKind kind,
                                 core::TimePoint now) const noexcept;

  /// @brief Counts a request in the window.
  void OnRequest(core::TimePoint now) noexcept;
  [[nodiscard]] double reserve() const noexcept { return settings_.reserve_; }
  /// @brief Sets this entry's part of a reserve that is divided between the
  /// entries; it changes with their number.
  void SetReserve(double reserve) noexcept { settings_.reserve_ = reserve; }
  /// @brief Consumes one retry if the budget allows it.
  [[nodiscard]] bool TryConsume(RetryKind kind, core::TimePoint now) noexcept;

 private:
  static constexpr std::size_t kSlices = 10;

  /// @brief Counts for a tenth of the window.
  struct Slice {
    std::int64_t index_ = -1;
    std::uint64_t requests_ = 0;
    std::uint64_t retries_ = 0;
  };

  [[nodiscard]] std::int64_t SliceIndexAt(core::TimePoint now) const noexcept;
  [[nodiscard]] Slice& SliceAt(core::TimePoint now) noexcept;

  RetryBudgetSettings settings_;
  /// Ring buffer; only slices whose index is in the last window count.
  std::array<Slice, kSlices> slices_{};
};

}  // namespace chalkwell::routing
