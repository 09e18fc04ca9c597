// Who takes part in spreading the weights of the bundle in force, and whom of
// them an agent listens to.
#pragma once

#include <vector>

#include "chalkwell/config/published_lists.hpp"
#include "chalkwell/swarm/planner.hpp"
#include "daemon/process.hpp"

namespace chalkwell::daemon {

/// @brief Endpoints whose engines run the bundle in force, leaving ones left
/// out.
[[nodiscard]] std::vector<swarm::SwarmMember> SwarmMembersOf(Process& process);

/// @brief Members that this agent listens to: by hash, some of its own domain
/// and a few of others (settings `weights.neighbours`, `neighbours_foreign`).
[[nodiscard]] std::vector<config::Instance> NeighboursOf(Process& process);

}  // namespace chalkwell::daemon
