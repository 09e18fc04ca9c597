// Whom to ask for the manifest of a version: nothing can be fetched before it.
// Neighbours that have it first, then members of other failure domains, then
// the origin, which only one of each failure domain asks at once. An ask that
// is not answered soon is not waited for: the next source is asked beside it.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <span>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"
#include "chalkwell/swarm/planner.hpp"

namespace chalkwell::swarm {

/// @brief Settings of a search.
struct ManifestSearchSettings {
  /// An ask that lasts longer has the next one beside it. An answer takes some
  /// 10 ms. After a loss of power of all machines 43 agents of one failure
  /// domain waited 1.5 s for connections that a full link had dropped, and
  /// their engines served 2.5 s after all others.
  core::Duration patience_ = std::chrono::milliseconds(250);
  /// The next in rank asks the origin after this: a manifest weighs a sixth of
  /// a chunk. With 300 ms the first chunks of eight new engines were asked for
  /// after 0.54 s.
  core::Duration origin_step_ = std::chrono::milliseconds(50);
};

/// @brief One to ask.
struct ManifestSource {
  /// Absent: the origin.
  std::optional<core::InstanceId> peer_;
};

/// @brief The search of one member for one manifest.
class ManifestSearch {
 public:
  explicit ManifestSearch(SwarmMember self,
                          ManifestSearchSettings settings = {});

  void Start(core::TimePoint now);
  /// @brief Whom to ask now; it counts as asked from then on.
  /// @param holders members that announced the manifest.
  /// @param origin_rank members of the own failure domain that ask the origin
  /// before this one; none while the origin may not be asked.
  [[nodiscard]] std::optional<ManifestSource> Next(
      std::span<const SwarmMember> holders,
      std::optional<std::size_t> origin_rank, core::TimePoint now);
  /// @brief An ask brought nothing: the next source need not wait.
  void OnRequestFailed() noexcept { asked_at_.reset(); }

 private:
  [[nodiscard]] const SwarmMember* Best(
      std::span<const SwarmMember> holders) const;

  SwarmMember self_;
  ManifestSearchSettings settings_;
  core::TimePoint started_;
  /// The last ask, unless it failed.
  std::optional<core::TimePoint> asked_at_;
  /// Peers asked so far.
  std::set<core::InstanceId> asked_;
};

}  // namespace chalkwell::swarm
