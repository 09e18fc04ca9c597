// Orders and ranks by hashing: all members know them without asking.
#include "chalkwell/swarm/neighbours.hpp"

#include <algorithm>
#include <map>
#include <string>
#include <utility>

#include "chalkwell/core/digest.hpp"

namespace chalkwell::swarm {
namespace {

using Ids = std::vector<core::InstanceId>;

/// Members in one of the orders that all know; another order for each number.
Ids InOrder(Ids members, std::size_t number) {
  const auto name = "swarm-neighbours-" + std::to_string(number);
  std::ranges::sort(members, {}, [&](const core::InstanceId& id) {
    return std::pair(core::RendezvousScore(name, id.value()), id);
  });
  return members;
}

std::size_t PositionOf(const core::InstanceId& id, const Ids& order) {
  return static_cast<std::size_t>(std::ranges::find(order, id) - order.begin());
}

/// Those before and behind a member in several orders, each closed to a circle.
std::set<core::InstanceId> Beside(const core::InstanceId& self,
                                  const Ids& members, std::size_t most) {
  std::set<core::InstanceId> beside;
  const auto size = members.size();
  for (std::size_t circle = 0; circle < (most + 1) / 2; ++circle) {
    const auto order = InOrder(members, circle);
    const auto own = PositionOf(self, order);
    beside.insert(order[(own + 1) % size]);
    beside.insert(order[(own + size - 1) % size]);
  }
  beside.erase(self);
  return beside;
}

/// The first members of each other failure domain in the order of an item,
/// quick ones first.
std::set<core::InstanceId> FirstElsewhere(std::string_view item,
                                          const SwarmMember& self,
                                          std::span<const SwarmMember> members,
                                          std::size_t of_each) {
  std::vector<SwarmMember> order;
  for (const auto& member : members) {
    if (member.domain_ != self.domain_) {
      order.push_back(member);
    }
  }
  std::ranges::sort(
      order, std::ranges::greater{}, [&](const SwarmMember& member) {
        return std::pair(!member.slow_,
                         core::RendezvousScore(item, member.id_.value()));
      });
  std::map<core::FailureDomainId, std::size_t> taken;
  std::set<core::InstanceId> first;
  for (const auto& member : order) {
    if (taken[member.domain_]++ < of_each) {
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
  auto& own = domains[self.domain_];
  if (std::ranges::find(own, self.id_) == own.end()) {
    // A newcomer that the others do not know yet: they answer it.
    own.push_back(self.id_);
  }
  const auto near = InOrder(own, 0);
  const auto position = PositionOf(self.id_, near);
  const auto beside = Beside(self.id_, near, settings.near_);
  Ids neighbours(beside.begin(), beside.end());
  for (const auto& [domain, ids] : domains) {
    const auto far = InOrder(ids, 0);
    const auto count =
        domain == self.domain_ ? 0 : std::min(settings.far_, far.size());
    // Where this one stands in its domain, so that each is told by as many.
    const auto opposite = position * far.size() / near.size();
    for (std::size_t i = 0; i < count; ++i) {
      neighbours.push_back(far[(opposite + i) % far.size()]);
    }
  }
  return neighbours;
}

std::set<core::InstanceId> ImportersOf(std::string_view chunk,
                                       const SwarmMember& self,
                                       std::span<const SwarmMember> members,
                                       const NeighbourSettings& settings) {
  return FirstElsewhere(chunk, self, members, settings.importers_);
}

}  // namespace chalkwell::swarm
