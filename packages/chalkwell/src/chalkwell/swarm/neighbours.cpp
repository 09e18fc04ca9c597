// Rendezvous ranks: all members know them without asking.
#include "chalkwell/swarm/neighbours.hpp"

#include <algorithm>
#include <map>

#include "chalkwell/core/digest.hpp"

namespace chalkwell::swarm {
namespace {

/// Members in the order of an item, the first of each failure domain alone.
/// @param most of each domain, by domain.
template <typename Most>
std::vector<core::InstanceId> FirstOfDomains(
    std::string_view item, const SwarmMember& self,
    std::span<const SwarmMember> members, Most most) {
  std::vector<SwarmMember> order;
  for (const auto& member : members) {
    if (member.id_ != self.id_) {
      order.push_back(member);
    }
  }
  std::ranges::sort(
      order, std::ranges::greater{}, [&](const SwarmMember& member) {
        return std::pair(!member.slow_,
                         core::RendezvousScore(item, member.id_.value()));
      });
  std::map<core::FailureDomainId, std::size_t> taken;
  std::vector<core::InstanceId> first;
  for (const auto& member : order) {
    if (taken[member.domain_]++ < most(member.domain_)) {
      first.push_back(member.id_);
    }
  }
  return first;
}

}  // namespace

std::vector<core::InstanceId> NeighboursOf(const SwarmMember& self,
                                           std::span<const SwarmMember> members,
                                           const NeighbourSettings& settings) {
  return FirstOfDomains(self.id_.value(), self, members,
                        [&](const core::FailureDomainId& domain) {
                          return domain == self.domain_ ? settings.near_
                                                        : settings.far_;
                        });
}

std::set<core::InstanceId> ImportersOf(std::string_view chunk,
                                       const SwarmMember& self,
                                       std::span<const SwarmMember> members,
                                       const NeighbourSettings& settings) {
  const auto first = FirstOfDomains(
      chunk, self, members, [&](const core::FailureDomainId& domain) {
        return domain == self.domain_ ? std::size_t{0} : settings.importers_;
      });
  return {first.begin(), first.end()};
}

}  // namespace chalkwell::swarm
