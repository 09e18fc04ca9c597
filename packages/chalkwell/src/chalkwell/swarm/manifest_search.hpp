// Selects the source to request a version's manifest from; no chunk can be
// fetched without it. Members of the local failure domain that hold it come
// first, then remote members, then the origin, to which the members of a
// failure domain send requests one after another, `origin_rank_delay_` apart.
// When a request gets no reply soon, one is sent to the next source in
// parallel.
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
  /// When a request has had no reply for this long, another is sent to the next
  /// source in parallel; a reply usually takes some 10 ms. A request may be
  /// lost with its connection on a saturated link. Without a parallel request
  /// the manifest then arrived 1.5 s late, and the engines of a failure domain
  /// with 43 agents began to serve 2.5 s late.
  core::Duration hedge_delay_ = std::chrono::milliseconds(250);
  /// Time per rank that a member waits before it sends a request to the origin.
  /// It can be short because a manifest has a sixth of a chunk's size; with 300
  /// ms eight new engines requested their first chunks only after 0.54 s.
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
  /// @brief Returns the source to send a request to now, if any, and records it
  /// as requested.
  /// @param holders members that announced the manifest.
  /// @param origin_rank number of members of the local failure domain that send
  /// requests to the origin before this one; none while none must be sent to
  /// it.
  [[nodiscard]] std::optional<ManifestSource> Next(
      std::span<const SwarmMember> holders,
      std::optional<std::size_t> origin_rank, core::TimePoint now);
  /// @brief A request failed: the next one may be sent at once.
  void OnRequestFailed() noexcept { last_request_at_.reset(); }

 private:
  /// @brief The preferred holder among those not in `requested_peers_`, or
  /// null.
  [[nodiscard]] const SwarmMember* BestHolder(
      std::span<const SwarmMember> holders) const;

  SwarmMember self_;
  ManifestSearchSettings settings_;
  core::TimePoint started_;
  /// Time of the last request, unless it failed.
  std::optional<core::TimePoint> last_request_at_;
  /// Peers that were sent a request since the last round over all sources
  /// ended.
  std::set<core::InstanceId> requested_peers_;
};

}  // namespace chalkwell::swarm
