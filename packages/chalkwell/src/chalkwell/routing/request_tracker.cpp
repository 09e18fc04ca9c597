// Retry decisions and outcomes.
#include "chalkwell/routing/request_tracker.hpp"

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

RequestActions RequestTracker::OnChosen(
    const std::optional<core::InstanceId>& endpoint, core::TimePoint now) {
  if (finished_ || outstanding_) {
    return {};
  }
  if (!endpoint || now >= traits_.deadline_) {
    retry_denial_ =
        endpoint ? RetryDenial::kDeadlinePassed : RetryDenial::kNoEndpoint;
    return Finish(FailureOutcome());
  }
  ++attempt_;
  outstanding_ = true;
  const auto resume_from = faults_.resume_from_start_ ? 0 : forwarded_events_;
  return {SendAttempt{attempt_, *endpoint, resume_from}};
}

RequestActions RequestTracker::OnResponseStarted(AttemptNumber attempt,
                                                 bool weights_match,
                                                 core::TimePoint now) {
  const bool current = !finished_ && outstanding_ && attempt == attempt_;
  if (!current || weights_match || faults_.ignore_other_weights_) {
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
  if (finished_ || !outstanding_ || attempt != attempt_) {
    return false;
  }
  forwarded_ = true;
  forwarded_events_ += events;
  return true;
}

RequestActions RequestTracker::OnEnded(AttemptNumber attempt, AttemptEnd end,
                                       core::TimePoint now) {
  if (finished_ || !outstanding_ || attempt != attempt_) {
    return {};
  }
  outstanding_ = false;
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
    return Finish(Outcome::kAnswered);
  }
  if (end == AttemptEnd::kLost && faults_.complete_on_loss_ && forwarded_) {
    return Finish(Outcome::kAnswered);
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
  if (outstanding_) {
    may_have_run_ = true;
    outstanding_ = false;
    actions.emplace_back(CancelAttempt{attempt_});
  }
  for (auto& action : Finish(FailureOutcome())) {
    actions.push_back(std::move(action));
  }
  return actions;
}

bool RequestTracker::MayRetry(AttemptEnd end, core::TimePoint now) {
  retry_denial_ = DenialOf(end, now);
  return retry_denial_ == RetryDenial::kNone;
}

RetryDenial RequestTracker::DenialOf(AttemptEnd end, core::TimePoint now) {
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
  if (now >= traits_.deadline_) {
    return RetryDenial::kDeadlinePassed;
  }
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
