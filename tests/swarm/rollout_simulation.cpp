// Links are busy until a time; a chunk passes the sender's, the domains' and
// the receiver's link one behind the other without waiting to be whole.
#include <algorithm>
#include <numeric>
#include <string>
#include <utility>

#include "chalkwell/swarm/neighbours.hpp"
#include "roll_play.hpp"

namespace chalkwell::swarm {
namespace {

using namespace std::chrono_literals;

constexpr core::BackoffSettings kSourcePause{100ms, 600ms};
constexpr auto kConnectTime = 4ms;
/// Part of its link that the origin's chunks take: 96 chunks of 24,576 bytes
/// took 2.85 s on 7.3 Mbit/s.
constexpr double kOriginShare = 0.91;
constexpr double kSecond = 1e9;

core::Duration TimeOf(double bytes, double rate) {
  return core::Duration(static_cast<std::int64_t>(bytes / rate * kSecond));
}

PlannerSettings PlannerOf(const RolloutSimulationSettings& settings) {
  PlannerSettings planner;
  planner.origin_window_ = settings.origin_window_;
  planner.origin_copies_ = 1;
  planner.max_requests_per_peer_ = 1;
  planner.max_origin_requests_ = 1;
  planner.origin_takeover_timeout_ = 900ms;
  planner.chunk_timeout_ = 2500ms;
  planner.import_takeover_timeout_ = 500ms;
  return planner;
}

FetchWindowSettings WindowOf(const RolloutSimulationSettings& settings) {
  FetchWindowSettings window;
  window.bytes_per_second_ = static_cast<std::uint64_t>(settings.link_rate_);
  return window;
}

}  // namespace

struct RolloutSimulation::Agent {
  Agent(const SwarmMember& member, const RolloutSimulationSettings& settings,
        std::uint32_t seed)
      : member_(member),
        planner_(member, PlannerOf(settings), seed),
        window_(WindowOf(settings)),
        upload_(static_cast<std::uint64_t>(settings.link_rate_ *
                                           settings.upload_share_),
                {}),
        source_(kSourcePause, seed),
        held_(settings.chunks_) {}

  SwarmMember member_;
  Planner planner_;
  FetchWindow window_;
  Pacer upload_;
  core::Backoff source_;
  ChunkSet held_;
  std::set<std::size_t> drawn_;
  std::vector<core::InstanceId> neighbours_;
  core::TimePoint up_free_;
  core::TimePoint down_free_;
  core::TimePoint announced_at_;
  bool announce_due_ = false;
  bool begun_ = false;
  bool alive_ = true;
  std::size_t given_ = 0;
  std::size_t told_ = 0;
};

core::Duration RolloutSimulationResult::At(double share) const {
  const auto index =
      static_cast<std::size_t>(share * static_cast<double>(whole_.size() - 1));
  return whole_.at(index);
}

RolloutSimulation::RolloutSimulation(RolloutSimulationSettings settings)
    : settings_(settings), random_(settings.seed_) {
  for (std::size_t i = 0; i < settings_.chunks_; ++i) {
    manifest_.push_back({core::Digest::Of(std::to_string(settings.seed_) + "-" +
                                          std::to_string(i)),
                         1});
  }
  for (std::size_t i = 0; i < settings_.agents_; ++i) {
    members_.push_back(
        {core::InstanceId("10.0." + std::to_string(i / 250) + "." +
                          std::to_string(i % 250) + ":7946"),
         core::FailureDomainId("d" + std::to_string(i % settings_.domains_))});
  }
  for (const auto& member : members_) {
    agents_.push_back(std::make_unique<Agent>(
        member, settings_, static_cast<std::uint32_t>(random_())));
    by_id_[member.id_] = agents_.back().get();
    agents_.back()->neighbours_ = NeighboursOf(member, members_);
  }
}

RolloutSimulation::~RolloutSimulation() = default;

void RolloutSimulation::At(core::TimePoint at, std::function<void()> task) {
  queue_.push({at, events_++, std::move(task)});
}

core::Duration RolloutSimulation::Delay(const Agent& from,
                                        const Agent& to) const {
  return from.member_.domain_ == to.member_.domain_ ? settings_.near_delay_
                                                    : settings_.far_delay_;
}

RolloutSimulationResult RolloutSimulation::Run() {
  for (auto& agent : agents_) {
    // The manifest, and the phase of the agent's tick.
    After(60ms + core::Duration(random_() % 100'000'000),
          [this, &agent] { Begin(*agent); });
  }
  for (std::size_t i = 0; i < settings_.lost_; ++i) {
    After(settings_.lost_at_,
          [this, i] { agents_[(i * 7919) % agents_.size()]->alive_ = false; });
  }
  while (!queue_.empty() && queue_.top().at_ - start_ < settings_.longest_) {
    const auto event = queue_.top();
    queue_.pop();
    now_ = event.at_;
    event.task_();
  }
  RolloutSimulationResult result;
  result.whole_ = whole_;
  result.dropped_connections_ = dropped_connections_;
  const auto chunks = static_cast<double>(settings_.chunks_);
  result.origin_copies_ = static_cast<double>(drawn_) / chunks;
  std::size_t given = 0;
  std::size_t most = 0;
  std::size_t told = 0;
  for (const auto& agent : agents_) {
    given += agent->given_;
    most = std::max(most, agent->given_);
    told += agent->told_;
  }
  const auto count = static_cast<double>(agents_.size());
  result.busiest_ = static_cast<double>(most) * count /
                    static_cast<double>(std::max<std::size_t>(1, given));
  result.told_ = static_cast<double>(told) / count;
  for (const auto& [domain, imported] : imported_) {
    result.import_copies_ =
        std::max(result.import_copies_, static_cast<double>(imported) / chunks);
  }
  return result;
}

void RolloutSimulation::Begin(Agent& agent) {
  agent.begun_ = true;
  agent.planner_.SetMembers(members_);
  agent.planner_.Start(manifest_, agent.held_, now_);
  agent.window_.Start();
  Tick(agent);
}

void RolloutSimulation::Tick(Agent& agent) {
  if (!agent.alive_) {
    return;
  }
  Pump(agent);
  if (agent.announce_due_ &&
      now_ - agent.announced_at_ >= settings_.announce_interval_) {
    Announce(agent);
  }
  const bool busy = !agent.held_.full() || agent.announce_due_;
  if (busy) {
    After(settings_.tick_, [this, &agent] { Tick(agent); });
  }
}

void RolloutSimulation::Pump(Agent& agent) {
  if (!agent.begun_ || !agent.alive_ || agent.held_.full()) {
    return;
  }
  (void)agent.planner_.ExpireRequests(now_);
  agent.planner_.SetMaxPeerRequests(agent.window_.size());
  agent.planner_.SetOriginAvailable(agent.source_.IsReady(now_));
  for (const auto& order : agent.planner_.Next(now_)) {
    if (order.peer_) {
      AskPeer(agent, *by_id_.at(*order.peer_), order.chunk_);
    } else {
      AskOrigin(agent, order.chunk_);
    }
  }
}

void RolloutSimulation::AskPeer(Agent& agent, Agent& peer, std::size_t chunk) {
  const auto asked = now_;
  After(Delay(agent, peer) + settings_.stage_time_,
        [this, &agent, &peer, chunk, asked] {
          if (peer.alive_) {
            Give(peer, agent, chunk, asked);
          }
        });
}

void RolloutSimulation::Give(Agent& from, Agent& to, std::size_t chunk,
                             core::TimePoint asked) {
  const auto bytes = settings_.chunk_bytes_;
  const auto wait = from.upload_.Reserve(bytes, now_);
  ++from.given_;
  After(wait, [this, &from, &to, chunk, asked, wait, bytes] {
    const auto size = static_cast<double>(bytes);
    const auto own = TimeOf(size, settings_.link_rate_);
    auto begin = std::max(now_, from.up_free_);
    from.up_free_ = begin + own;
    if (from.member_.domain_ != to.member_.domain_) {
      auto& free = domain_free_[{from.member_.domain_, to.member_.domain_}];
      begin = std::max(begin, free);
      free = begin + TimeOf(size, settings_.domain_rate_);
      ++imported_[to.member_.domain_];
    }
    begin = std::max(begin + Delay(from, to), to.down_free_);
    to.down_free_ = begin + own;
    At(to.down_free_, [this, &to, chunk, asked, wait, bytes] {
      to.window_.OnChunkReceived(now_ - asked - wait, bytes, now_);
      OnChunk(to, chunk, false);
    });
  });
}

bool RolloutSimulation::OriginAwayNow() const {
  const auto since = now_ - start_;
  return settings_.away_ && since >= settings_.away_->from_ &&
         since < settings_.away_->to_;
}

void RolloutSimulation::AskOrigin(Agent& agent, std::size_t chunk) {
  After(kConnectTime, [this, &agent, chunk] {
    if (OriginAwayNow()) {
      OriginFailed(agent, chunk);
      return;
    }
    if (draws_.size() >= settings_.origin_connections_) {
      ++dropped_connections_;
      After(settings_.connect_patience_,
            [this, &agent, chunk] { OriginFailed(agent, chunk); });
      return;
    }
    draws_.push_back({&agent, chunk});
    ServeOrigin();
  });
}

void RolloutSimulation::OriginFailed(Agent& agent, std::size_t chunk) {
  (void)agent.source_.OnFailure(now_);
  agent.planner_.OnRequestFailed(chunk, now_);
}

void RolloutSimulation::ServeOrigin() {
  if (origin_busy_ || draws_.empty()) {
    return;
  }
  origin_busy_ = true;
  const auto time = TimeOf(static_cast<double>(settings_.chunk_bytes_),
                           settings_.origin_rate_ * kOriginShare);
  After(time, [this] {
    origin_busy_ = false;
    if (OriginAwayNow()) {
      for (const auto& draw : std::exchange(draws_, {})) {
        OriginFailed(*draw.agent_, draw.chunk_);
      }
      return;
    }
    const auto draw = draws_.front();
    draws_.pop_front();
    ++drawn_;
    draw.agent_->source_.OnSuccess();
    OnChunk(*draw.agent_, draw.chunk_, true);
    ServeOrigin();
  });
}

void RolloutSimulation::OnChunk(Agent& agent, std::size_t chunk, bool drawn) {
  if (!agent.alive_) {
    return;
  }
  if (drawn) {
    agent.drawn_.insert(chunk);
  }
  After(settings_.stage_time_, [this, &agent, chunk] {
    if (!agent.alive_ || !agent.held_.Add(chunk)) {
      return;
    }
    agent.planner_.OnChunkReceived(chunk, now_);
    agent.announce_due_ = true;
    if (agent.held_.full()) {
      whole_.push_back(now_ - start_);
    }
    Pump(agent);
  });
}

void RolloutSimulation::Announce(Agent& agent) {
  agent.announced_at_ = now_;
  agent.announce_due_ = false;
  std::set<core::InstanceId> audience(agent.neighbours_.begin(),
                                      agent.neighbours_.end());
  for (const auto chunk : agent.drawn_) {
    audience.merge(
        ImportersOf(manifest_[chunk].digest_.ToHex(), agent.member_, members_));
  }
  for (const auto& id : audience) {
    TellOne(agent, *by_id_.at(id));
  }
}

void RolloutSimulation::TellOne(Agent& agent, Agent& other) {
  ++agent.told_;
  After(Delay(agent, other), [this, &agent, &other, held = agent.held_] {
    other.planner_.OnAnnounced(agent.member_, held, now_);
  });
}

}  // namespace chalkwell::swarm
