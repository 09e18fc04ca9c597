// Retry budget: retries are a share of the requests of a sliding window, so
// that failures do not multiply load.
#pragma once

#include <array>
#include <cstdint>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/fwd.hpp"

namespace chalkwell::routing {

/// @brief What a further attempt is for.
enum class RetryKind : std::uint8_t {
  /// Nothing has reached the caller: it can be told to come back.
  kRestart,
  /// The answer has begun: without this attempt it is cut.
  kResume,
};

/// @brief Settings of a budget.
struct RetryBudgetSettings {
  /// Retries allowed for each request of the window, 0 to 1.
  double share_ = 0.1;
  /// Retries allowed in a window beyond that share.
  double reserve_ = 20;
  /// Part of the reserve that only answers under way may use, 0 to 1.
  double resume_reserve_share_ = 0.5;
  core::Duration window_ = std::chrono::seconds(10);
};

/// @brief Allows retries by what the last window held.
///
/// The loss of an endpoint breaks all its answers at once. They come first:
/// fresh retries leave them a part of the reserve.
class RetryBudget {
 public:
  explicit RetryBudget(RetryBudgetSettings settings = {}) noexcept
      : settings_(settings) {}

  /// @brief Retries that the window still allows; not below 0.
  [[nodiscard]] double Available(RetryKind kind,
                                 core::TimePoint now) const noexcept;

  void OnRequest(core::TimePoint now) noexcept;
  /// @brief Changes the reserve, as when the entries that share it do.
  void SetReserve(double reserve) noexcept { settings_.reserve_ = reserve; }
  /// @brief Takes one retry if there is one.
  [[nodiscard]] bool TryConsume(RetryKind kind, core::TimePoint now) noexcept;

 private:
  static constexpr std::size_t kSlices = 10;

  /// @brief Counts of a tenth of a window.
  struct Slice {
    std::int64_t number_ = -1;
    std::uint64_t requests_ = 0;
    std::uint64_t retries_ = 0;
  };

  [[nodiscard]] std::int64_t NumberAt(core::TimePoint now) const noexcept;
  [[nodiscard]] Slice& SliceAt(core::TimePoint now) noexcept;

  RetryBudgetSettings settings_;
  /// A ring; only slices numbered within the last window count.
  std::array<Slice, kSlices> slices_{};
};

}  // namespace chalkwell::routing
