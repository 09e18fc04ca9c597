// Orders and ranks come from rendezvous hashing, so that all members agree on
// them without communication.
#include "chalkwell/swarm/neighbours.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "chalkwell/core/digest.hpp"

namespace chalkwell::swarm {
namespace {

using Ids = std::vector<core::InstanceId>;

/// Sorts the members into the pseudo-random order with the given number, which
/// is the same at all members.
Ids Shuffled(Ids members, std::size_t number) {
  const auto name = "swarm-neighbours-" + std::to_string(number);
  std::ranges::sort(members, {}, [&](const core::InstanceId& id) {
    return std::pair(core::RendezvousScore(name, id.value()), id);
  });
  return members;
}

std::size_t PositionOf(const core::InstanceId& id, const Ids& order) {
  return static_cast<std::size_t>(std::ranges::find(order, id) - order.begin());
}

/// Predecessors and successors of a member on several rings.
std::set<core::InstanceId> RingNeighbours(const core::InstanceId& self,
                                          const Ids& members,
                                          std::size_t max_count) {
  std::set<core::InstanceId> neighbours;
  const auto size = members.size();
  for (std::size_t ring = 0; ring < (max_count + 1) / 2; ++ring) {
    const auto order = Shuffled(members, ring);
    const auto position = PositionOf(self, order);
    neighbours.insert(order[(position + 1) % size]);
    neighbours.insert(order[(position + size - 1) % size]);
  }
  neighbours.erase(self);
  return neighbours;
}

/// The first members of each remote failure domain in the priority order of an
/// item; members on degraded links come last.
std::set<core::InstanceId> FirstOfRemoteDomains(
    std::string_view item, const SwarmMember& self,
    std::span<const SwarmMember> members, std::size_t per_domain) {
  std::vector<SwarmMember> order;
  for (const auto& member : members) {
    if (member.domain_ != self.domain_) {
      order.push_back(member);
    }
  }
  std::ranges::sort(
      order, std::ranges::greater{}, [&](const SwarmMember& member) {
        return std::pair(!member.degraded_,
                         core::RendezvousScore(item, member.id_.value()));
      });
  std::map<core::FailureDomainId, std::size_t> chosen;
  std::set<core::InstanceId> first;
  for (const auto& member : order) {
    if (chosen[member.domain_]++ < per_domain) {
      first.insert(member.id_);
    }
  }
  return first;
}

}  // namespace

std::vector<core::InstanceId> NeighboursOf(const SwarmMember& self,
                                           std::span<const SwarmMember> members,
                                           const NeighbourSettings& settings) {
  std::map<core::FailureDomainId, Ids> domains;
  for (const auto& member : members) {
    domains[member.domain_].push_back(member.id_);
  }
  auto& local_ids = domains[self.domain_];
  if (std::ranges::find(local_ids, self.id_) == local_ids.end()) {
    // A new member that the others do not know yet; they reply to its
    // announcements.
    local_ids.push_back(self.id_);
  }
  const auto local = Shuffled(local_ids, 0);
  const auto position = PositionOf(self.id_, local);
  const auto ring_neighbours = RingNeighbours(self.id_, local, settings.local_);
  Ids neighbours(ring_neighbours.begin(), ring_neighbours.end());
  for (const auto& [domain, ids] : domains) {
    const auto remote = Shuffled(ids, 0);
    const auto count =
        domain == self.domain_ ? 0 : std::min(settings.remote_, remote.size());
    // Maps the own relative position to the remote domain, so that each remote
    // member receives announcements from equally many members.
    const auto counterpart = position * remote.size() / local.size();
    for (std::size_t i = 0; i < count; ++i) {
      neighbours.push_back(remote[(counterpart + i) % remote.size()]);
    }
  }
  return neighbours;
}

std::set<core::InstanceId> ImportersOf(std::string_view chunk,
                                       const SwarmMember& self,
                                       std::span<const SwarmMember> members,
                                       const NeighbourSettings& settings) {
  return FirstOfRemoteDomains(chunk, self, members,
                              settings.importers_per_domain_);
}

}  // namespace chalkwell::swarm
