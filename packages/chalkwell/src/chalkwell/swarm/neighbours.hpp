// Recipients of a member's announcements of the chunks that it holds: a few
// neighbours in its failure domain, one member of each remote domain, and for
// chunks that it fetched from the origin the members that import them into the
// remote domains. The number of recipients does not grow with the swarm.
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
  /// even number. Each member receives announcements from as many members as it
  /// announces to: with independently chosen neighbours some would receive from
  /// only two or three. Of 204 simulated members, half of which are complete
  /// 4.0 s after the publication of a version, the last one is complete after
  /// 4.1 s; with independently chosen neighbours it was after 5.6 s. An
  /// announcement reaches 40 members in two hops, 350 in three.
  std::size_t local_ = 8;
  /// Number of neighbours in each remote failure domain, so that a domain finds
  /// chunks in another one even if their importer is lost.
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
/// @param chunk hexadecimal digest of the chunk, by which the planner ranks
/// too.
[[nodiscard]] std::set<core::InstanceId> ImportersOf(
    std::string_view chunk, const SwarmMember& self,
    std::span<const SwarmMember> members,
    const NeighbourSettings& settings = {});

}  // namespace chalkwell::swarm
