// Rate limits that simulated engines state in their responses.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>
#include <vector>

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::emulator {

/// @brief An engine that states a rate limit from a time on.
struct StatedRateLimit {
  std::size_t engine_ = 0;
  /// Counted from the start of the simulation.
  core::Duration at_{};
  double requests_per_second_ = 0;
};

/// @brief Engines with many requests state a limit that depends on their load.
struct LoadRateLimit {
  /// Requests at an engine, running and waiting, from which on it states one.
  std::size_t min_requests_ = 0;
  /// The limit, as a share of the rate at which it received requests.
  double share_ = 1;
  /// For how long it states the limit.
  core::Duration duration_{};
};

/// @brief Decides which limit each engine states.
class StatedLimits {
 public:
  /// @param by_load none if only the fixed limits are stated.
  StatedLimits(std::vector<StatedRateLimit> fixed,
               std::optional<LoadRateLimit> by_load, std::size_t engines,
               core::TimePoint start);

  /// @brief An engine received a request.
  /// @param requests at the engine, running and waiting.
  void OnReceived(std::size_t engine, std::size_t requests,
                  core::TimePoint now);
  /// @brief Requests per second that an engine states; none for no limit.
  [[nodiscard]] std::optional<double> LimitOf(std::size_t engine,
                                              core::TimePoint now) const;
  [[nodiscard]] std::size_t LimitedCount(core::TimePoint now) const;

 private:
  struct EngineState {
    /// Arrivals of the last kRateWindow, in order.
    std::deque<core::TimePoint> received_;
    double requests_per_second_ = 0;
    core::TimePoint limited_until_;
  };

  std::vector<StatedRateLimit> fixed_;
  std::optional<LoadRateLimit> by_load_;
  core::TimePoint start_;
  std::vector<EngineState> engines_;
};

}  // namespace chalkwell::emulator
