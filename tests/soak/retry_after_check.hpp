// Checks the guarantee on endpoints that refuse requests and state for how long
// they accept none of the same entry.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>
#include <utility>

namespace chalkwell::soak {

using TimePoint = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/// @brief Guaranteed bounds for the time that a refusal asks for.
struct RetryAfterBounds {
  /// From a refusal until it must be kept.
  milliseconds effective_{500};
  /// Allowed from then on, until the time has passed.
  std::size_t max_requests_ = 2;
};

/// @brief Counts the requests that arrive at endpoints that refuse them.
class RetryAfterCheck {
 public:
  explicit RetryAfterCheck(RetryAfterBounds bounds = {}) : bounds_(bounds) {}

  /// @brief From now on an endpoint refuses all requests for so long each; zero
  /// if it accepts them again.
  void OnRefusing(const std::string& endpoint, milliseconds time);
  /// @brief An entry was restarted or paused, so that it may have forgotten.
  void OnDisturbed(const std::string& entry);
  /// @brief A request arrived at an endpoint, which responds at once.
  /// @return how long after the refusal it arrived, if it is one too many.
  [[nodiscard]] std::optional<milliseconds> OnArrival(
      const std::string& endpoint, const std::string& entry, TimePoint now);
  /// @brief Number of refusals that had to be kept.
  [[nodiscard]] std::size_t refusals() const noexcept { return refusals_; }

 private:
  /// What an endpoint asked an entry for, and what arrived since.
  struct Refusal {
    TimePoint refused_at_;
    TimePoint retry_at_;
    std::size_t requests_ = 0;
  };

  RetryAfterBounds bounds_;
  /// By id of a refusing endpoint.
  std::map<std::string, milliseconds> refusing_;
  /// By endpoint and entry. The first refusal applies until its time has
  /// passed.
  std::map<std::pair<std::string, std::string>, Refusal> asked_;
  std::size_t refusals_ = 0;
};

}  // namespace chalkwell::soak
