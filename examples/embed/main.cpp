// Uses the decision modules of chalkwell from another project: three members of
// a swarm fetch two chunks, and one request is retried. The modules use no
// sockets, threads or clocks; the caller passes in the time.
#include <chalkwell/routing/request_tracker.hpp>
#include <chalkwell/swarm/planner.hpp>
#include <chrono>
#include <iostream>
#include <vector>

namespace {

using namespace std::chrono_literals;
using chalkwell::core::TimePoint;

/// Runs three planners for ten rounds.
/// @return true if each chunk was fetched once from the origin and the last
/// member is complete.
bool FetchFromPeers() {
  const std::vector<chalkwell::bundle::Chunk> chunks{
      {chalkwell::core::Digest::Of("first"), 5},
      {chalkwell::core::Digest::Of("second"), 6}};
  std::vector<chalkwell::swarm::SwarmMember> members;
  for (const auto* name : {"a", "b", "c"}) {
    members.push_back({chalkwell::core::InstanceId(name),
                       chalkwell::core::FailureDomainId("port-louis")});
  }
  std::vector<chalkwell::swarm::Planner> planners;
  TimePoint now{1h};
  for (const auto& member : members) {
    planners.emplace_back(member, chalkwell::swarm::PlannerSettings{}, 1);
    planners.back().SetMembers(members);
    planners.back().Start(chunks, chalkwell::swarm::ChunkSet(2), now);
  }
  int origin_fetches = 0;
  for (int round = 0; round < 10; ++round) {
    for (std::size_t i = 0; i < planners.size(); ++i) {
      for (std::size_t other = 0; other < planners.size(); ++other) {
        if (other != i) {
          planners[i].OnAnnounced(members[other], planners[other].held(), now);
        }
      }
      for (const auto& order : planners[i].Next(now)) {
        origin_fetches += order.peer_ ? 0 : 1;
        planners[i].OnChunkReceived(order.chunk_, now);
      }
    }
    now += 20ms;
  }
  std::cout << "fetched from the origin: " << origin_fetches << "\n";
  return origin_fetches == 2 && planners[2].complete();
}

/// Loses the first attempt of a repeatable request.
/// @return true if the tracker then asks for an endpoint for a second attempt.
bool RetryOnce() {
  const TimePoint now{1h};
  chalkwell::routing::RequestTracker tracker(
      {.repeatable_ = true, .deadline_ = now + 1s});
  (void)tracker.Start(now);
  (void)tracker.OnChosen(chalkwell::core::InstanceId("a"), now);
  const auto actions =
      tracker.OnEnded(1, chalkwell::routing::AttemptEnd::kLost, now);
  return std::holds_alternative<chalkwell::routing::ChooseEndpoint>(
      actions.front());
}

}  // namespace

int main() { return FetchFromPeers() && RetryOnce() ? 0 : 1; }
