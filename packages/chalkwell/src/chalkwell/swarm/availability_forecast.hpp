// Estimates when every chunk of a version is held by some member, from the rate
// at which chunks became available among the members.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::swarm {

/// @brief Number of chunks of one version that some member holds, over time,
/// whether fetched from the origin or from a peer.
class AvailabilityForecast {
 public:
  /// @brief Starts a fetch and discards earlier samples.
  /// @param chunks number of chunks of the version; 0 while its manifest is not
  /// known.
  void Start(std::size_t chunks, core::TimePoint now);
  /// @param available number of chunks that some member is known to hold.
  void OnAvailable(std::size_t available, core::TimePoint now);
  /// @return estimated time until every chunk is held by some member; none when
  /// the observation is too short, or no chunk became available during it.
  [[nodiscard]] std::optional<core::Duration> TimeLeft(
      core::TimePoint now) const;
  /// @brief Whether the observation is long enough to estimate a rate.
  [[nodiscard]] bool HasRate(core::TimePoint now) const;

 private:
  struct Sample {
    core::TimePoint at_;
    std::size_t available_ = 0;
  };

  std::size_t chunks_ = 0;
  core::TimePoint started_;
  /// Both fields increase; of the samples older than the sampling window only
  /// the newest is kept.
  std::deque<Sample> samples_;
};

}  // namespace chalkwell::swarm
