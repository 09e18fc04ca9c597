// Duties that fall to a few of many by rendezvous hashing, without a vote.
#pragma once

#include <cstddef>
#include <cstdint>
#include <span>
#include <string_view>
#include <vector>

#include "chalkwell/core/identifier.hpp"

namespace chalkwell::membership {

/// Duty of watching what is published, and of passing news on between failure
/// domains: who hears of a change first tells it. Any fixed text: the duty
/// stays with the same members while they live.
inline constexpr std::string_view kWatcherRoleKey = "watch-document";

/// Members of each failure domain that have this duty: one may be lost
/// unnoticed.
inline constexpr std::size_t kWatchersPerDomain = 2;

/// @brief Rank of a member for the duty of watching; the higher, the earlier.
[[nodiscard]] std::uint64_t WatcherScore(const core::InstanceId& member);

/// @brief Position of a member in the order for an item; 0 is the first choice.
/// @return `members.size()` when `self` is not among them.
[[nodiscard]] std::size_t RankOf(const core::InstanceId& self,
                                 std::string_view item,
                                 std::span<const core::InstanceId> members);

/// @brief The first `count` members in the order for an item.
[[nodiscard]] std::vector<core::InstanceId> HighestRanked(
    std::string_view item, std::span<const core::InstanceId> members,
    std::size_t count);

}  // namespace chalkwell::membership
