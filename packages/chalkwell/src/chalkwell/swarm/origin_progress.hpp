// How soon the rest of a version is out of its source, by the rate at which
// pieces appeared among the members so far.
#pragma once

#include <cstddef>
#include <deque>
#include <optional>

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::swarm {

/// @brief Pieces of one version that some member holds, over time.
class OriginProgress {
 public:
  /// @brief A fetch begins: nothing is known of its pieces.
  /// @param pieces of the version; 0 while its manifest is not known.
  void Start(std::size_t pieces, core::TimePoint now);
  /// @param seen pieces that some member is known to hold.
  void OnAvailable(std::size_t seen, core::TimePoint now);
  /// @return until all pieces are held by some member; none when the time
  /// observed is too short, or nothing appeared in it.
  [[nodiscard]] std::optional<core::Duration> TimeLeft(
      core::TimePoint now) const;
  /// @brief Whether it was observed for long enough to have a rate.
  [[nodiscard]] bool HasRate(core::TimePoint now) const;

 private:
  struct Sample {
    core::TimePoint at_;
    std::size_t seen_ = 0;
  };

  std::size_t pieces_ = 0;
  core::TimePoint started_;
  /// Rising in both; what is older than the span of observation goes, but the
  /// newest of those.
  std::deque<Sample> samples_;
};

}  // namespace chalkwell::swarm
