// A roll in simulated time: agents with links, an origin with a link and few
// connections, links between failure domains. The decisions are the library's;
// how an agent carries them out is what the daemon does, in short.
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

/// @brief A time in which the origin answers nobody.
struct OriginAway {
  core::Duration from_{};
  core::Duration to_{};
};

/// @brief Settings of a play.
struct RolloutSimulationSettings {
  std::size_t domains_ = 5;
  std::size_t agents_ = 204;
  std::size_t chunks_ = 96;
  std::size_t chunk_bytes_ = 24576;
  /// Of each agent, each way.
  double link_rate_ = 7.3e6 / 8;
  double origin_rate_ = 7.3e6 / 8;
  /// Between two failure domains, each way.
  double domain_rate_ = 26e6 / 8;
  core::Duration near_delay_ = std::chrono::microseconds(200);
  core::Duration far_delay_ = std::chrono::microseconds(1500);
  /// Reading a chunk from the engine's staging, and writing it there.
  core::Duration stage_time_ = std::chrono::milliseconds(4);
  std::size_t origin_connections_ = 48;
  /// One more is not refused: it is not answered, and given up after this.
  core::Duration connect_patience_ = std::chrono::milliseconds(1500);
  double upload_share_ = 0.85;
  core::Duration tick_ = std::chrono::milliseconds(40);
  core::Duration announce_interval_ = std::chrono::milliseconds(120);
  std::optional<OriginAway> away_;
  /// Agents that die, and when.
  std::size_t lost_ = 0;
  core::Duration lost_at_ = std::chrono::seconds(1);
  /// As the planner's.
  std::size_t origin_window_ = 24;
  std::uint32_t seed_ = 1;
  core::Duration longest_ = std::chrono::seconds(30);
};

/// @brief What came of a play, from the naming on.
struct RolloutSimulationResult {
  /// Of the agents that live, in order; shorter when some are never whole.
  std::vector<core::Duration> whole_;
  /// Chunks that the origin sent, over the chunks of a version.
  double origin_copies_ = 0;
  /// Connections that the origin had no room for.
  std::size_t dropped_connections_ = 0;
  /// Chunks that crossed into each failure domain other than the origin's, over
  /// the chunks of a version, the most of all.
  double import_copies_ = 0;
  /// Chunks that the busiest agent gave, over the mean.
  double busiest_ = 0;
  /// Messages of an agent about what it holds, in the mean.
  double told_ = 0;

  /// @brief When a share of the agents was whole.
  [[nodiscard]] core::Duration At(double share) const;
};

/// @brief One play.
class RolloutSimulation {
 public:
  explicit RolloutSimulation(RolloutSimulationSettings settings);
  ~RolloutSimulation();
  [[nodiscard]] RolloutSimulationResult Run();

 private:
  struct Agent;
  struct Draw {
    Agent* agent_ = nullptr;
    std::size_t chunk_ = 0;
  };
  struct Event {
    core::TimePoint at_;
    std::uint64_t number_ = 0;
    std::function<void()> task_;
    bool operator<(const Event& other) const {
      return std::pair(at_, number_) > std::pair(other.at_, other.number_);
    }
  };

  void At(core::TimePoint at, std::function<void()> task);
  void After(core::Duration wait, std::function<void()> task) {
    At(now_ + wait, std::move(task));
  }
  [[nodiscard]] core::Duration Delay(const Agent& from, const Agent& to) const;
  void Begin(Agent& agent);
  void Tick(Agent& agent);
  void Pump(Agent& agent);
  void AskPeer(Agent& agent, Agent& peer, std::size_t chunk);
  void Give(Agent& from, Agent& to, std::size_t chunk, core::TimePoint asked);
  void AskOrigin(Agent& agent, std::size_t chunk);
  void OriginFailed(Agent& agent, std::size_t chunk);
  /// @brief Sends the first of those who wait, unless one is being sent to.
  void ServeOrigin();
  [[nodiscard]] bool OriginAwayNow() const;
  void OnChunk(Agent& agent, std::size_t chunk, bool drawn);
  void Announce(Agent& agent);
  void TellOne(Agent& agent, Agent& other);

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
  /// When the link between two domains is free again.
  std::map<std::pair<core::FailureDomainId, core::FailureDomainId>,
           core::TimePoint>
      domain_free_;
  /// Connections to the origin, which serves one after the other.
  std::deque<Draw> draws_;
  bool origin_busy_ = false;
  std::size_t drawn_ = 0;
  std::size_t dropped_connections_ = 0;
  std::map<core::FailureDomainId, std::size_t> imported_;
  std::vector<core::Duration> whole_;
};

}  // namespace chalkwell::swarm
