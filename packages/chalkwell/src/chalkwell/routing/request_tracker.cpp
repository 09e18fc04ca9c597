// Retry decisions and outcomes.
#include "chalkwell/routing/request_tracker.hpp"

#include <algorithm>
#include <utility>

namespace chalkwell::routing {

std::string_view ToString(Outcome outcome) noexcept {
  switch (outcome) {
    case Outcome::kAnswered:
      return "answered";
    case Outcome::kRefusedNotRun:
      return "refused: not run";
    case Outcome::kFailedRan:
      return "failed: ran";
    case Outcome::kUnknown:
      return "unknown";
  }
  return "unknown";
}

std::string_view ToString(AttemptEnd end) noexcept {
  switch (end) {
    case AttemptEnd::kNeverSent:
      return "never sent";
    case AttemptEnd::kRefusedNotRun:
      return "refused: not run";
    case AttemptEnd::kFailedRan:
      return "failed: ran";
    case AttemptEnd::kLost:
      return "lost";
    case AttemptEnd::kComplete:
      return "complete";
  }
  return "lost";
}

std::string_view ToString(RetryDenial denial) noexcept {
  switch (denial) {
    case RetryDenial::kNone:
      return "none";
    case RetryDenial::kNotRepeatable:
      return "not repeatable";
    case RetryDenial::kNotResumable:
      return "not resumable";
    case RetryDenial::kAttemptsUsed:
      return "attempts used";
    case RetryDenial::kDeadlinePassed:
      return "deadline";
    case RetryDenial::kRejected:
      return "rejected";
    case RetryDenial::kNoEndpoint:
      return "no endpoint";
  }
  return "none";
}

RequestTracker::RequestTracker(RequestTraits traits, RequestFaults faults)
    : traits_(std::move(traits)),
      faults_(faults),
      may_have_run_(traits_.may_have_run_before_ &&
                    !faults.ignore_earlier_requests_) {}

RequestActions RequestTracker::Start(core::TimePoint now) {
  if (now >= traits_.deadline_) {
    return Finish(Outcome::kRefusedNotRun);
  }
  return {NextChoice()};
}

ChooseEndpoint RequestTracker::NextChoice() const noexcept {
  return {.same_weights_ = forwarded_ && !faults_.resume_on_other_weights_};
}

RequestActions RequestTracker::OnSilent(core::TimePoint now) {
  if (finished_ || in_flight_.empty()) {
    return {};
  }
  // A silent attempt may be running.
  retry_denial_ = DenialOf(AttemptEnd::kLost, now);
  if (retry_denial_ != RetryDenial::kNone) {
    return {};
  }
  choosing_beside_ = true;
  return {NextChoice()};
}

RequestActions RequestTracker::Select(AttemptNumber attempt) {
  RequestActions actions;
  if (InFlight(attempt)) {
    CancelOthers(attempt, actions);
  }
  return actions;
}

RequestActions RequestTracker::OnChosen(
    const std::optional<core::InstanceId>& endpoint, core::TimePoint now) {
  const bool beside = std::exchange(choosing_beside_, false);
  if (finished_ || beside == in_flight_.empty()) {
    return {};
  }
  if (!endpoint || now >= traits_.deadline_) {
    retry_denial_ =
        endpoint ? RetryDenial::kDeadlinePassed : RetryDenial::kNoEndpoint;
    return beside ? RequestActions{} : Finish(FailureOutcome());
  }
  if (beside) {
    // Consumed only now: without an endpoint, no retry is made.
    retry_denial_ = ConsumeRetry(now);
    if (retry_denial_ != RetryDenial::kNone) {
      return {};
    }
  }
  ++attempt_;
  in_flight_.push_back(attempt_);
  const auto resume_from = faults_.resume_from_start_ ? 0 : forwarded_events_;
  return {SendAttempt{attempt_, *endpoint, resume_from}};
}

RequestActions RequestTracker::OnResponseStarted(AttemptNumber attempt,
                                                 bool weights_match,
                                                 core::TimePoint now) {
  if (finished_ || !InFlight(attempt) || weights_match ||
      faults_.ignore_other_weights_) {
    return {};
  }
  RequestActions actions{CancelAttempt{attempt}};
  for (auto& action : OnEnded(attempt, AttemptEnd::kFailedRan, now)) {
    actions.push_back(std::move(action));
  }
  return actions;
}

bool RequestTracker::AcceptResponseBytes(AttemptNumber attempt,
                                         std::uint64_t events) {
  if (faults_.forward_superseded_responses_) {
    forwarded_ = true;
    return !finished_;
  }
  if (finished_ || !InFlight(attempt) || in_flight_.size() > 1) {
    return false;
  }
  forwarded_ = true;
  forwarded_events_ += events;
  return true;
}

RequestActions RequestTracker::OnEnded(AttemptNumber attempt, AttemptEnd end,
                                       core::TimePoint now) {
  if (finished_ || std::erase(in_flight_, attempt) == 0) {
    return {};
  }
  if (faults_.ignore_earlier_attempts_) {
    ran_ = false;
    may_have_run_ = false;
  }
  ran_ = ran_ || end == AttemptEnd::kFailedRan;
  may_have_run_ = may_have_run_ || (end == AttemptEnd::kLost &&
                                    !faults_.report_lost_as_not_run_);
  if (end == AttemptEnd::kRefusedNotRun && traits_.may_have_run_before_) {
    // The attempt carried the caller's ticket. The agent reports "not run" only
    // if the ticket was unused, and marks it as used: no earlier request ran
    // with it, and none can later. No earlier attempt of this request was lost,
    // since RequestRunner sends a request with a caller's ticket only once.
    may_have_run_ = false;
  }
  if (end == AttemptEnd::kComplete) {
    RequestActions actions;
    CancelOthers(attempt, actions);
    for (auto& action : Finish(Outcome::kAnswered)) {
      actions.push_back(std::move(action));
    }
    return actions;
  }
  if (end == AttemptEnd::kLost && faults_.complete_on_loss_ && forwarded_) {
    return Finish(Outcome::kAnswered);
  }
  if (!in_flight_.empty()) {
    return {};
  }
  if (MayRetry(end, now)) {
    return {NextChoice()};
  }
  return Finish(FailureOutcome());
}

RequestActions RequestTracker::Abort() {
  if (finished_) {
    return {};
  }
  RequestActions actions;
  CancelOthers(0, actions);
  for (auto& action : Finish(FailureOutcome())) {
    actions.push_back(std::move(action));
  }
  return actions;
}

bool RequestTracker::InFlight(AttemptNumber attempt) const {
  return std::ranges::find(in_flight_, attempt) != in_flight_.end();
}

void RequestTracker::CancelOthers(AttemptNumber attempt,
                                  RequestActions& actions) {
  for (const auto other : in_flight_) {
    if (other != attempt) {
      may_have_run_ = true;
      actions.emplace_back(CancelAttempt{other});
    }
  }
  std::erase_if(in_flight_,
                [&](AttemptNumber other) { return other != attempt; });
}

bool RequestTracker::MayRetry(AttemptEnd end, core::TimePoint now) {
  retry_denial_ = DenialOf(end, now);
  if (retry_denial_ == RetryDenial::kNone) {
    retry_denial_ = ConsumeRetry(now);
  }
  return retry_denial_ == RetryDenial::kNone;
}

RetryDenial RequestTracker::DenialOf(AttemptEnd end,
                                     core::TimePoint now) const {
  const bool not_executed =
      end == AttemptEnd::kNeverSent || end == AttemptEnd::kRefusedNotRun;
  const bool safe =
      not_executed || traits_.repeatable_ || faults_.retry_after_send_;
  if (!safe) {
    return RetryDenial::kNotRepeatable;
  }
  if (forwarded_ && !traits_.resumable_) {
    return RetryDenial::kNotResumable;
  }
  if (attempt_ >= traits_.max_attempts_) {
    return RetryDenial::kAttemptsUsed;
  }
  return now >= traits_.deadline_ ? RetryDenial::kDeadlinePassed
                                  : RetryDenial::kNone;
}

RetryDenial RequestTracker::ConsumeRetry(core::TimePoint now) const {
  const auto kind = forwarded_ ? RetryKind::kResume : RetryKind::kRestart;
  return traits_.may_retry_(kind, now) ? RetryDenial::kNone
                                       : RetryDenial::kRejected;
}

Outcome RequestTracker::FailureOutcome() const noexcept {
  if (ran_) {
    return Outcome::kFailedRan;
  }
  return may_have_run_ ? Outcome::kUnknown : Outcome::kRefusedNotRun;
}

RequestActions RequestTracker::Finish(Outcome outcome) {
  finished_ = true;
  FinishRequest finish{.outcome_ = outcome, .retry_after_ = std::nullopt};
  const bool retry_advisable =
      outcome == Outcome::kRefusedNotRun ||
      (outcome != Outcome::kAnswered && traits_.repeatable_);
  if (retry_advisable) {
    finish.retry_after_ = traits_.retry_after_;
  }
  return {finish};
}

}  // namespace chalkwell::routing
