// Selection by rendezvous hashing over the published list.
#include "daemon/swarm_members.hpp"

#include <algorithm>
#include <iterator>
#include <set>
#include <utility>

#include "chalkwell/membership/role_assignment.hpp"

namespace chalkwell::daemon {

std::vector<swarm::SwarmMember> SwarmMembersOf(Process& process) {
  std::vector<swarm::SwarmMember> members;
  const auto* bundle = process.config().documents().AcceptedBundle();
  for (const auto& instance : process.config().instances()) {
    const bool is_member = instance.kind_ == config::InstanceKind::kEndpoint &&
                           instance.backend_ == config::BackendKind::kEngine &&
                           !instance.leaving_ && bundle != nullptr &&
                           bundle->AppliesTo(instance.role_);
    if (is_member) {
      members.push_back({instance.id_, instance.domain_});
    }
  }
  return members;
}

std::vector<config::Instance> NeighboursOf(Process& process) {
  const auto& settings = process.settings();
  std::vector<core::InstanceId> local;
  std::vector<core::InstanceId> remote;
  for (const auto& member : SwarmMembersOf(process)) {
    if (member.id_ != process.id()) {
      (member.domain_ == process.domain() ? local : remote)
          .push_back(member.id_);
    }
  }
  std::set<core::InstanceId> selected;
  const auto select = [&](const std::vector<core::InstanceId>& candidates,
                          const char* key) {
    for (auto& id :
         membership::HighestRanked(process.id().value(), candidates,
                                   settings.Number("weights", key))) {
      selected.insert(std::move(id));
    }
  };
  select(local, "neighbours");
  select(remote, "neighbours_foreign");
  std::vector<config::Instance> neighbours;
  std::ranges::copy_if(process.config().instances(),
                       std::back_inserter(neighbours),
                       [&](const config::Instance& instance) {
                         return selected.contains(instance.id_);
                       });
  return neighbours;
}

}  // namespace chalkwell::daemon
