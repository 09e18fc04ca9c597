// Checks that a published version of the rules is in force at an entry within
// the guaranteed time. Each version has a route of its own, which is probed.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>

namespace chalkwell::soak {

using TimePoint = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/// @brief Compares responses to probes with the times of acknowledgements.
class RulesCheck {
 public:
  /// @param bound from the acknowledgement of a version until it must be in
  /// force.
  explicit RulesCheck(milliseconds bound) : bound_(bound) {}

  /// @brief The store acknowledged a version.
  void OnAcknowledged(unsigned version, TimePoint now);
  /// @return the newest version that must be in force; 0 for none.
  [[nodiscard]] unsigned Due(TimePoint now) const;
  /// @brief An undisturbed entry responded to a probe of a version that was due
  /// when it was sent.
  /// @param rejected whether it knew no such route.
  /// @return time since the acknowledgement if the version was not in force.
  [[nodiscard]] std::optional<milliseconds> OnProbe(unsigned version,
                                                    bool rejected,
                                                    TimePoint now);
  /// @brief Number of probes that were checked.
  [[nodiscard]] std::size_t probes() const noexcept { return probes_; }

 private:
  milliseconds bound_;
  std::map<unsigned, TimePoint> acknowledged_at_;
  std::size_t probes_ = 0;
};

}  // namespace chalkwell::soak
