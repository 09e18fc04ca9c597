// Agents and engines of the model.
#include <algorithm>
#include <utility>

#include "fuzz/parts.hpp"

namespace chalkwell::fuzz {

void World::StartAgent(std::size_t engine, std::uint64_t incarnation) {
  auto agent = std::make_shared<Agent>(faults_, incarnation, engine, random_());
  agent->id_ = next_id_++;
  agent->activation_.SetChecksFencing(engines_[engine]->checks_fencing_);
  agents_.push_back(agent);
  engines_[engine]->newest_agent_ = agent->id_;
  engines_[engine]->newest_since_ = now_;
}

void World::ReadOwnRow(const AgentPtr& agent) {
  auto& engine = *engines_[agent->engine_];
  if (now_ - engine.newest_since_ >= kListLag) {
    engine.listed_agent_ = engine.newest_agent_;
  }
  agent->activation_.SetListed(engine.listed_agent_ == agent->id_);
}

void World::CheckPause(const AgentPtr& agent) {
  if (agent->pause_.Tick(now_)) {
    Perform(agent, agent->activation_.OnSuspension(now_));
  }
}

void World::OnTarget(const AgentPtr& agent) {
  if (const auto* bundle = agent->documents_.AcceptedBundle()) {
    Perform(agent,
            agent->activation_.OnTarget({bundle->version_, bundle->manifest_}));
  }
}

void World::TickAgent(const AgentPtr& agent) {
  if (agent->paused_) {
    return;
  }
  CheckPause(agent);
  ReadOwnRow(agent);
  if (!agent->asking_) {
    agent->asking_ = true;
    Message query;
    query.kind_ = Message::Kind::kQuery;
    query.from_ = agent->id_;
    query.engine_ = agent->engine_;
    query.asked_at_ = now_;
    Send(query);
  }
  AskForChunk(agent);
  if (agent->activation_.phase() == rollout::Phase::kWaitingForSlot &&
      (Chance(30) || settling_)) {
    Perform(agent, agent->activation_.OnRolloutSlot());
  }
  if (agent->stop_.pending() == 0) {
    Perform(agent, agent->activation_.OnDrained(now_));
  }
  Report(agent);
}

void World::AskForChunk(const AgentPtr& agent) {
  if (!agent->assembly_ ||
      agent->activation_.phase() != rollout::Phase::kFetching) {
    return;
  }
  const auto& weights = published_.WeightsOf(agent->fetching_.manifest_);
  for (std::size_t i = 0; i < weights.chunks_.size(); ++i) {
    if (agent->assembly_->held().Has(i)) {
      continue;
    }
    Message chunk;
    chunk.kind_ = Message::Kind::kChunk;
    chunk.to_ = agent->id_;
    chunk.engine_ = agent->engine_;
    chunk.target_ = agent->fetching_;
    chunk.chunk_ = i;
    chunk.bytes_ = weights.bytes_[i];
    if (!settling_ && Chance(15)) {
      chunk.bytes_.back() = '#';
    }
    Send(chunk);
  }
}

void World::Report(const AgentPtr& agent) {
  const auto id =
      core::InstanceId("endpoint-" + std::to_string(agent->engine_));
  for (const auto& entry : entries_) {
    if (!entry->alive_) {
      continue;
    }
    auto& link = entry->links_[id];
    const bool attach = link.agent_ != agent->id_ && Chance(20);
    if (attach) {
      link = {.agent_ = agent->id_,
              .minter_ = routing::TicketIssuer(id, agent->incarnation_,
                                               agent->guard_.RegisterIssuer()),
              .knew_leaving_at_ = std::nullopt};
      entry->listed_leaving_.erase(agent->engine_);
      ListInstances(*entry);
      entry->roster_.OnConnected(id, now_);
    }
    if (link.agent_ != agent->id_) {
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
            agent->activation_.accepting(now_) && agent->stop_.accepting(),
        .leaving_ = agent->stop_.draining(),
        .manifest_ = engine ? engine->manifest_ : core::Digest{}};
    Send(message);
  }
}

void World::Perform(const AgentPtr& agent, const rollout::Actions& actions) {
  auto& engine = *engines_[agent->engine_];
  const bool knows = agent->has_known_ && now_ - agent->knew_at_ <= kLease;
  for (const auto& action : actions) {
    Message message;
    message.from_ = agent->id_;
    message.engine_ = agent->engine_;
    if (const auto* fetch = std::get_if<rollout::FetchWeights>(&action)) {
      const auto& weights = published_.WeightsOf(fetch->target_.manifest_);
      agent->fetching_ = fetch->target_;
      agent->assembly_.emplace(weights.chunks_, faults_.assembly_);
    } else if (std::holds_alternative<rollout::AbandonFetch>(action)) {
      agent->assembly_.reset();
    } else if (const auto* claim = std::get_if<rollout::SendClaim>(&action)) {
      message.kind_ = Message::Kind::kClaim;
      message.fence_ = claim->fence_;
      Send(message);
    } else if (const auto* order = std::get_if<rollout::SendOrder>(&action)) {
      oracle_.OnHandedOn(knows);
      message.kind_ = Message::Kind::kOrder;
      message.target_ = order->target_;
      message.fence_ = order->fence_;
      Send(message);
    } else if (const auto* news = std::get_if<rollout::Announce>(&action)) {
      if (news->ready_) {
        oracle_.OnAnnounced(news->serving_.manifest_, engine.ever_held_);
      }
    }
  }
}

void World::HandleRun(const AgentPtr& agent, const Message& message) {
  Message frame = message;
  frame.kind_ = Message::Kind::kFrame;
  std::swap(frame.from_, frame.to_);
  if (message.ticket_) {
    const auto verdict = agent->guard_.Use(*message.ticket_);
    if (verdict == routing::TicketStatus::kResponseCached) {
      const auto weights = core::Digest::FromHex(
          *agent->guard_.FindCachedResponse(*message.ticket_));
      frame.weights_ = weights.value_or(core::Digest{});
      frame.frame_ = Message::Frame::kBegin;
      Send(frame);
      for (std::uint64_t i = 0; i < kAnswerPieces; ++i) {
        frame.frame_ = Message::Frame::kData;
        frame.sequence_ = i;
        Send(frame);
      }
      frame.frame_ = Message::Frame::kComplete;
      Send(frame);
      return;
    }
    if (verdict != routing::TicketStatus::kAccepted) {
      frame.frame_ = Message::Frame::kUnknown;
      Send(frame);
      return;
    }
  }
  const auto& engine = agent->activation_.engine();
  const bool right = engine && engine->manifest_ == message.weights_;
  if (!agent->stop_.accepting() || !agent->activation_.accepting(now_) ||
      !right) {
    frame.frame_ = Message::Frame::kRefused;
    Send(frame);
    return;
  }
  Execute(agent, message);
}

void World::Execute(const AgentPtr& agent, const Message& run) {
  auto& engine = *engines_[agent->engine_];
  oracle_.OnTakenBy(agent->stop_.draining());
  oracle_.OnHandedOn(agent->has_known_ && now_ - agent->knew_at_ <= kLease);
  Message frame = run;
  frame.kind_ = Message::Kind::kFrame;
  std::swap(frame.from_, frame.to_);
  if (engine.state_.manifest_.empty()) {
    frame.frame_ = Message::Frame::kFailed;
    Send(frame);
    return;
  }
  agent->stop_.OnWorkAccepted();
  oracle_.OnExecuted(run.order_, run.request_, run.repeatable_);
  engine.running_.push_back({.id_ = next_execution_++,
                             .agent_ = agent->id_,
                             .request_ = run.request_,
                             .attempt_ = run.attempt_,
                             .entry_ = run.from_,
                             .weights_ = engine.state_.manifest_,
                             .sent_ = run.resume_from_,
                             .unheard_ = run.unheard_});
  frame.frame_ = Message::Frame::kBegin;
  frame.weights_ = engine.state_.manifest_;
  Send(frame);
  if (run.ticket_) {
    agent->guard_.CacheResponse(*run.ticket_, engine.state_.manifest_.ToHex());
  }
}

void World::FinishExecution(std::size_t index) {
  auto& engine = *engines_[index];
  if (engine.running_.empty()) {
    return;
  }
  const auto at = Below(engine.running_.size());
  auto& execution = engine.running_[at];
  Message frame;
  frame.kind_ = Message::Kind::kFrame;
  frame.from_ = execution.agent_;
  frame.to_ = execution.entry_;
  frame.engine_ = index;
  frame.request_ = execution.request_;
  frame.attempt_ = execution.attempt_;
  // Each piece comes from the weights the engine holds at that moment.
  frame.weights_ = engine.state_.manifest_;
  frame.sequence_ = execution.sent_;
  frame.unheard_ = execution.unheard_;
  const auto agent = std::ranges::find(agents_, execution.agent_, &Agent::id_);
  const bool agent_lives = agent != agents_.end() && (*agent)->alive_;
  const bool done = execution.sent_ >= kAnswerPieces;
  frame.frame_ = done ? Message::Frame::kComplete : Message::Frame::kData;
  ++execution.sent_;
  if (done) {
    engine.running_.erase(engine.running_.begin() +
                          static_cast<std::ptrdiff_t>(at));
  }
  if (!agent_lives) {
    return;
  }
  if (done) {
    (*agent)->stop_.OnWorkFinished();
  }
  Send(frame);
}

void World::HandleOrder(Engine& engine, const Message& message) {
  Message answer = message;
  answer.kind_ = Message::Kind::kOrderAnswer;
  answer.to_ = message.from_;
  Send(answer);
  // A fencing number of 0 is an order without one, which engines take.
  const bool old = engine.checks_fencing_ && message.fence_ != 0 &&
                   message.fence_ <= engine.state_.fence_;
  if (old) {
    return;
  }
  if (engine.checks_fencing_ && message.fence_ != 0) {
    engine.state_.fence_ = message.fence_;
  }
  if (message.kind_ == Message::Kind::kClaim) {
    return;
  }
  const auto& target = message.target_;
  if (!engine.sealed_.contains(target.manifest_)) {
    return;
  }
  const auto& weights = published_.WeightsOf(target.manifest_);
  const auto& staged = engine.staged_[target.manifest_];
  bool whole = true;
  for (std::size_t i = 0; i < weights.bytes_.size(); ++i) {
    whole = whole && staged.contains(std::to_string(i) + weights.bytes_[i]);
  }
  oracle_.OnEngineActivated(
      target.version_, target.manifest_, whole,
      engine.state_.manifest_ == target.manifest_ ? 0 : engine.running_.size(),
      engine.state_.version_, engine.checks_fencing_,
      published_.IsSigned(target.version_, target.manifest_));
  engine.state_.version_ = target.version_;
  engine.state_.manifest_ = target.manifest_;
  engine.ever_held_.insert(target.manifest_);
}

void World::RestartEngine(Engine& engine) {
  for (const auto& execution : engine.running_) {
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
        agent->stop_.OnWorkFinished();
      }
    }
  }
  engine.running_.clear();
  engine.staged_.clear();
  engine.sealed_.clear();
  engine.state_ = {};
  engine.lagged_load_ = 0;
  // A restarted engine refuses connections for a moment: agents notice.
  for (const auto& agent : agents_) {
    if (agent->alive_ && agent->engine_ == engine.index_) {
      std::erase_if(messages_, [&](const Message& message) {
        using Kind = Message::Kind;
        const bool local =
            message.kind_ == Kind::kQuery || message.kind_ == Kind::kState ||
            message.kind_ == Kind::kOrder || message.kind_ == Kind::kClaim;
        return local && message.engine_ == engine.index_;
      });
      agent->asking_ = false;
      const auto phase = agent->activation_.phase();
      if (phase == rollout::Phase::kAwaitingReply ||
          phase == rollout::Phase::kClaiming) {
        Message answer;
        answer.kind_ = Message::Kind::kOrderAnswer;
        answer.to_ = agent->id_;
        answer.engine_ = engine.index_;
        Send(answer);
      } else {
        Perform(agent, agent->activation_.OnEngineLost());
      }
    }
  }
}

void World::KillAgent() {
  const auto agent = AnyAgent();
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
    cut_.insert(agents_.back()->id_);
  }
}

}  // namespace chalkwell::fuzz
