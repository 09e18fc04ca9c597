// What a request logs and counts about its attempts and its end.
#include <string>

#include "daemon/direct/direct_request.hpp"

namespace chalkwell::daemon::direct {
namespace {

using std::chrono::milliseconds;

std::string Millis(core::Duration span) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(span).count());
}

/// How the connection of an attempt ended, as logged.
std::string ConnectionEnd(const std::optional<HttpEnd>& end) {
  return end ? std::string(ToString(*end)) : "closed by this process";
}

/// Ids separated by commas.
std::string Join(const std::vector<std::string>& ids) {
  std::string text;
  for (const auto& id : ids) {
    text += (text.empty() ? "" : ",") + id;
  }
  return text;
}

/// How a response was framed, as logged.
std::string FramingText(const std::optional<HttpFraming>& framing) {
  return framing ? std::string(ToString(*framing)) : "none";
}

/// For how long a refusal asked for no requests, as logged, in milliseconds.
std::string RetryAfterText(const ResponseHead& head) {
  if (!head.invalid_retry_after_.empty()) {
    return "invalid: " + head.invalid_retry_after_;
  }
  return head.retry_after_ ? Millis(*head.retry_after_) : "none";
}

}  // namespace

void DirectRequest::LogSent(const Attempt& attempt,
                            core::Duration time_left) const {
  const auto& choice = attempt.choice_;
  context_.log_.Write(
      core::EventNumber::kRequestSent,
      {{"request", request_.caller_.id_},
       {"content", request_.identity_.content_.ToHex()},
       {"parts", Join(request_.caller_.shared_prompt_parts_)},
       {"attempt", std::to_string(attempt.number_)},
       {"beside", std::to_string(attempts_.size())},
       {"retry_cause", std::string(retried_after_)},
       {"retries_left", RetriesLeftText()},
       {"retry_reserve",
        std::to_string(context_.budgets_.allowance().reserve_)},
       {"endpoint", choice.row_.id_.value()},
       {"service", request_.service_},
       {"rules", std::to_string(request_.rules_version_)},
       {"list", std::to_string(context_.endpoints_.revision())},
       {"list_age_ms", Millis(attempt.sent_at_ - context_.endpoints_.as_of())},
       {"weights", std::to_string(choice.row_.weights_version_.value_or(0))},
       {"occupied", std::to_string(choice.requests_ahead_)},
       {"rate_limit", RateText(choice.rate_limit_)},
       {"deferred", std::to_string(choice.deferred_)},
       {"report_age_ms",
        choice.reported_ ? Millis(choice.report_age_) : std::string("none")},
       {"on_time", request_.on_time_ ? "yes" : "no"},
       {"predicted_ms", Millis(choice.time_to_first_byte_)},
       {"left_ms", Millis(time_left)}});
}

void DirectRequest::CountUnframedResponse(const Attempt& attempt,
                                          HttpEnd end) const {
  std::string state = "broken";
  if (end == HttpEnd::kCloseDelimited) {
    state = attempt.events_.inside_event() ? "inside event" : "closed";
  }
  context_.metrics_.Count(
      "unframed_responses_total",
      {{"kind", attempt.streaming_ ? "stream" : "buffered"}, {"end", state}});
}

void DirectRequest::LogAttemptEnded(const Attempt& attempt,
                                    std::string_view end) const {
  const auto now = context_.loop_.Now();
  context_.log_.Write(
      core::EventNumber::kAttemptEnded,
      {{"request", request_.caller_.id_},
       {"content", request_.identity_.content_.ToHex()},
       {"attempt", std::to_string(attempt.number_)},
       {"endpoint", attempt.endpoint().value()},
       {"end", std::string(end)},
       {"connection", ConnectionEnd(attempt.call_end_)},
       {"framing", FramingText(attempt.framing_)},
       {"partial_event",
        std::to_string(attempt.events_.partial_event().size())},
       {"status", std::to_string(attempt.status_)},
       {"retry_after_ms", RetryAfterText(attempt.response_head_)},
       {"given_up", std::string(attempt.abandon_reason_)},
       {"silent", attempt.silent_ ? "yes" : "no"},
       {"idle_ms", Millis(now - attempt.last_data_at_)},
       {"after_ms", Millis(now - attempt.sent_at_)}});
  context_.metrics_.Count("attempts_ended_total", {{"end", std::string(end)}});
}

void DirectRequest::CountRetry(const std::string& counter) const {
  context_.metrics_.Count(counter, {{"service", request_.service_},
                                    {"cause", std::string(last_cause_)}});
}

std::string DirectRequest::RetriesLeftText() const {
  const auto left = context_.budgets_.Available(
      request_.service_, routing::RetryKind::kResume, context_.loop_.Now());
  return std::to_string(static_cast<std::uint64_t>(left));
}

std::string DirectRequest::RetryDenialText() const {
  const auto denial = tracker_.retry_denial();
  return std::string(denial == routing::RetryDenial::kRejected
                         ? retry_rejected_by_
                         : routing::ToString(denial));
}

void DirectRequest::ReportSilence(const Attempt& attempt, core::TimePoint now) {
  context_.endpoints_.OnSilent(attempt.endpoint(), attempt.sent_at_, now);
  context_.log_.Write(core::EventNumber::kAttemptSilent,
                      {{"request", request_.caller_.id_},
                       {"attempt", std::to_string(attempt.number_)},
                       {"endpoint", attempt.endpoint().value()},
                       {"idle_ms", Millis(now - attempt.last_data_at_)},
                       {"forwarded", tracker_.forwarded() ? "yes" : "no"}});
  context_.metrics_.Count(
      "silent_attempts_total",
      {{"phase", attempt.response_started_ ? "response" : "first byte"}});
}

void DirectRequest::LogFinished(const routing::FinishRequest& finish,
                                core::Duration elapsed) const {
  const bool completed = finish.outcome_ == routing::Outcome::kAnswered;
  const Attempt none(context_.loop_);
  const auto& last = last_attempt_ == nullptr ? none : *last_attempt_;
  context_.log_.Write(
      core::EventNumber::kRequestEnded,
      {{"request", request_.caller_.id_},
       {"outcome", std::string(routing::ToString(finish.outcome_))},
       {"status", std::to_string(last.status_)},
       {"connection", ConnectionEnd(last.call_end_)},
       {"framing", FramingText(last.framing_)},
       {"partial_event", std::to_string(last.events_.partial_event().size())},
       {"attempts", std::to_string(tracker_.attempt())},
       {"past_deadline", past_deadline_ ? "yes" : "no"},
       {"cut", response_started_ && !completed ? "yes" : "no"},
       {"no_retry", completed ? "" : RetryDenialText()},
       {"took_ms", Millis(elapsed)}});
}

}  // namespace chalkwell::daemon::direct
