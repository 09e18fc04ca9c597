// Members of the swarm that distributes the weights of the active bundle, and
// the neighbours of one agent among them.
#pragma once

#include <vector>

#include "chalkwell/config/published_lists.hpp"
#include "chalkwell/swarm/planner.hpp"
#include "daemon/process.hpp"

namespace chalkwell::daemon {

/// @brief Endpoints whose engines serve the active bundle, except draining
/// ones.
[[nodiscard]] std::vector<swarm::SwarmMember> SwarmMembersOf(Process& process);

/// @brief Members to whose announcements this agent subscribes. They are
/// selected by rendezvous hashing: up to `weights.neighbours` of the local
/// failure domain and up to `weights.neighbours_foreign` of remote ones.
[[nodiscard]] std::vector<config::Instance> NeighboursOf(Process& process);

}  // namespace chalkwell::daemon
