// Checks the guarantee on retries: of one service, by all entries together,
// however often these restart or lose each other.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace chalkwell::soak {

using TimePoint = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/// @brief Guaranteed bound of retries.
struct RetryBudgetBounds {
  milliseconds window_{10000};
  /// Allowed in a window: this share of the service's requests, and `extra_`.
  double share_ = 0.2;
  double extra_ = 228;
};

/// @brief Counts arrivals beyond the first of their request, by service.
class RetryBudgetCheck {
 public:
  explicit RetryBudgetCheck(RetryBudgetBounds bounds) : bounds_(bounds) {}

  /// @brief A request arrived at an endpoint of a service.
  /// @return by how many arrivals the service exceeds its bound.
  [[nodiscard]] std::optional<std::size_t> OnArrival(const std::string& service,
                                                     const std::string& request,
                                                     TimePoint now);
  /// @brief Most arrivals beyond the first in a window, relative to the bound.
  [[nodiscard]] double worst() const noexcept { return worst_; }
  /// @brief Arrivals beyond the first.
  [[nodiscard]] std::uint64_t retries() const noexcept { return retries_; }

 private:
  struct Service {
    /// First arrivals of requests in the last two windows, in order.
    std::deque<TimePoint> requests_;
    /// Further arrivals in the last window, in order.
    std::deque<TimePoint> retries_;
  };

  /// @brief What a service may get in the window that ends now.
  [[nodiscard]] double Allowed(const Service& service, TimePoint now) const;

  RetryBudgetBounds bounds_;
  std::map<std::string, Service> services_;
  /// Ids of requests that have arrived.
  std::set<std::string> seen_;
  double worst_ = 0;
  std::uint64_t retries_ = 0;
};

}  // namespace chalkwell::soak
