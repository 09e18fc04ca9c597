// How long a path holds messages back, from the sender's own clock: clocks
// differ by a constant, so what exceeds the least difference is delay.
#pragma once

#include <optional>

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::membership {

/// @brief Delay of the path from one sender.
class PathDelay {
 public:
  /// @brief Takes a message.
  /// @param sent_at time by the sender's steady clock.
  /// @return how much longer than the quickest message it was under way.
  core::Duration OnMessage(core::Duration sent_at, core::TimePoint now);

 private:
  /// Least difference of the two clocks seen; it includes the shortest way.
  std::optional<core::Duration> least_;
};

}  // namespace chalkwell::membership
