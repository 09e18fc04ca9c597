// A fleet under load; checks responses to callers against what backends
// executed.
#pragma once

#include <cstdint>
#include <memory>
#include <string>

#include "fleet/fleet.hpp"
#include "fleet/scratch.hpp"

namespace chalkwell::fleet {

/// @brief Outcomes of requests, by the load process and the services' logs.
///
/// Counts without a comment are those of standins::LoadCounts.
struct LoadResult {
  std::uint64_t sent_ = 0;
  std::uint64_t answered_ = 0;
  std::uint64_t refused_ = 0;
  std::uint64_t unknown_ = 0;
  std::uint64_t failed_ = 0;
  std::uint64_t lost_ = 0;
  std::uint64_t wrong_ = 0;
  /// Responses that ended before the final outcome.
  std::uint64_t broken_ = 0;
  /// Orders executed more than once, by the services' logs.
  std::uint64_t executed_repeatedly_ = 0;
  /// Orders with a successful response that no service executed.
  std::uint64_t never_executed_ = 0;
  /// Result of the load process.
  nlohmann::json raw_;

  [[nodiscard]] double unknown_share() const noexcept {
    return sent_ == 0
               ? 0
               : static_cast<double>(unknown_) / static_cast<double>(sent_);
  }
};

/// @brief Options of the load process.
struct LoadOptions {
  double requests_per_second_ = 40;
  /// Share of requests to plain services, 0 to 1.
  double service_share_ = 0.4;
  /// Output tokens of each engine request.
  std::uint64_t tokens_ = 40;
  std::uint64_t seed_ = 1;
};

/// @brief A fleet that serves version 1, with short timeouts, under load.
class Scenario {
 public:
  /// @param spec its folder is replaced by a temporary one.
  explicit Scenario(FleetSpec spec);

  [[nodiscard]] Fleet& fleet() noexcept { return *fleet_; }
  /// @brief Starts all processes, publishes version 1 and waits until engines
  /// and entries are ready.
  /// @throws std::runtime_error if they are not in time.
  void StartAndWaitUntilLive();
  /// @brief Starts the load process on all listed entries.
  void StartLoad(const LoadOptions& options = {});
  /// @brief Stops the load process and evaluates its result.
  /// @throws std::runtime_error if it fails or does not end within 60 s.
  [[nodiscard]] LoadResult StopLoad();

 private:
  TemporaryFolder scratch_;
  std::unique_ptr<Fleet> fleet_;
  Child load_;
  std::string result_path_;
};

}  // namespace chalkwell::fleet
