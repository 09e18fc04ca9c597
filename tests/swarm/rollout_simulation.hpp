// Simulation of a rollout in virtual time: agents with links, an origin with a
// link and a limited number of connections, and links between failure domains.
// Decisions are made by the library; their execution is a simplified model of
// the daemon.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <set>
#include <utility>
#include <vector>

#include "chalkwell/core/backoff.hpp"
#include "chalkwell/swarm/fetch_window.hpp"
#include "chalkwell/swarm/pacer.hpp"
#include "chalkwell/swarm/planner.hpp"

namespace chalkwell::swarm {

/// @brief Interval, relative to the start, in which the origin does not
/// respond.
struct OriginOutage {
  core::Duration from_{};
  core::Duration to_{};
};

struct RolloutSimulationSettings {
  std::size_t domains_ = 5;
  std::size_t agents_ = 204;
  std::size_t chunks_ = 96;
  std::size_t chunk_bytes_ = 24576;
  /// Bytes per second of each agent's link, per direction.
  double link_rate_ = 7.3e6 / 8;
  /// Bytes per second of the origin's link.
  double origin_rate_ = 7.3e6 / 8;
  /// Bytes per second between two failure domains, per direction.
  double domain_rate_ = 26e6 / 8;
  /// One-way delay within a failure domain.
  core::Duration local_delay_ = std::chrono::microseconds(200);
  /// One-way delay between failure domains.
  core::Duration remote_delay_ = std::chrono::microseconds(1500);
  /// Time to read a chunk from the engine's staging area, or to write it there.
  core::Duration stage_time_ = std::chrono::milliseconds(4);
  std::size_t origin_connections_ = 48;
  /// Timeout of a connection beyond `origin_connections_`, which the origin
  /// neither accepts nor refuses.
  core::Duration connect_timeout_ = std::chrono::milliseconds(1500);
  /// Fraction of the link that uploads of chunks may use.
  double upload_share_ = 0.85;
  core::Duration tick_ = std::chrono::milliseconds(40);
  core::Duration announce_interval_ = std::chrono::milliseconds(120);
  std::optional<OriginOutage> outage_;
  /// Number of agents that terminate at `lost_at_`.
  std::size_t lost_ = 0;
  core::Duration lost_at_ = std::chrono::seconds(1);
  /// Setting of the planner.
  std::size_t origin_window_ = 24;
  std::uint32_t seed_ = 1;
  /// Simulated time after which the run ends.
  core::Duration max_duration_ = std::chrono::seconds(30);
};

/// @brief Result of a run; times count from the publication of the version.
struct RolloutSimulationResult {
  /// Completion times of the live agents, ascending; agents that do not
  /// complete are missing.
  std::vector<core::Duration> completed_;
  /// Chunks sent by the origin, divided by the number of chunks of the version.
  double origin_copies_ = 0;
  /// Connections beyond the limit of the origin.
  std::size_t dropped_connections_ = 0;
  /// Chunks sent into a failure domain from other domains, divided by the
  /// number of chunks of the version; the maximum over all domains.
  double import_copies_ = 0;
  /// Chunks sent by the busiest agent, divided by the mean.
  double busiest_ = 0;
  /// Mean number of announcements sent per agent.
  double announcements_ = 0;

  /// @brief Time at which a fraction of the agents was complete.
  [[nodiscard]] core::Duration At(double fraction) const;
};

/// @brief One simulated rollout.
class RolloutSimulation {
 public:
  explicit RolloutSimulation(RolloutSimulationSettings settings);
  ~RolloutSimulation();
  [[nodiscard]] RolloutSimulationResult Run();

 private:
  struct Agent;
  struct OriginFetch {
    Agent* agent_ = nullptr;
    std::size_t chunk_ = 0;
  };
  struct Event {
    core::TimePoint at_;
    /// Order among events at the same time.
    std::uint64_t number_ = 0;
    std::function<void()> task_;
    bool operator<(const Event& other) const {
      return std::pair(at_, number_) > std::pair(other.at_, other.number_);
    }
  };

  void At(core::TimePoint at, std::function<void()> task);
  void After(core::Duration delay, std::function<void()> task) {
    At(now_ + delay, std::move(task));
  }
  [[nodiscard]] core::Duration Delay(const Agent& from, const Agent& to) const;
  void Start(Agent& agent);
  void Tick(Agent& agent);
  void SendRequests(Agent& agent);
  void RequestFromPeer(Agent& agent, Agent& peer, std::size_t chunk);
  void SendChunk(Agent& from, Agent& to, std::size_t chunk,
                 core::TimePoint requested_at);
  void RequestFromOrigin(Agent& agent, std::size_t chunk);
  void OriginFailed(Agent& agent, std::size_t chunk);
  /// @brief Sends the first waiting chunk unless the origin is busy.
  void ServeOrigin();
  [[nodiscard]] bool InOriginOutage() const;
  void OnChunkReceived(Agent& agent, std::size_t chunk, bool from_origin);
  void Announce(Agent& agent);
  void SendAnnouncement(Agent& agent, Agent& recipient);

  RolloutSimulationSettings settings_;
  std::mt19937 random_;
  core::TimePoint now_{std::chrono::hours(1)};
  core::TimePoint start_ = now_;
  std::uint64_t events_ = 0;
  std::priority_queue<Event> queue_;
  std::vector<bundle::Chunk> manifest_;
  std::vector<SwarmMember> members_;
  std::vector<std::unique_ptr<Agent>> agents_;
  std::map<core::InstanceId, Agent*> by_id_;
  /// When the link between two domains becomes free.
  std::map<std::pair<core::FailureDomainId, core::FailureDomainId>,
           core::TimePoint>
      domain_free_;
  /// Open connections to the origin, which serves them one at a time.
  std::deque<OriginFetch> origin_queue_;
  bool origin_busy_ = false;
  std::size_t sent_by_origin_ = 0;
  std::size_t dropped_connections_ = 0;
  /// Chunks sent into each failure domain from other domains.
  std::map<core::FailureDomainId, std::size_t> imported_;
  std::vector<core::Duration> completed_;
};

}  // namespace chalkwell::swarm
