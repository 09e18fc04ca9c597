// Recipients of a member's announcements of the chunks that it holds: a few
// neighbours in its failure domain, one member of each remote domain, and for
// chunks that it fetched from the origin the members that fetch them into the
// remote domains first (importers). The number of recipients does not grow with
// the swarm.
#pragma once

#include <set>
#include <span>
#include <string_view>
#include <vector>

#include "chalkwell/core/identifier.hpp"
#include "chalkwell/swarm/planner.hpp"

namespace chalkwell::swarm {

struct NeighbourSettings {
  /// Maximum number of neighbours in the local failure domain, rounded up to an
  /// even number: the predecessor and the successor on each of `local_ / 2`
  /// rings. As this relation is symmetric, each member receives announcements
  /// from as many members as it announces to; with random choice some receive
  /// from two or three only and finish late (the last of 204 simulated members
  /// after 5.6 s instead of 4.1 s, half of them after 4.0 s). With 8 neighbours
  /// an announcement reaches 40 members in two hops and 350 in three (at most
  /// 64 and 456).
  std::size_t local_ = 8;
  /// Number of neighbours in each remote failure domain, so that the members of
  /// a domain learn of chunks in another one even if their importer is lost.
  std::size_t remote_ = 1;
  /// Number of importers in each remote failure domain that a chunk fetched
  /// from the origin is announced to: the second takes over when the first
  /// makes no progress.
  std::size_t importers_per_domain_ = 2;
};

/// @brief Members that every chunk held by `self` is announced to.
[[nodiscard]] std::vector<core::InstanceId> NeighboursOf(
    const SwarmMember& self, std::span<const SwarmMember> members,
    const NeighbourSettings& settings = {});

/// @brief Members assigned to import a chunk into the remote failure domains.
/// @param chunk hexadecimal digest of the chunk, which Planner uses for its
/// priority orders too.
[[nodiscard]] std::set<core::InstanceId> ImportersOf(
    std::string_view chunk, const SwarmMember& self,
    std::span<const SwarmMember> members,
    const NeighbourSettings& settings = {});

}  // namespace chalkwell::swarm
