// Entries, callers, pauses and planned stops of the model.
#include <algorithm>
#include <utility>

#include "fuzz/parts.hpp"

namespace chalkwell::fuzz {

void World::NewRequest() {
  const auto entry = AnyEntry();
  if (!entry || entry->paused_) {
    return;
  }
  auto request = std::make_unique<Request>();
  request->id_ = next_request_++;
  request->order_ = request->id_;
  request->repeatable_ = Chance(50);
  // Callers that were told "not run" may send the same order again.
  for (auto& [id, earlier] : requests_) {
    if (!earlier->retried_ && !earlier->repeatable_ &&
        earlier->outcome_ == routing::Outcome::kRefusedNotRun) {
      earlier->retried_ = true;
      request->order_ = earlier->order_;
      request->repeatable_ = false;
      break;
    }
  }
  request->entry_ = entry->id_;
  if (!entry->stop_.accepting()) {
    return;
  }
  oracle_.OnTakenBy(entry->stop_.draining());
  entry->stop_.OnWorkAccepted();
  request->tracker_ = std::make_unique<routing::RequestTracker>(
      routing::RequestTraits{.repeatable_ = request->repeatable_,
                             .resumable_ = request->repeatable_,
                             .deadline_ = now_ + std::chrono::seconds(30)},
      faults_.request_);
  auto& held = *request;
  requests_[held.id_] = std::move(request);
  Perform(entry, held, held.tracker_->Start(now_));
}

void World::RetryByTicket() {
  const auto entry = AnyEntry();
  if (!entry || entry->paused_ || !entry->stop_.accepting()) {
    return;
  }
  for (auto& [id, earlier] : requests_) {
    const bool may = !earlier->retried_ && earlier->ticket_ &&
                     earlier->outcome_ == routing::Outcome::kUnknown;
    if (!may) {
      continue;
    }
    earlier->retried_ = true;
    auto request = std::make_unique<Request>();
    request->id_ = next_request_++;
    request->order_ = earlier->order_;
    request->entry_ = entry->id_;
    request->callers_ticket_ = earlier->ticket_;
    entry->stop_.OnWorkAccepted();
    request->tracker_ = std::make_unique<routing::RequestTracker>(
        routing::RequestTraits{.repeatable_ = false,
                               .deadline_ = now_ + std::chrono::seconds(30),
                               .may_have_run_before_ = true},
        faults_.request_);
    auto& held = *request;
    requests_[held.id_] = std::move(request);
    Perform(entry, held, held.tracker_->Start(now_));
    return;
  }
}

void World::Perform(const EntryPtr& entry, Request& request,
                    const routing::RequestActions& actions) {
  for (const auto& action : actions) {
    if (const auto* choose = std::get_if<routing::ChooseEndpoint>(&action)) {
      Choose(entry, request, choose->same_weights_);
    } else if (const auto* send = std::get_if<routing::SendAttempt>(&action)) {
      SendRun(entry, request, *send);
    } else if (const auto* finish =
                   std::get_if<routing::FinishRequest>(&action)) {
      request.outcome_ = finish->outcome_;
      oracle_.OnOutcome(request.id_, finish->outcome_, kAnswerPieces);
      entry->stop_.OnWorkFinished();
    }
  }
}

void World::Choose(const EntryPtr& entry, Request& request, bool same_weights) {
  std::optional<core::InstanceId> chosen;
  if (request.callers_ticket_) {
    if (request.tried_.empty()) {
      chosen = request.callers_ticket_->endpoint_;
    }
  } else {
    std::vector<core::InstanceId> ids;
    for (const auto* view :
         entry->roster_.Available(core::Role("chat"), now_)) {
      const bool fits =
          !same_weights || view->report_->manifest_ == request.pinned_;
      if (fits && !request.tried_.contains(view->instance_.id_)) {
        ids.push_back(view->instance_.id_);
      }
    }
    if (!ids.empty()) {
      chosen = ids[Below(ids.size())];
    }
  }
  Perform(entry, request, request.tracker_->OnChosen(chosen, now_));
}

void World::SendRun(const EntryPtr& entry, Request& request,
                    const routing::SendAttempt& send) {
  auto& link = entry->links_[send.endpoint_];
  request.tried_.insert(send.endpoint_);
  request.endpoint_ = send.endpoint_;
  request.agent_ = link.agent_;
  const auto* view = entry->roster_.Find(send.endpoint_);
  request.pinned_ = view != nullptr && view->report_ ? view->report_->manifest_
                                                     : core::Digest{};
  request.ticket_ = request.callers_ticket_;
  if (!request.repeatable_ && !request.ticket_ && link.minter_) {
    request.ticket_ = link.minter_->Issue();
  }
  const bool connected =
      std::ranges::any_of(agents_, [&](const AgentPtr& agent) {
        return agent->id_ == link.agent_ && agent->alive_;
      });
  if (!connected || (!request.repeatable_ && !request.ticket_)) {
    Perform(entry, request,
            request.tracker_->OnEnded(send.attempt_,
                                      routing::AttemptEnd::kNeverSent, now_));
    return;
  }
  const bool known_leaving = link.knew_leaving_at_ &&
                             !request.callers_ticket_ &&
                             now_ - *link.knew_leaving_at_ > kLeavingBound / 3;
  oracle_.OnSentTo(known_leaving);
  Message message;
  message.kind_ = Message::Kind::kRun;
  message.from_ = entry->id_;
  message.to_ = link.agent_;
  message.request_ = request.id_;
  message.order_ = request.order_;
  message.repeatable_ = request.repeatable_;
  message.attempt_ = send.attempt_;
  message.ticket_ = request.ticket_;
  message.weights_ = request.pinned_;
  message.resume_from_ = send.resume_from_;
  messages_.push_back(message);
}

void World::HandleFrame(const EntryPtr& entry, const Message& message) {
  const auto found = requests_.find(message.request_);
  if (found == requests_.end()) {
    return;
  }
  auto& request = *found->second;
  auto& tracker = *request.tracker_;
  using Frame = Message::Frame;
  using routing::AttemptEnd;
  const auto end = [&](AttemptEnd how) {
    Perform(entry, request, tracker.OnEnded(message.attempt_, how, now_));
  };
  switch (message.frame_) {
    case Frame::kBegin:
      Perform(entry, request,
              tracker.OnResponseStarted(
                  message.attempt_, message.weights_ == request.pinned_, now_));
      break;
    case Frame::kData:
      if (tracker.AcceptResponseBytes(message.attempt_)) {
        oracle_.OnDelivered(request.id_, message.request_, message.attempt_,
                            message.sequence_, request.pinned_,
                            engines_[message.engine_]->checks_fencing_
                                ? message.weights_
                                : request.pinned_);
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

/// The stream of the request's current attempt breaks: what was on its way is
/// gone (or, with a ticket, may still arrive), and the entry notices.
void World::LoseAttempt(const Request& request) {
  if (!request.tracker_) {
    return;
  }
  const auto attempt = request.tracker_->attempt();
  const bool run_may_arrive = request.ticket_ && Chance(50);
  const bool frames_come_late = Chance(50);
  std::erase_if(messages_, [&](const Message& message) {
    const bool own =
        message.request_ == request.id_ && message.attempt_ == attempt;
    const bool frame = message.kind_ == Message::Kind::kFrame;
    const bool run = message.kind_ == Message::Kind::kRun;
    return own && ((frame && !frames_come_late) || (run && !run_may_arrive));
  });
  Message lost;
  lost.kind_ = Message::Kind::kFrame;
  lost.frame_ = Message::Frame::kLost;
  lost.from_ = request.agent_;
  lost.to_ = request.entry_;
  lost.request_ = request.id_;
  lost.attempt_ = attempt;
  const auto entry = std::ranges::find(entries_, request.entry_, &Entry::id_);
  if (frames_come_late && entry != entries_.end() && !(*entry)->paused_) {
    // The entry notices before what is still on its way arrives.
    HandleFrame(*entry, lost);
    return;
  }
  messages_.push_back(lost);
}

void World::LoseSomeAttempt() {
  std::vector<const Request*> open;
  for (const auto& [id, request] : requests_) {
    if (!request->outcome_) {
      open.push_back(request.get());
    }
  }
  if (!open.empty()) {
    LoseAttempt(*open[Below(open.size())]);
  }
}

void World::PauseSomething() {
  if (Chance(70)) {
    if (const auto agent = AnyAgent()) {
      agent->paused_ = !agent->paused_;
    }
  } else if (const auto entry = AnyEntry()) {
    entry->paused_ = !entry->paused_;
  }
}

void World::KillEntry() {
  const auto entry = AnyEntry();
  if (!entry) {
    return;
  }
  entry->alive_ = false;
  auto fresh = std::make_shared<Entry>(faults_);
  fresh->id_ = next_id_++;
  ListInstances(*fresh);
  std::erase(entries_, entry);
  entries_.push_back(fresh);
}

void World::ListInstances(Entry& entry) {
  std::vector<config::Instance> instances;
  for (const auto& engine : engines_) {
    config::Instance instance;
    instance.id_ =
        core::InstanceId("endpoint-" + std::to_string(engine->index_));
    instance.role_ = core::Role("chat");
    instance.leaving_ = entry.listed_leaving_.contains(engine->index_);
    instances.push_back(instance);
  }
  entry.roster_.SetInstances(instances);
}

/// The platform's list says that an endpoint is leaving; entries learn it at
/// different times, and the agent may not know.
void World::ListLeaving(std::size_t engine) {
  const core::InstanceId id("endpoint-" + std::to_string(engine));
  for (const auto& entry : entries_) {
    const auto link = entry->links_.find(id);
    if (Chance(70) && link != entry->links_.end()) {
      entry->listed_leaving_.insert(engine);
      ListInstances(*entry);
      link->second.knew_leaving_at_ = now_;
    }
  }
}

void World::StopSomething() {
  if (Chance(30)) {
    ListLeaving(Below(engines_.size()));
    return;
  }
  const auto agent = AnyAgent();
  const auto entry = AnyEntry();
  if (agent && Chance(60)) {
    agent->stop_.Begin(now_);
    agent->stop_began_ = now_;
    StartAgent(agent->engine_, next_incarnation_++);
  } else if (entry && !entry->stop_.draining()) {
    entry->stop_.Begin(now_);
    entry->stop_began_ = now_;
  }
}

void World::ExitStopped() {
  for (const auto& agent : agents_) {
    if (!agent->alive_ || agent->paused_ || !agent->stop_.MayExit(now_)) {
      continue;
    }
    const auto& running = engines_[agent->engine_]->running_;
    const auto work = static_cast<std::size_t>(
        std::ranges::count_if(running, [&](const Engine::Execution& execution) {
          return execution.agent_ == agent->id_;
        }));
    oracle_.OnExit(work, now_ - agent->stop_began_ < kStopLimit);
    agent->alive_ = false;
  }
  for (const auto& entry : std::vector(entries_)) {
    if (entry->paused_ || !entry->stop_.MayExit(now_)) {
      continue;
    }
    const auto work = static_cast<std::size_t>(
        std::ranges::count_if(requests_, [&](const auto& held) {
          return held.second->entry_ == entry->id_ && !held.second->outcome_;
        }));
    oracle_.OnExit(work, now_ - entry->stop_began_ < kStopLimit);
    std::erase(entries_, entry);
    auto fresh = std::make_shared<Entry>(faults_);
    fresh->id_ = next_id_++;
    ListInstances(*fresh);
    entries_.push_back(fresh);
  }
}

}  // namespace chalkwell::fuzz
