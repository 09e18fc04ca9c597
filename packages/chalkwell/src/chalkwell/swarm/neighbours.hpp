// Whom a member of the swarm tells what it holds: few neighbours of its failure
// domain, one of each other domain, and for pieces that it drew from the origin
// those who import them into the other domains. How much one member tells does
// not grow with the swarm.
#pragma once

#include <set>
#include <span>
#include <string_view>
#include <vector>

#include "chalkwell/core/identifier.hpp"
#include "chalkwell/swarm/planner.hpp"

namespace chalkwell::swarm {

/// @brief Settings of the neighbours.
struct NeighbourSettings {
  /// Of the own failure domain, at most. Each is told by as many as it tells:
  /// chosen one by one, some were told by two or three, and of 204 members,
  /// half of which were whole 4.0 s after a naming, the last was after 5.6 s;
  /// now after 4.1 s, in simulated time. A piece reaches 40 members by two
  /// hops, 350 by three.
  std::size_t near_ = 8;
  /// Of each other failure domain: what a domain lacks is found in another one
  /// although its importer is gone.
  std::size_t far_ = 1;
  /// Importers told of a piece that was drawn here, in each other domain: the
  /// second follows when the first is silent.
  std::size_t importers_ = 2;
};

/// @brief Members that are told whatever is held.
[[nodiscard]] std::vector<core::InstanceId> NeighboursOf(
    const SwarmMember& self, std::span<const SwarmMember> members,
    const NeighbourSettings& settings = {});

/// @brief Members that import a chunk into the other failure domains.
/// @param chunk name of the chunk's content, as the planner ranks by it.
[[nodiscard]] std::set<core::InstanceId> ImportersOf(
    std::string_view chunk, const SwarmMember& self,
    std::span<const SwarmMember> members,
    const NeighbourSettings& settings = {});

}  // namespace chalkwell::swarm
