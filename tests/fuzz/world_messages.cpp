// The hand-over between the model's processes: lossy, reordering, duplicating,
// delaying, partitioning.
#include <algorithm>
#include <utility>

#include "fuzz/parts.hpp"

namespace chalkwell::fuzz {
namespace {

constexpr std::size_t kMaxMessages = 200;

}  // namespace

void World::Send(Message message) {
  if (message.unheard_ && message.kind_ == Message::Kind::kFrame) {
    return;
  }
  if (message.kind_ == Message::Kind::kOrder && Chance(20)) {
    delayed_.push_back(message);
  }
  // What a lossy hand-over may drop is dropped when too much waits; streams
  // and calls lose nothing in silence.
  const bool may_vanish = message.kind_ == Message::Kind::kDocument ||
                          message.kind_ == Message::Kind::kChunk;
  if (messages_.size() < kMaxMessages || settling_ || !may_vanish) {
    messages_.push_back(std::move(message));
  }
}

bool World::IsCut(const Message& message) const {
  using Kind = Message::Kind;
  const bool local =
      message.kind_ == Kind::kQuery || message.kind_ == Kind::kState ||
      message.kind_ == Kind::kOrder || message.kind_ == Kind::kClaim ||
      message.kind_ == Kind::kOrderAnswer;
  const auto is_paused = [this](int process) {
    return std::ranges::any_of(agents_,
                               [process](const AgentPtr& agent) {
                                 return agent->id_ == process && agent->paused_;
                               }) ||
           std::ranges::any_of(entries_, [process](const EntryPtr& entry) {
             return entry->id_ == process && entry->paused_;
           });
  };
  const bool to_engine = message.kind_ == Kind::kQuery ||
                         message.kind_ == Kind::kOrder ||
                         message.kind_ == Kind::kClaim;
  if (!to_engine && is_paused(message.to_)) {
    return true;
  }
  // The service is reached by another way than peers: a process that is cut
  // off may hear a stale service alone.
  const bool from_service =
      message.kind_ == Kind::kDocument && message.from_ == 0;
  return !local && !from_service &&
         (cut_.contains(message.from_) || cut_.contains(message.to_));
}

/// Frames of one attempt, and reports of one agent to one entry, keep their
/// order, as on one stream.
std::size_t World::FirstOfStream(std::size_t index) const {
  const auto& chosen = messages_[index];
  using Kind = Message::Kind;
  if (chosen.kind_ != Kind::kFrame && chosen.kind_ != Kind::kReport) {
    return index;
  }
  const auto first = std::ranges::find_if(messages_, [&](const Message& other) {
    const bool same_way = other.kind_ == chosen.kind_ &&
                          other.from_ == chosen.from_ &&
                          other.to_ == chosen.to_;
    return same_way && other.request_ == chosen.request_ &&
           other.attempt_ == chosen.attempt_;
  });
  return static_cast<std::size_t>(first - messages_.begin());
}

void World::DeliverSomething() {
  if (messages_.empty()) {
    return;
  }
  const auto index = FirstOfStream(Below(messages_.size()));
  if (IsCut(messages_[index])) {
    return;
  }
  const Message message = std::move(messages_[index]);
  messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
  Deliver(message);
}

void World::Deliver(const Message& message) {
  using Kind = Message::Kind;
  const auto agent = std::ranges::find_if(agents_, [&](const AgentPtr& held) {
    return held->id_ == message.to_ && held->alive_;
  });
  const auto entry = std::ranges::find_if(entries_, [&](const EntryPtr& held) {
    return held->id_ == message.to_ && held->alive_;
  });
  auto& engine = *engines_[message.engine_];
  if (message.kind_ == Kind::kQuery) {
    Message answer = message;
    answer.kind_ = Kind::kState;
    std::swap(answer.from_, answer.to_);
    answer.state_ = engine.state_;
    answer.state_.load_ = engine.lagged_load_;
    Send(answer);
  } else if (message.kind_ == Kind::kOrder || message.kind_ == Kind::kClaim) {
    HandleOrder(engine, message);
  } else if (entry != entries_.end() && message.kind_ == Kind::kDocument) {
    Offer((*entry)->documents_, (*entry)->id_, message.document_);
  } else if (entry != entries_.end() && message.kind_ == Kind::kFrame) {
    HandleFrame(*entry, message);
  } else if (entry != entries_.end() && message.kind_ == Kind::kReport) {
    auto& link = (*entry)->links_[core::InstanceId(
        "endpoint-" + std::to_string(message.engine_))];
    if (link.agent_ != message.from_) {
      return;
    }
    const bool known = (*entry)->roster_.OnReport(
        core::InstanceId("endpoint-" + std::to_string(message.engine_)),
        message.report_, now_);
    if (known && message.report_.leaving_ && !link.knew_leaving_at_) {
      link.knew_leaving_at_ = now_;
    }
  } else if (agent != agents_.end()) {
    const auto held = *agent;
    CheckPause(held);
    if (message.kind_ == Kind::kDocument) {
      Offer(held->documents_, held->id_, message.document_);
      OnTarget(held);
    } else if (message.kind_ == Kind::kState) {
      held->asking_ = false;
      held->knew_at_ = std::max(held->knew_at_, message.asked_at_);
      held->has_known_ = true;
      Perform(held, held->activation_.OnEngineState(message.state_,
                                                    message.asked_at_, now_));
    } else if (message.kind_ == Kind::kOrderAnswer) {
      Perform(held, held->activation_.OnOrderAnswered(now_));
    } else if (message.kind_ == Kind::kChunk && held->assembly_ &&
               held->fetching_ == message.target_) {
      if (held->assembly_->VerifyAndAdd(message.chunk_, message.bytes_)) {
        engine.staged_[message.target_.manifest_].insert(
            std::to_string(message.chunk_) + message.bytes_);
      }
      if (held->assembly_->complete()) {
        engine.sealed_.insert(message.target_.manifest_);
        Perform(held,
                held->activation_.OnStaged(message.target_.manifest_, now_));
        // As in the daemon, a fetch ends with the seal: later copies of chunks
        // are staged no more.
        held->assembly_.reset();
      }
    } else if (message.kind_ == Kind::kRun) {
      HandleRun(held, message);
    }
  }
}

void World::DropSomething() {
  if (messages_.empty()) {
    return;
  }
  using Kind = Message::Kind;
  const auto index = Below(messages_.size());
  const Message message = messages_[index];
  const bool sender_learns = message.kind_ == Kind::kOrder ||
                             message.kind_ == Kind::kClaim ||
                             message.kind_ == Kind::kOrderAnswer;
  if (message.kind_ == Kind::kRun || message.kind_ == Kind::kFrame) {
    const auto request = requests_.find(message.request_);
    if (request != requests_.end()) {
      LoseAttempt(*request->second);
    }
    return;
  }
  if (message.kind_ == Kind::kReport) {
    return;
  }
  if (sender_learns) {
    Message answer = message;
    answer.kind_ = Kind::kOrderAnswer;
    if (message.kind_ != Kind::kOrderAnswer) {
      answer.to_ = message.from_;
    }
    Send(answer);
    if (message.kind_ != Kind::kOrderAnswer && Chance(50)) {
      // The sender gave up, but the order is still on its way.
      return;
    }
  }
  messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
  const int asker = message.kind_ == Kind::kQuery ? message.from_ : message.to_;
  for (const auto& agent : agents_) {
    const bool asked =
        (message.kind_ == Kind::kQuery || message.kind_ == Kind::kState) &&
        agent->id_ == asker && agent->alive_;
    if (asked) {
      agent->asking_ = false;
      Perform(agent, agent->activation_.OnEngineLost());
    }
  }
}

void World::DuplicateSomething() {
  if (messages_.empty()) {
    return;
  }
  using Kind = Message::Kind;
  Message message = messages_[Below(messages_.size())];
  message.unheard_ = message.kind_ == Message::Kind::kRun;
  const bool may =
      message.kind_ == Kind::kDocument || message.kind_ == Kind::kState ||
      message.kind_ == Kind::kOrder || message.kind_ == Kind::kChunk ||
      (message.kind_ == Kind::kRun && message.ticket_);
  if (may && Chance(50)) {
    Send(message);
  } else if (may) {
    delayed_.push_back(message);
  }
}

void World::ReleaseDelayed() {
  if (!delayed_.empty()) {
    const auto index = Below(delayed_.size());
    Send(std::move(delayed_[index]));
    delayed_.erase(delayed_.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

}  // namespace chalkwell::fuzz
