// Agents and engines of the simulation.
#include <algorithm>
#include <utility>

#include "fuzz/simulation_types.hpp"

namespace chalkwell::fuzz {

void Simulation::StartAgent(std::size_t engine, std::uint64_t incarnation) {
  auto agent = std::make_shared<Agent>(faults_, incarnation, engine, random_());
  agent->id_ = next_process_++;
  agent->activation_.SetChecksFencing(engines_[engine]->checks_fencing_);
  agents_.push_back(agent);
  engines_[engine]->newest_agent_ = agent->id_;
  engines_[engine]->newest_agent_since_ = now_;
}

void Simulation::UpdateListed(const AgentPtr& agent) {
  auto& engine = *engines_[agent->engine_];
  if (now_ - engine.newest_agent_since_ >= kInstanceListDelay) {
    engine.listed_agent_ = engine.newest_agent_;
  }
  agent->activation_.SetListed(engine.listed_agent_ == agent->id_);
}

void Simulation::CheckSuspension(const AgentPtr& agent) {
  if (agent->suspension_.Tick(now_)) {
    Perform(agent, agent->activation_.OnSuspension(now_));
  }
}

void Simulation::ApplyTarget(const AgentPtr& agent) {
  if (const auto* bundle = agent->documents_.AcceptedBundle()) {
    Perform(agent,
            agent->activation_.OnTarget({bundle->version_, bundle->manifest_}));
  }
}

void Simulation::TickAgent(const AgentPtr& agent) {
  if (agent->suspended_) {
    return;
  }
  CheckSuspension(agent);
  UpdateListed(agent);
  if (!agent->query_in_flight_) {
    agent->query_in_flight_ = true;
    Message query;
    query.kind_ = Message::Kind::kQuery;
    query.from_ = agent->id_;
    query.engine_ = agent->engine_;
    query.queried_at_ = now_;
    Send(query);
  }
  FetchChunks(agent);
  if (agent->activation_.phase() == rollout::Phase::kWaitingForSlot &&
      (Chance(30) || fault_free_)) {
    Perform(agent, agent->activation_.OnRolloutSlot());
  }
  if (agent->shutdown_.pending() == 0) {
    Perform(agent, agent->activation_.OnDrained(now_));
  }
  SendReports(agent);
}

void Simulation::FetchChunks(const AgentPtr& agent) {
  if (!agent->assembly_ ||
      agent->activation_.phase() != rollout::Phase::kFetching) {
    return;
  }
  const auto& weights = published_.WeightsOf(agent->fetch_target_.manifest_);
  for (std::size_t i = 0; i < weights.chunks_.size(); ++i) {
    if (agent->assembly_->held().Has(i)) {
      continue;
    }
    Message chunk;
    chunk.kind_ = Message::Kind::kChunk;
    chunk.to_ = agent->id_;
    chunk.engine_ = agent->engine_;
    chunk.target_ = agent->fetch_target_;
    chunk.chunk_ = i;
    chunk.bytes_ = weights.bytes_[i];
    if (!fault_free_ && Chance(15)) {
      // Corrupts the chunk.
      chunk.bytes_.back() = '#';
    }
    Send(chunk);
  }
}

void Simulation::SendReports(const AgentPtr& agent) {
  const auto id =
      core::InstanceId("endpoint-" + std::to_string(agent->engine_));
  for (const auto& entry : entries_) {
    if (!entry->alive_) {
      continue;
    }
    auto& connection = entry->connections_[id];
    const bool connect = connection.agent_ != agent->id_ && Chance(20);
    if (connect) {
      connection = {
          .agent_ = agent->id_,
          .issuer_ = routing::TicketIssuer(id, agent->incarnation_,
                                           agent->guard_.RegisterIssuer()),
          .known_draining_at_ = std::nullopt};
      entry->listed_draining_.erase(agent->engine_);
      UpdateInstanceList(*entry);
      entry->roster_.OnConnected(id, now_);
    }
    if (connection.agent_ != agent->id_) {
      continue;
    }
    const auto& engine = agent->activation_.engine();
    Message message;
    message.kind_ = Message::Kind::kReport;
    message.from_ = agent->id_;
    message.to_ = entry->id_;
    message.engine_ = agent->engine_;
    message.report_ = {
        .incarnation_ = agent->incarnation_,
        .ready_ =
            agent->activation_.accepting(now_) && agent->shutdown_.accepting(),
        .leaving_ = agent->shutdown_.draining(),
        .manifest_ = engine ? engine->manifest_ : core::Digest{}};
    Send(message);
  }
}

void Simulation::Perform(const AgentPtr& agent,
                         const rollout::Actions& actions) {
  auto& engine = *engines_[agent->engine_];
  const bool state_is_current =
      agent->has_engine_state_ &&
      now_ - agent->engine_state_as_of_ <= kAgentLease;
  for (const auto& action : actions) {
    Message message;
    message.from_ = agent->id_;
    message.engine_ = agent->engine_;
    if (const auto* fetch = std::get_if<rollout::FetchWeights>(&action)) {
      const auto& weights = published_.WeightsOf(fetch->target_.manifest_);
      agent->fetch_target_ = fetch->target_;
      agent->assembly_.emplace(weights.chunks_, faults_.assembly_);
    } else if (std::holds_alternative<rollout::AbandonFetch>(action)) {
      agent->assembly_.reset();
    } else if (const auto* claim = std::get_if<rollout::SendClaim>(&action)) {
      message.kind_ = Message::Kind::kClaim;
      message.fence_ = claim->fence_;
      Send(message);
    } else if (const auto* order = std::get_if<rollout::SendOrder>(&action)) {
      oracle_.OnActedOnEngine(state_is_current);
      message.kind_ = Message::Kind::kOrder;
      message.target_ = order->target_;
      message.fence_ = order->fence_;
      Send(message);
    } else if (const auto* announcement =
                   std::get_if<rollout::Announce>(&action)) {
      if (announcement->ready_) {
        oracle_.OnAnnounced(announcement->serving_.manifest_,
                            engine.activated_manifests_);
      }
    }
  }
}

void Simulation::HandleRun(const AgentPtr& agent, const Message& message) {
  Message frame = message;
  frame.kind_ = Message::Kind::kFrame;
  std::swap(frame.from_, frame.to_);
  if (message.ticket_) {
    const auto status = agent->guard_.Use(*message.ticket_);
    if (status == routing::TicketStatus::kResponseCached) {
      const auto weights = core::Digest::FromHex(
          *agent->guard_.FindCachedResponse(*message.ticket_));
      frame.weights_ = weights.value_or(core::Digest{});
      frame.frame_ = Message::Frame::kBegin;
      Send(frame);
      for (std::uint64_t i = 0; i < kResponseDataFrames; ++i) {
        frame.frame_ = Message::Frame::kData;
        frame.sequence_ = i;
        Send(frame);
      }
      frame.frame_ = Message::Frame::kComplete;
      Send(frame);
      return;
    }
    if (status != routing::TicketStatus::kAccepted) {
      frame.frame_ = Message::Frame::kUnknown;
      Send(frame);
      return;
    }
  }
  const auto& engine = agent->activation_.engine();
  const bool weights_match = engine && engine->manifest_ == message.weights_;
  if (!agent->shutdown_.accepting() || !agent->activation_.accepting(now_) ||
      !weights_match) {
    frame.frame_ = Message::Frame::kRefused;
    Send(frame);
    return;
  }
  Execute(agent, message);
}

void Simulation::Execute(const AgentPtr& agent, const Message& run) {
  auto& engine = *engines_[agent->engine_];
  oracle_.OnRequestAccepted(agent->shutdown_.draining());
  oracle_.OnActedOnEngine(agent->has_engine_state_ &&
                          now_ - agent->engine_state_as_of_ <= kAgentLease);
  Message frame = run;
  frame.kind_ = Message::Kind::kFrame;
  std::swap(frame.from_, frame.to_);
  if (engine.state_.manifest_.empty()) {
    frame.frame_ = Message::Frame::kFailed;
    Send(frame);
    return;
  }
  agent->shutdown_.OnWorkAccepted();
  oracle_.OnExecuted(run.operation_, run.request_, run.repeatable_);
  engine.executions_.push_back({.id_ = next_execution_++,
                                .agent_ = agent->id_,
                                .request_ = run.request_,
                                .attempt_ = run.attempt_,
                                .entry_ = run.from_,
                                .weights_ = engine.state_.manifest_,
                                .next_sequence_ = run.resume_from_,
                                .discard_frames_ = run.discard_frames_});
  frame.frame_ = Message::Frame::kBegin;
  frame.weights_ = engine.state_.manifest_;
  Send(frame);
  if (run.ticket_) {
    agent->guard_.CacheResponse(*run.ticket_, engine.state_.manifest_.ToHex());
  }
}

void Simulation::AdvanceExecution(std::size_t engine_index) {
  auto& engine = *engines_[engine_index];
  if (engine.executions_.empty()) {
    return;
  }
  const auto position = RandomBelow(engine.executions_.size());
  auto& execution = engine.executions_[position];
  Message frame;
  frame.kind_ = Message::Kind::kFrame;
  frame.from_ = execution.agent_;
  frame.to_ = execution.entry_;
  frame.engine_ = engine_index;
  frame.request_ = execution.request_;
  frame.attempt_ = execution.attempt_;
  // Each frame uses the weights that the engine holds when it is sent.
  frame.weights_ = engine.state_.manifest_;
  frame.sequence_ = execution.next_sequence_;
  frame.discard_frames_ = execution.discard_frames_;
  const auto agent = std::ranges::find(agents_, execution.agent_, &Agent::id_);
  const bool agent_alive = agent != agents_.end() && (*agent)->alive_;
  const bool done = execution.next_sequence_ >= kResponseDataFrames;
  frame.frame_ = done ? Message::Frame::kComplete : Message::Frame::kData;
  ++execution.next_sequence_;
  if (done) {
    engine.executions_.erase(engine.executions_.begin() +
                             static_cast<std::ptrdiff_t>(position));
  }
  if (!agent_alive) {
    return;
  }
  if (done) {
    (*agent)->shutdown_.OnWorkFinished();
  }
  Send(frame);
}

void Simulation::HandleOrder(Engine& engine, const Message& message) {
  Message reply = message;
  reply.kind_ = Message::Kind::kOrderReply;
  reply.to_ = message.from_;
  Send(reply);
  // An order with fencing number 0 carries none; engines accept it.
  const bool stale = engine.checks_fencing_ && message.fence_ != 0 &&
                     message.fence_ <= engine.state_.fence_;
  if (stale) {
    return;
  }
  if (engine.checks_fencing_ && message.fence_ != 0) {
    engine.state_.fence_ = message.fence_;
  }
  if (message.kind_ == Message::Kind::kClaim) {
    return;
  }
  const auto& target = message.target_;
  if (!engine.sealed_manifests_.contains(target.manifest_)) {
    return;
  }
  const auto& weights = published_.WeightsOf(target.manifest_);
  const auto& staged = engine.staged_chunks_[target.manifest_];
  bool complete = true;
  for (std::size_t i = 0; i < weights.bytes_.size(); ++i) {
    complete =
        complete && staged.contains(std::to_string(i) + weights.bytes_[i]);
  }
  oracle_.OnEngineActivated(
      target.version_, target.manifest_, complete,
      engine.state_.manifest_ == target.manifest_ ? 0
                                                  : engine.executions_.size(),
      engine.state_.version_, engine.checks_fencing_,
      published_.IsSigned(target.version_, target.manifest_));
  engine.state_.version_ = target.version_;
  engine.state_.manifest_ = target.manifest_;
  engine.activated_manifests_.insert(target.manifest_);
}

void Simulation::RestartEngine(Engine& engine) {
  for (const auto& execution : engine.executions_) {
    Message frame;
    frame.kind_ = Message::Kind::kFrame;
    frame.frame_ = Message::Frame::kUnknown;
    frame.from_ = execution.agent_;
    frame.to_ = execution.entry_;
    frame.engine_ = engine.index_;
    frame.request_ = execution.request_;
    frame.attempt_ = execution.attempt_;
    Send(frame);
    for (const auto& agent : agents_) {
      if (agent->id_ == execution.agent_) {
        agent->shutdown_.OnWorkFinished();
      }
    }
  }
  engine.executions_.clear();
  engine.staged_chunks_.clear();
  engine.sealed_manifests_.clear();
  engine.state_ = {};
  engine.reported_load_ = 0;
  // A restarting engine refuses connections, which its agents notice.
  for (const auto& agent : agents_) {
    if (agent->alive_ && agent->engine_ == engine.index_) {
      std::erase_if(messages_, [&](const Message& message) {
        using Kind = Message::Kind;
        const bool local =
            message.kind_ == Kind::kQuery || message.kind_ == Kind::kState ||
            message.kind_ == Kind::kOrder || message.kind_ == Kind::kClaim;
        return local && message.engine_ == engine.index_;
      });
      agent->query_in_flight_ = false;
      const auto phase = agent->activation_.phase();
      if (phase == rollout::Phase::kAwaitingReply ||
          phase == rollout::Phase::kClaiming) {
        Message reply;
        reply.kind_ = Message::Kind::kOrderReply;
        reply.to_ = agent->id_;
        reply.engine_ = engine.index_;
        Send(reply);
      } else {
        Perform(agent, agent->activation_.OnEngineLost());
      }
    }
  }
}

void Simulation::KillAgent() {
  const auto agent = RandomAgent();
  if (!agent) {
    return;
  }
  const bool overlap = Chance(40);
  if (!overlap) {
    agent->alive_ = false;
    std::erase_if(messages_, [&](const Message& message) {
      return message.from_ == agent->id_ &&
             message.kind_ == Message::Kind::kFrame;
    });
    for (const auto& [id, request] : requests_) {
      if (request->agent_ == agent->id_ && !request->outcome_) {
        LoseAttempt(*request);
      }
    }
  }
  StartAgent(agent->engine_, next_incarnation_++);
  if (Chance(30)) {
    partitioned_.insert(agents_.back()->id_);
  }
}

}  // namespace chalkwell::fuzz
