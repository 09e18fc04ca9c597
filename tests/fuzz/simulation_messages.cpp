// The network of the simulation: it loses, reorders, duplicates, delays and
// partitions messages.
#include <algorithm>
#include <utility>

#include "fuzz/simulation_types.hpp"

namespace chalkwell::fuzz {
namespace {

/// Messages in flight above which documents and chunks are dropped.
constexpr std::size_t kMaxMessages = 200;

}  // namespace

void Simulation::Send(Message message) {
  if (message.discard_frames_ && message.kind_ == Message::Kind::kFrame) {
    return;
  }
  if (message.kind_ == Message::Kind::kOrder && Chance(20)) {
    delayed_.push_back(message);
  }
  // Documents and chunks are dropped while too many messages are in flight;
  // streams and calls never lose a message without notice.
  const bool droppable = message.kind_ == Message::Kind::kDocument ||
                         message.kind_ == Message::Kind::kChunk;
  if (messages_.size() < kMaxMessages || fault_free_ || !droppable) {
    messages_.push_back(std::move(message));
  }
}

bool Simulation::IsBlocked(const Message& message) const {
  using Kind = Message::Kind;
  const bool local =
      message.kind_ == Kind::kQuery || message.kind_ == Kind::kState ||
      message.kind_ == Kind::kOrder || message.kind_ == Kind::kClaim ||
      message.kind_ == Kind::kOrderReply;
  const auto is_suspended = [this](int process) {
    return std::ranges::any_of(agents_,
                               [process](const AgentPtr& agent) {
                                 return agent->id_ == process &&
                                        agent->suspended_;
                               }) ||
           std::ranges::any_of(entries_, [process](const EntryPtr& entry) {
             return entry->id_ == process && entry->suspended_;
           });
  };
  const bool to_engine = message.kind_ == Kind::kQuery ||
                         message.kind_ == Kind::kOrder ||
                         message.kind_ == Kind::kClaim;
  if (!to_engine && is_suspended(message.to_)) {
    return true;
  }
  // A partition does not block the configuration store: a partitioned process
  // may receive documents from a stale store only.
  const bool from_store =
      message.kind_ == Kind::kDocument && message.from_ == 0;
  return !local && !from_store &&
         (partitioned_.contains(message.from_) ||
          partitioned_.contains(message.to_));
}

std::size_t Simulation::FirstOfStream(std::size_t index) const {
  const auto& chosen = messages_[index];
  using Kind = Message::Kind;
  if (chosen.kind_ != Kind::kFrame && chosen.kind_ != Kind::kReport) {
    return index;
  }
  const auto first = std::ranges::find_if(messages_, [&](const Message& other) {
    const bool same_connection = other.kind_ == chosen.kind_ &&
                                 other.from_ == chosen.from_ &&
                                 other.to_ == chosen.to_;
    return same_connection && other.request_ == chosen.request_ &&
           other.attempt_ == chosen.attempt_;
  });
  return static_cast<std::size_t>(first - messages_.begin());
}

void Simulation::DeliverRandomMessage() {
  if (messages_.empty()) {
    return;
  }
  const auto index = FirstOfStream(RandomBelow(messages_.size()));
  if (IsBlocked(messages_[index])) {
    return;
  }
  const Message message = std::move(messages_[index]);
  messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
  Deliver(message);
}

void Simulation::Deliver(const Message& message) {
  using Kind = Message::Kind;
  const auto agent =
      std::ranges::find_if(agents_, [&](const AgentPtr& candidate) {
        return candidate->id_ == message.to_ && candidate->alive_;
      });
  const auto entry =
      std::ranges::find_if(entries_, [&](const EntryPtr& candidate) {
        return candidate->id_ == message.to_ && candidate->alive_;
      });
  auto& engine = *engines_[message.engine_];
  if (message.kind_ == Kind::kQuery) {
    Message reply = message;
    reply.kind_ = Kind::kState;
    std::swap(reply.from_, reply.to_);
    reply.state_ = engine.state_;
    reply.state_.load_ = engine.reported_load_;
    Send(reply);
  } else if (message.kind_ == Kind::kOrder || message.kind_ == Kind::kClaim) {
    HandleOrder(engine, message);
  } else if (entry != entries_.end() && message.kind_ == Kind::kDocument) {
    ApplyDocument((*entry)->documents_, (*entry)->id_, message.document_);
  } else if (entry != entries_.end() && message.kind_ == Kind::kFrame) {
    HandleFrame(*entry, message);
  } else if (entry != entries_.end() && message.kind_ == Kind::kReport) {
    auto& connection = (*entry)->connections_[core::InstanceId(
        "endpoint-" + std::to_string(message.engine_))];
    if (connection.agent_ != message.from_) {
      return;
    }
    const bool accepted = (*entry)->roster_.OnReport(
        core::InstanceId("endpoint-" + std::to_string(message.engine_)),
        message.report_, now_);
    if (accepted && message.report_.leaving_ &&
        !connection.known_draining_at_) {
      connection.known_draining_at_ = now_;
    }
  } else if (agent != agents_.end()) {
    const auto receiver = *agent;
    CheckSuspension(receiver);
    if (message.kind_ == Kind::kDocument) {
      ApplyDocument(receiver->documents_, receiver->id_, message.document_);
      ApplyTarget(receiver);
    } else if (message.kind_ == Kind::kState) {
      receiver->query_in_flight_ = false;
      receiver->engine_state_as_of_ =
          std::max(receiver->engine_state_as_of_, message.queried_at_);
      receiver->has_engine_state_ = true;
      Perform(receiver, receiver->activation_.OnEngineState(
                            message.state_, message.queried_at_, now_));
    } else if (message.kind_ == Kind::kOrderReply) {
      Perform(receiver, receiver->activation_.OnOrderReply(now_));
    } else if (message.kind_ == Kind::kChunk && receiver->assembly_ &&
               receiver->fetch_target_ == message.target_) {
      if (receiver->assembly_->VerifyAndAdd(message.chunk_, message.bytes_)) {
        engine.staged_chunks_[message.target_.manifest_].insert(
            std::to_string(message.chunk_) + message.bytes_);
      }
      if (receiver->assembly_->complete()) {
        engine.sealed_manifests_.insert(message.target_.manifest_);
        Perform(receiver, receiver->activation_.OnStaged(
                              message.target_.manifest_, now_));
        // As in the daemon, the fetch ends when the manifest is sealed: copies
        // of chunks that arrive later are not staged.
        receiver->assembly_.reset();
      }
    } else if (message.kind_ == Kind::kRun) {
      HandleRun(receiver, message);
    }
  }
}

void Simulation::DropRandomMessage() {
  if (messages_.empty()) {
    return;
  }
  using Kind = Message::Kind;
  const auto index = RandomBelow(messages_.size());
  const Message message = messages_[index];
  const bool sender_notices = message.kind_ == Kind::kOrder ||
                              message.kind_ == Kind::kClaim ||
                              message.kind_ == Kind::kOrderReply;
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
  if (sender_notices) {
    Message reply = message;
    reply.kind_ = Kind::kOrderReply;
    if (message.kind_ != Kind::kOrderReply) {
      reply.to_ = message.from_;
    }
    Send(reply);
    if (message.kind_ != Kind::kOrderReply && Chance(50)) {
      // The sender stopped waiting, but the order or claim is still in flight.
      return;
    }
  }
  messages_.erase(messages_.begin() + static_cast<std::ptrdiff_t>(index));
  const int querier =
      message.kind_ == Kind::kQuery ? message.from_ : message.to_;
  for (const auto& agent : agents_) {
    const bool query_lost =
        (message.kind_ == Kind::kQuery || message.kind_ == Kind::kState) &&
        agent->id_ == querier && agent->alive_;
    if (query_lost) {
      agent->query_in_flight_ = false;
      Perform(agent, agent->activation_.OnEngineLost());
    }
  }
}

void Simulation::DuplicateRandomMessage() {
  if (messages_.empty()) {
    return;
  }
  using Kind = Message::Kind;
  Message message = messages_[RandomBelow(messages_.size())];
  message.discard_frames_ = message.kind_ == Message::Kind::kRun;
  const bool duplicable =
      message.kind_ == Kind::kDocument || message.kind_ == Kind::kState ||
      message.kind_ == Kind::kOrder || message.kind_ == Kind::kChunk ||
      (message.kind_ == Kind::kRun && message.ticket_);
  if (duplicable && Chance(50)) {
    Send(message);
  } else if (duplicable) {
    delayed_.push_back(message);
  }
}

void Simulation::SendDelayedMessage() {
  if (!delayed_.empty()) {
    const auto index = RandomBelow(delayed_.size());
    Send(std::move(delayed_[index]));
    delayed_.erase(delayed_.begin() + static_cast<std::ptrdiff_t>(index));
  }
}

}  // namespace chalkwell::fuzz
