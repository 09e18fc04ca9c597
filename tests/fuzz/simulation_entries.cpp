// Entries, callers, suspensions and graceful shutdowns of the simulation.
#include <algorithm>
#include <utility>

#include "fuzz/simulation_types.hpp"

namespace chalkwell::fuzz {

void Simulation::StartRequest() {
  const auto entry = RandomEntry();
  if (!entry || entry->suspended_) {
    return;
  }
  auto request = std::make_unique<Request>();
  request->id_ = next_request_++;
  request->operation_ = request->id_;
  request->repeatable_ = Chance(50);
  // A caller whose request was reported as not run may send the operation
  // again.
  for (auto& [id, earlier] : requests_) {
    if (!earlier->retried_ && !earlier->repeatable_ &&
        earlier->outcome_ == routing::Outcome::kRefusedNotRun) {
      earlier->retried_ = true;
      request->operation_ = earlier->operation_;
      request->repeatable_ = false;
      break;
    }
  }
  request->entry_ = entry->id_;
  if (!entry->shutdown_.accepting()) {
    return;
  }
  oracle_.OnRequestAccepted(entry->shutdown_.draining());
  entry->shutdown_.OnWorkAccepted();
  request->tracker_ = std::make_unique<routing::RequestTracker>(
      routing::RequestTraits{.repeatable_ = request->repeatable_,
                             .resumable_ = request->repeatable_,
                             .deadline_ = now_ + std::chrono::seconds(30)},
      faults_.request_);
  auto& stored = *request;
  requests_[stored.id_] = std::move(request);
  Perform(entry, stored, stored.tracker_->Start(now_));
}

void Simulation::RetryWithTicket() {
  const auto entry = RandomEntry();
  if (!entry || entry->suspended_ || !entry->shutdown_.accepting()) {
    return;
  }
  for (auto& [id, earlier] : requests_) {
    const bool eligible = !earlier->retried_ && earlier->ticket_ &&
                          earlier->outcome_ == routing::Outcome::kUnknown;
    if (!eligible) {
      continue;
    }
    earlier->retried_ = true;
    auto request = std::make_unique<Request>();
    request->id_ = next_request_++;
    request->operation_ = earlier->operation_;
    request->entry_ = entry->id_;
    request->caller_ticket_ = earlier->ticket_;
    entry->shutdown_.OnWorkAccepted();
    request->tracker_ = std::make_unique<routing::RequestTracker>(
        routing::RequestTraits{.repeatable_ = false,
                               .deadline_ = now_ + std::chrono::seconds(30),
                               .may_have_run_before_ = true},
        faults_.request_);
    auto& stored = *request;
    requests_[stored.id_] = std::move(request);
    Perform(entry, stored, stored.tracker_->Start(now_));
    return;
  }
}

void Simulation::Perform(const EntryPtr& entry, Request& request,
                         const routing::RequestActions& actions) {
  for (const auto& action : actions) {
    if (const auto* choose = std::get_if<routing::ChooseEndpoint>(&action)) {
      SelectEndpoint(entry, request, choose->same_weights_);
    } else if (const auto* send = std::get_if<routing::SendAttempt>(&action)) {
      SendRun(entry, request, *send);
    } else if (const auto* finish =
                   std::get_if<routing::FinishRequest>(&action)) {
      request.outcome_ = finish->outcome_;
      oracle_.OnOutcome(request.id_, finish->outcome_, kResponseDataFrames);
      entry->shutdown_.OnWorkFinished();
    }
  }
}

void Simulation::SelectEndpoint(const EntryPtr& entry, Request& request,
                                bool same_weights) {
  std::optional<core::InstanceId> selected;
  if (request.caller_ticket_) {
    if (request.tried_endpoints_.empty()) {
      selected = request.caller_ticket_->endpoint_;
    }
  } else {
    std::vector<core::InstanceId> ids;
    for (const auto* view :
         entry->roster_.Available(core::Role("chat"), now_)) {
      const bool matches =
          !same_weights || view->report_->manifest_ == request.pinned_weights_;
      if (matches && !request.tried_endpoints_.contains(view->instance_.id_)) {
        ids.push_back(view->instance_.id_);
      }
    }
    if (!ids.empty()) {
      selected = ids[RandomBelow(ids.size())];
    }
  }
  Perform(entry, request, request.tracker_->OnChosen(selected, now_));
}

void Simulation::SendRun(const EntryPtr& entry, Request& request,
                         const routing::SendAttempt& send) {
  auto& connection = entry->connections_[send.endpoint_];
  request.tried_endpoints_.insert(send.endpoint_);
  request.endpoint_ = send.endpoint_;
  request.agent_ = connection.agent_;
  const auto* view = entry->roster_.Find(send.endpoint_);
  request.pinned_weights_ = view != nullptr && view->report_
                                ? view->report_->manifest_
                                : core::Digest{};
  request.ticket_ = request.caller_ticket_;
  if (!request.repeatable_ && !request.ticket_ && connection.issuer_) {
    request.ticket_ = connection.issuer_->Issue();
  }
  const bool connected =
      std::ranges::any_of(agents_, [&](const AgentPtr& agent) {
        return agent->id_ == connection.agent_ && agent->alive_;
      });
  if (!connected || (!request.repeatable_ && !request.ticket_)) {
    Perform(entry, request,
            request.tracker_->OnEnded(send.attempt_,
                                      routing::AttemptEnd::kNeverSent, now_));
    return;
  }
  const bool known_draining =
      connection.known_draining_at_ && !request.caller_ticket_ &&
      now_ - *connection.known_draining_at_ > kDrainNoticeBound / 3;
  oracle_.OnRequestSent(known_draining);
  Message message;
  message.kind_ = Message::Kind::kRun;
  message.from_ = entry->id_;
  message.to_ = connection.agent_;
  message.request_ = request.id_;
  message.operation_ = request.operation_;
  message.repeatable_ = request.repeatable_;
  message.attempt_ = send.attempt_;
  message.ticket_ = request.ticket_;
  message.weights_ = request.pinned_weights_;
  message.resume_from_ = send.resume_from_;
  messages_.push_back(message);
}

void Simulation::HandleFrame(const EntryPtr& entry, const Message& message) {
  const auto position = requests_.find(message.request_);
  if (position == requests_.end()) {
    return;
  }
  auto& request = *position->second;
  auto& tracker = *request.tracker_;
  using Frame = Message::Frame;
  using routing::AttemptEnd;
  const auto end = [&](AttemptEnd reason) {
    Perform(entry, request, tracker.OnEnded(message.attempt_, reason, now_));
  };
  switch (message.frame_) {
    case Frame::kBegin:
      Perform(entry, request,
              tracker.OnResponseStarted(
                  message.attempt_, message.weights_ == request.pinned_weights_,
                  now_));
      break;
    case Frame::kData:
      if (tracker.AcceptResponseBytes(message.attempt_)) {
        oracle_.OnResponseDelivered(request.id_, message.request_,
                                    message.attempt_, message.sequence_,
                                    request.pinned_weights_,
                                    engines_[message.engine_]->checks_fencing_
                                        ? message.weights_
                                        : request.pinned_weights_);
      }
      break;
    case Frame::kComplete:
      end(AttemptEnd::kComplete);
      break;
    case Frame::kRefused:
      end(AttemptEnd::kRefusedNotRun);
      break;
    case Frame::kFailed:
      end(AttemptEnd::kFailedRan);
      break;
    case Frame::kUnknown:
    case Frame::kLost:
      end(AttemptEnd::kLost);
      break;
  }
}

void Simulation::LoseAttempt(const Request& request) {
  if (!request.tracker_) {
    return;
  }
  const auto attempt = request.tracker_->attempt();
  const bool run_may_arrive = request.ticket_ && Chance(50);
  const bool frames_arrive_late = Chance(50);
  std::erase_if(messages_, [&](const Message& message) {
    const bool same_attempt =
        message.request_ == request.id_ && message.attempt_ == attempt;
    const bool frame = message.kind_ == Message::Kind::kFrame;
    const bool run = message.kind_ == Message::Kind::kRun;
    return same_attempt &&
           ((frame && !frames_arrive_late) || (run && !run_may_arrive));
  });
  Message lost;
  lost.kind_ = Message::Kind::kFrame;
  lost.frame_ = Message::Frame::kLost;
  lost.from_ = request.agent_;
  lost.to_ = request.entry_;
  lost.request_ = request.id_;
  lost.attempt_ = attempt;
  const auto entry = std::ranges::find(entries_, request.entry_, &Entry::id_);
  if (frames_arrive_late && entry != entries_.end() && !(*entry)->suspended_) {
    // The entry notices the loss before the frames in flight arrive.
    HandleFrame(*entry, lost);
    return;
  }
  messages_.push_back(lost);
}

void Simulation::LoseRandomAttempt() {
  std::vector<const Request*> unfinished;
  for (const auto& [id, request] : requests_) {
    if (!request->outcome_) {
      unfinished.push_back(request.get());
    }
  }
  if (!unfinished.empty()) {
    LoseAttempt(*unfinished[RandomBelow(unfinished.size())]);
  }
}

void Simulation::ToggleSuspension() {
  if (Chance(70)) {
    if (const auto agent = RandomAgent()) {
      agent->suspended_ = !agent->suspended_;
    }
  } else if (const auto entry = RandomEntry()) {
    entry->suspended_ = !entry->suspended_;
  }
}

void Simulation::KillEntry() {
  const auto entry = RandomEntry();
  if (!entry) {
    return;
  }
  entry->alive_ = false;
  auto replacement = std::make_shared<Entry>(faults_);
  replacement->id_ = next_process_++;
  UpdateInstanceList(*replacement);
  std::erase(entries_, entry);
  entries_.push_back(replacement);
}

void Simulation::UpdateInstanceList(Entry& entry) {
  std::vector<config::Instance> instances;
  for (const auto& engine : engines_) {
    config::Instance instance;
    instance.id_ =
        core::InstanceId("endpoint-" + std::to_string(engine->index_));
    instance.role_ = core::Role("chat");
    instance.leaving_ = entry.listed_draining_.contains(engine->index_);
    instances.push_back(instance);
  }
  entry.roster_.SetInstances(instances);
}

void Simulation::ListAsDraining(std::size_t engine) {
  const core::InstanceId id("endpoint-" + std::to_string(engine));
  for (const auto& entry : entries_) {
    const auto connection = entry->connections_.find(id);
    if (Chance(70) && connection != entry->connections_.end()) {
      entry->listed_draining_.insert(engine);
      UpdateInstanceList(*entry);
      connection->second.known_draining_at_ = now_;
    }
  }
}

void Simulation::DrainRandomProcess() {
  if (Chance(30)) {
    ListAsDraining(RandomBelow(engines_.size()));
    return;
  }
  const auto agent = RandomAgent();
  const auto entry = RandomEntry();
  if (agent && Chance(60)) {
    agent->shutdown_.Begin(now_);
    agent->shutdown_began_at_ = now_;
    StartAgent(agent->engine_, next_incarnation_++);
  } else if (entry && !entry->shutdown_.draining()) {
    entry->shutdown_.Begin(now_);
    entry->shutdown_began_at_ = now_;
  }
}

void Simulation::ExitDrainedProcesses() {
  for (const auto& agent : agents_) {
    if (!agent->alive_ || agent->suspended_ ||
        !agent->shutdown_.MayExit(now_)) {
      continue;
    }
    const auto& executions = engines_[agent->engine_]->executions_;
    const auto pending = static_cast<std::size_t>(std::ranges::count_if(
        executions, [&](const Engine::Execution& execution) {
          return execution.agent_ == agent->id_;
        }));
    oracle_.OnExit(pending, now_ - agent->shutdown_began_at_ < kShutdownLimit);
    agent->alive_ = false;
  }
  for (const auto& entry : std::vector(entries_)) {
    if (entry->suspended_ || !entry->shutdown_.MayExit(now_)) {
      continue;
    }
    const auto pending = static_cast<std::size_t>(
        std::ranges::count_if(requests_, [&](const auto& item) {
          return item.second->entry_ == entry->id_ && !item.second->outcome_;
        }));
    oracle_.OnExit(pending, now_ - entry->shutdown_began_at_ < kShutdownLimit);
    std::erase(entries_, entry);
    auto replacement = std::make_shared<Entry>(faults_);
    replacement->id_ = next_process_++;
    UpdateInstanceList(*replacement);
    entries_.push_back(replacement);
  }
}

}  // namespace chalkwell::fuzz
