// Each link is busy until a point in time. A chunk passes the links of the
// sender, of the domains and of the receiver in sequence, with cut-through
// forwarding: a link does not wait until the previous one has transmitted the
// whole chunk.
#include "rollout_simulation.hpp"

#include <algorithm>
#include <numeric>
#include <string>
#include <utility>

#include "chalkwell/swarm/neighbours.hpp"

namespace chalkwell::swarm {
namespace {

using namespace std::chrono_literals;

constexpr core::BackoffSettings kOriginBackoff{100ms, 600ms};
constexpr auto kConnectTime = 4ms;
/// Fraction of the origin's link that carries chunk data: 96 chunks of 24,576
/// bytes took 2.85 s on 7.3 Mbit/s.
constexpr double kOriginLinkShare = 0.91;
constexpr double kNanosecondsPerSecond = 1e9;

core::Duration TransmissionTime(double bytes, double rate) {
  return core::Duration(
      static_cast<std::int64_t>(bytes / rate * kNanosecondsPerSecond));
}

PlannerSettings PlannerSettingsFrom(const RolloutSimulationSettings& settings) {
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

FetchWindowSettings WindowSettingsFrom(
    const RolloutSimulationSettings& settings) {
  FetchWindowSettings window;
  window.bytes_per_second_ = static_cast<std::uint64_t>(settings.link_rate_);
  return window;
}

}  // namespace

struct RolloutSimulation::Agent {
  Agent(const SwarmMember& member, const RolloutSimulationSettings& settings,
        std::uint32_t seed)
      : member_(member),
        planner_(member, PlannerSettingsFrom(settings), seed),
        window_(WindowSettingsFrom(settings)),
        upload_(static_cast<std::uint64_t>(settings.link_rate_ *
                                           settings.upload_share_),
                {}),
        origin_backoff_(kOriginBackoff, seed),
        held_(settings.chunks_) {}

  SwarmMember member_;
  Planner planner_;
  FetchWindow window_;
  Pacer upload_;
  core::Backoff origin_backoff_;
  ChunkSet held_;
  std::set<std::size_t> fetched_from_origin_;
  std::vector<core::InstanceId> neighbours_;
  core::TimePoint uplink_free_;
  core::TimePoint downlink_free_;
  core::TimePoint announced_at_;
  bool announce_due_ = false;
  bool started_ = false;
  bool alive_ = true;
  std::size_t sent_ = 0;
  std::size_t announcements_ = 0;
};

core::Duration RolloutSimulationResult::At(double fraction) const {
  const auto index = static_cast<std::size_t>(
      fraction * static_cast<double>(completed_.size() - 1));
  return completed_.at(index);
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
  return from.member_.domain_ == to.member_.domain_ ? settings_.local_delay_
                                                    : settings_.remote_delay_;
}

RolloutSimulationResult RolloutSimulation::Run() {
  for (auto& agent : agents_) {
    // The time to fetch the manifest, and the random phase of the agent's tick.
    After(60ms + core::Duration(random_() % 100'000'000),
          [this, &agent] { Start(*agent); });
  }
  for (std::size_t i = 0; i < settings_.lost_; ++i) {
    After(settings_.lost_at_,
          [this, i] { agents_[(i * 7919) % agents_.size()]->alive_ = false; });
  }
  while (!queue_.empty() &&
         queue_.top().at_ - start_ < settings_.max_duration_) {
    const auto event = queue_.top();
    queue_.pop();
    now_ = event.at_;
    event.task_();
  }
  RolloutSimulationResult result;
  result.completed_ = completed_;
  result.dropped_connections_ = dropped_connections_;
  const auto chunks = static_cast<double>(settings_.chunks_);
  result.origin_copies_ = static_cast<double>(sent_by_origin_) / chunks;
  std::size_t sent = 0;
  std::size_t max_sent = 0;
  std::size_t announcements = 0;
  for (const auto& agent : agents_) {
    sent += agent->sent_;
    max_sent = std::max(max_sent, agent->sent_);
    announcements += agent->announcements_;
  }
  const auto count = static_cast<double>(agents_.size());
  result.busiest_ = static_cast<double>(max_sent) * count /
                    static_cast<double>(std::max<std::size_t>(1, sent));
  result.announcements_ = static_cast<double>(announcements) / count;
  for (const auto& [domain, imported] : imported_) {
    result.import_copies_ =
        std::max(result.import_copies_, static_cast<double>(imported) / chunks);
  }
  return result;
}

void RolloutSimulation::Start(Agent& agent) {
  agent.started_ = true;
  agent.planner_.SetMembers(members_);
  agent.planner_.Start(manifest_, agent.held_, now_);
  agent.window_.Start();
  Tick(agent);
}

void RolloutSimulation::Tick(Agent& agent) {
  if (!agent.alive_) {
    return;
  }
  SendRequests(agent);
  if (agent.announce_due_ &&
      now_ - agent.announced_at_ >= settings_.announce_interval_) {
    Announce(agent);
  }
  const bool busy = !agent.held_.full() || agent.announce_due_;
  if (busy) {
    After(settings_.tick_, [this, &agent] { Tick(agent); });
  }
}

void RolloutSimulation::SendRequests(Agent& agent) {
  if (!agent.started_ || !agent.alive_ || agent.held_.full()) {
    return;
  }
  (void)agent.planner_.ExpireRequests(now_);
  agent.planner_.SetMaxPeerRequests(agent.window_.size());
  agent.planner_.SetOriginAvailable(agent.origin_backoff_.IsReady(now_));
  for (const auto& request : agent.planner_.Next(now_)) {
    if (request.peer_) {
      RequestFromPeer(agent, *by_id_.at(*request.peer_), request.chunk_);
    } else {
      RequestFromOrigin(agent, request.chunk_);
    }
  }
}

void RolloutSimulation::RequestFromPeer(Agent& agent, Agent& peer,
                                        std::size_t chunk) {
  const auto requested_at = now_;
  After(Delay(agent, peer) + settings_.stage_time_,
        [this, &agent, &peer, chunk, requested_at] {
          if (peer.alive_) {
            SendChunk(peer, agent, chunk, requested_at);
          }
        });
}

void RolloutSimulation::SendChunk(Agent& from, Agent& to, std::size_t chunk,
                                  core::TimePoint requested_at) {
  const auto bytes = settings_.chunk_bytes_;
  const auto wait = from.upload_.Reserve(bytes, now_);
  ++from.sent_;
  After(wait, [this, &from, &to, chunk, requested_at, wait, bytes] {
    const auto size = static_cast<double>(bytes);
    const auto link_time = TransmissionTime(size, settings_.link_rate_);
    auto begin = std::max(now_, from.uplink_free_);
    from.uplink_free_ = begin + link_time;
    if (from.member_.domain_ != to.member_.domain_) {
      auto& free = domain_free_[{from.member_.domain_, to.member_.domain_}];
      begin = std::max(begin, free);
      free = begin + TransmissionTime(size, settings_.domain_rate_);
      ++imported_[to.member_.domain_];
    }
    begin = std::max(begin + Delay(from, to), to.downlink_free_);
    to.downlink_free_ = begin + link_time;
    At(to.downlink_free_, [this, &to, chunk, requested_at, wait, bytes] {
      to.window_.OnChunkReceived(now_ - requested_at - wait, bytes, now_);
      OnChunkReceived(to, chunk, false);
    });
  });
}

bool RolloutSimulation::InOriginOutage() const {
  const auto elapsed = now_ - start_;
  return settings_.outage_ && elapsed >= settings_.outage_->from_ &&
         elapsed < settings_.outage_->to_;
}

void RolloutSimulation::RequestFromOrigin(Agent& agent, std::size_t chunk) {
  After(kConnectTime, [this, &agent, chunk] {
    if (InOriginOutage()) {
      OriginFailed(agent, chunk);
      return;
    }
    if (origin_queue_.size() >= settings_.origin_connections_) {
      ++dropped_connections_;
      After(settings_.connect_timeout_,
            [this, &agent, chunk] { OriginFailed(agent, chunk); });
      return;
    }
    origin_queue_.push_back({&agent, chunk});
    ServeOrigin();
  });
}

void RolloutSimulation::OriginFailed(Agent& agent, std::size_t chunk) {
  (void)agent.origin_backoff_.OnFailure(now_);
  agent.planner_.OnRequestFailed(chunk, now_);
}

void RolloutSimulation::ServeOrigin() {
  if (origin_busy_ || origin_queue_.empty()) {
    return;
  }
  origin_busy_ = true;
  const auto time =
      TransmissionTime(static_cast<double>(settings_.chunk_bytes_),
                       settings_.origin_rate_ * kOriginLinkShare);
  After(time, [this] {
    origin_busy_ = false;
    if (InOriginOutage()) {
      for (const auto& fetch : std::exchange(origin_queue_, {})) {
        OriginFailed(*fetch.agent_, fetch.chunk_);
      }
      return;
    }
    const auto fetch = origin_queue_.front();
    origin_queue_.pop_front();
    ++sent_by_origin_;
    fetch.agent_->origin_backoff_.OnSuccess();
    OnChunkReceived(*fetch.agent_, fetch.chunk_, true);
    ServeOrigin();
  });
}

void RolloutSimulation::OnChunkReceived(Agent& agent, std::size_t chunk,
                                        bool from_origin) {
  if (!agent.alive_) {
    return;
  }
  if (from_origin) {
    agent.fetched_from_origin_.insert(chunk);
  }
  After(settings_.stage_time_, [this, &agent, chunk] {
    if (!agent.alive_ || !agent.held_.Add(chunk)) {
      return;
    }
    agent.planner_.OnChunkReceived(chunk, now_);
    agent.announce_due_ = true;
    if (agent.held_.full()) {
      completed_.push_back(now_ - start_);
    }
    SendRequests(agent);
  });
}

void RolloutSimulation::Announce(Agent& agent) {
  agent.announced_at_ = now_;
  agent.announce_due_ = false;
  std::set<core::InstanceId> recipients(agent.neighbours_.begin(),
                                        agent.neighbours_.end());
  for (const auto chunk : agent.fetched_from_origin_) {
    recipients.merge(
        ImportersOf(manifest_[chunk].digest_.ToHex(), agent.member_, members_));
  }
  for (const auto& id : recipients) {
    SendAnnouncement(agent, *by_id_.at(id));
  }
}

void RolloutSimulation::SendAnnouncement(Agent& agent, Agent& recipient) {
  ++agent.announcements_;
  After(Delay(agent, recipient),
        [this, &agent, &recipient, held = agent.held_] {
          recipient.planner_.OnAnnounced(agent.member_, held, now_);
        });
}

}  // namespace chalkwell::swarm
