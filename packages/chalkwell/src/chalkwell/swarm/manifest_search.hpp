// Selects the source to request a version's manifest from; no chunk can be
// fetched without it. Members of the local failure domain that hold it come
// first, then remote members, then the origin, which one member of each failure
// domain asks at a time. When a request is not answered soon, the next source
// is asked in parallel.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <span>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"
#include "chalkwell/swarm/planner.hpp"

namespace chalkwell::swarm {

struct ManifestSearchSettings {
  /// A request without a reply for this long has the next source asked in
  /// parallel; a reply usually takes some 10 ms. Without hedging, after a power
  /// loss of all machines, 43 agents of one failure domain waited 1.5 s for
  /// connections that a saturated link had dropped, and their engines served
  /// 2.5 s after all others.
  core::Duration hedge_delay_ = std::chrono::milliseconds(250);
  /// Time per rank that a member waits before it asks the origin. It can be
  /// short because a manifest has a sixth of a chunk's size; with 300 ms the
  /// first chunks of eight new engines were requested after 0.54 s.
  core::Duration origin_rank_delay_ = std::chrono::milliseconds(50);
};

/// @brief A source of the manifest: a peer or the origin.
struct ManifestSource {
  /// None for the origin.
  std::optional<core::InstanceId> peer_;
};

/// @brief The search of one member for one manifest.
class ManifestSearch {
 public:
  explicit ManifestSearch(SwarmMember self,
                          ManifestSearchSettings settings = {});

  void Start(core::TimePoint now);
  /// @brief Returns the source to ask now, if any, and records it as asked.
  /// @param holders members that announced the manifest.
  /// @param origin_rank number of members of the local failure domain that ask
  /// the origin before this one; none while the origin must not be asked.
  [[nodiscard]] std::optional<ManifestSource> Next(
      std::span<const SwarmMember> holders,
      std::optional<std::size_t> origin_rank, core::TimePoint now);
  /// @brief A request failed: the next source may be asked at once.
  void OnRequestFailed() noexcept { last_request_at_.reset(); }

 private:
  /// @brief The preferred holder among those not asked yet, or null.
  [[nodiscard]] const SwarmMember* BestHolder(
      std::span<const SwarmMember> holders) const;

  SwarmMember self_;
  ManifestSearchSettings settings_;
  core::TimePoint started_;
  /// Time of the last request, unless it failed.
  std::optional<core::TimePoint> last_request_at_;
  /// Peers asked since the last round over all sources ended.
  std::set<core::InstanceId> asked_peers_;
};

}  // namespace chalkwell::swarm
