// Which weights an engine that holds none fetches first while a roll is under
// way: the newest, or older ones that others hold and that still may be used.
#pragma once

#include <optional>

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::rollout {

/// @brief What is foreseen of both ways, from now on.
struct FirstFetchForecast {
  /// Until the newest version is out of its source; none while that is not
  /// known, as when the source does not answer.
  std::optional<core::Duration> newest_available_;
  /// Time of what is missing of the newest version on the own link.
  core::Duration newest_transfer_{};
  /// The same of the older version, of which others hold all.
  core::Duration older_transfer_{};
  /// Until requests may no longer begin on the older version.
  core::Duration older_expiry_{};
};

/// @brief Settings of the choice.
struct FirstFetchSettings {
  /// From the last piece to the first request: comparing with digests, the
  /// order, and loading.
  core::Duration load_time_ = std::chrono::milliseconds(600);
  /// Service that a further switch costs: running requests end while no other
  /// begins.
  core::Duration switch_cost_ = std::chrono::seconds(1);
};

/// @brief Whether to begin with the older version: it then serves longer than
/// the newest one is held up.
[[nodiscard]] bool FetchOlderFirst(const FirstFetchForecast& forecast,
                                   const FirstFetchSettings& settings = {});

}  // namespace chalkwell::rollout
