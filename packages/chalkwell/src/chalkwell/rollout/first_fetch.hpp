// Which version an engine without weights fetches first during a rollout: the
// newest, or an older one that peers have and that may still be used.
#pragma once

#include <optional>

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::rollout {

/// @brief Expected durations for both choices, from now on.
struct FirstFetchForecast {
  /// Until every chunk of the newest version is held by some member; empty
  /// while that is unknown, for example because the origin does not respond.
  std::optional<core::Duration> time_to_newest_available_;
  /// Transfer time of the missing part of the newest version on this
  /// instance's link.
  core::Duration newest_transfer_time_{};
  /// Transfer time of the older version, of which peers hold every chunk.
  core::Duration older_transfer_time_{};
  /// Until requests may no longer start on the older version.
  core::Duration time_to_older_expiry_{};
};

/// @brief Settings of the decision.
struct FirstFetchSettings {
  /// From the last chunk to the first request: verifying digests, the
  /// activation order, and loading.
  core::Duration load_time_ = std::chrono::milliseconds(600);
  /// Serving time lost by an additional switch: running requests finish while
  /// no new ones start.
  core::Duration switch_cost_ = std::chrono::seconds(1);
};

/// @brief Whether to fetch the older version first: true if it serves for
/// longer than it delays the newest version.
[[nodiscard]] bool FetchOlderFirst(const FirstFetchForecast& forecast,
                                   const FirstFetchSettings& settings = {});

}  // namespace chalkwell::rollout
