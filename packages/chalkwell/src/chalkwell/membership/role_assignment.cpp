// Ranks members by their rendezvous scores.
#include "chalkwell/membership/role_assignment.hpp"

#include <algorithm>

#include "chalkwell/core/digest.hpp"

namespace chalkwell::membership {

std::uint64_t WatcherScore(const core::InstanceId& member) {
  return core::RendezvousScore(kWatcherRoleKey, member.value());
}

std::size_t RankOf(const core::InstanceId& self, std::string_view item,
                   std::span<const core::InstanceId> members) {
  if (std::ranges::find(members, self) == members.end()) {
    return members.size();
  }
  const auto own_score = core::RendezvousScore(item, self.value());
  return static_cast<std::size_t>(
      std::ranges::count_if(members, [&](const core::InstanceId& member) {
        return core::RendezvousScore(item, member.value()) > own_score;
      }));
}

std::vector<core::InstanceId> HighestRanked(
    std::string_view item, std::span<const core::InstanceId> members,
    std::size_t count) {
  std::vector<core::InstanceId> order(members.begin(), members.end());
  const auto score = [item](const core::InstanceId& member) {
    return core::RendezvousScore(item, member.value());
  };
  const auto size = std::min(count, order.size());
  std::ranges::partial_sort(order,
                            order.begin() + static_cast<std::ptrdiff_t>(size),
                            std::ranges::greater{}, score);
  order.resize(size);
  return order;
}

}  // namespace chalkwell::membership
