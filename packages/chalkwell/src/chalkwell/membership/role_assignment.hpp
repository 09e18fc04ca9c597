// Assignment of roles to a few of many members by rendezvous hashing, without
// an election.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "chalkwell/core/identifier.hpp"

namespace chalkwell::membership {

/// Hash key of the watcher role. Watchers read published documents from the
/// configuration store. They are also the delegates that forward changes
/// between failure domains, because they receive changes first. The text is
/// arbitrary but fixed: the role stays with the same members while they live.
inline constexpr std::string_view kWatcherRoleKey = "watch-document";

/// Watchers per failure domain; the loss of one of them interrupts nothing.
inline constexpr std::size_t kWatchersPerDomain = 2;

/// @brief Score of a member for the watcher role; the highest score has rank 0.
[[nodiscard]] std::uint64_t WatcherScore(const core::InstanceId& member);

/// @brief Rank of a member in the priority order of an item (the name of a role
/// or chunk), from 0: the number of members with a higher
/// core::RendezvousScore(item, member).
/// @return `members.size()` if `self` is not among the members.
[[nodiscard]] std::size_t RankOf(const core::InstanceId& self,
                                 std::string_view item,
                                 std::span<const core::InstanceId> members);

/// @brief The first `count` members in the priority order of an item, rank 0
/// first.
[[nodiscard]] std::vector<core::InstanceId> HighestRanked(
    std::string_view item, std::span<const core::InstanceId> members,
    std::size_t count);

}  // namespace chalkwell::membership
