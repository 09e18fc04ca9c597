// Carries out the attempts and the outcome that the request tracker decides on.
#include "daemon/direct/direct_request.hpp"

#include <algorithm>
#include <utility>

#include "chalkwell/routing/first_byte_timeout.hpp"
#include "chalkwell/routing/stream_admission.hpp"

namespace chalkwell::daemon::direct {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kTraceparent = "traceparent";
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
/// A response that is not a stream is buffered up to this size and forwarded
/// once it is complete, so that the request can be retried if the connection
/// breaks. Larger responses are forwarded as they arrive.
constexpr std::size_t kMaxBufferedBytes = std::size_t{64} << 10;
/// Bytes that may wait for a slow caller before reading from the endpoint
/// stops.
constexpr std::size_t kMaxPendingBytes = std::size_t{64} << 10;
/// Covers a few round trips between regions and one lost packet.
constexpr auto kConnectTimeout = milliseconds(400);
/// A pooled connection that was idle for longer is not reused. Repeatable
/// requests can be retried when the endpoint has just closed the connection;
/// the others can't and get the shorter limit.
constexpr auto kMaxIdleTime = milliseconds(2500);
constexpr auto kMaxIdleTimeNotRepeatable = milliseconds(400);
/// Interval at which an attempt without a response is checked: its endpoint may
/// have become unresponsive, or have been removed from the list.
constexpr auto kTimeoutCheckInterval = milliseconds(100);
/// A stream times out when no event arrives for this many times the target gap
/// between events, but not before kMinEventGapTimeout.
constexpr int kEventGapFactor = 2;
constexpr auto kMinEventGapTimeout = milliseconds(800);
/// Subtracted from the time that the endpoint gets, so that the response can
/// still reach this process if the endpoint uses all of it.
constexpr auto kReturnTransitTime = milliseconds(5);

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

DirectRequest::DirectRequest(RequestContext& context, HttpExchangePtr exchange,
                             AdmittedDirectRequest request,
                             std::function<void()> done)
    : context_(context),
      exchange_(std::move(exchange)),
      request_(std::move(request)),
      done_(std::move(done)),
      tracker_({.repeatable_ = request_.route_.may_retry(),
                .resumable_ =
                    request_.route_.streaming_ && request_.route_.resumable_,
                .deadline_ = request_.deadline_,
                .max_attempts_ = std::max(1U, request_.route_.max_attempts_),
                .may_retry_ =
                    [this](routing::RetryKind kind, core::TimePoint now) {
                      return MayRetry(kind, now);
                    }}),
      deadline_timer_(context.loop_),
      response_timer_(context.loop_) {}

void DirectRequest::Start() {
  const auto now = context_.loop_.Now();
  span_ = context_.tracer_.Begin(
      "entry.request", FindHeader(exchange_->request().headers_, kTraceparent));
  context_.budget_.OnRequest(now);
  quarantine_token_ = context_.quarantine_.OnAdmitted(
      request_.identity_, request_.service_, request_.deadline_,
      [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->OnQuarantined();
        }
      });
  exchange_->OnAbort(
      [self = shared_from_this()] { self->OnCallerDisconnected(); });
  deadline_timer_.Once(request_.deadline_ - now,
                       [self = shared_from_this()] { self->OnDeadline(); });
  Perform(tracker_.Start(now));
}

void DirectRequest::Perform(const routing::RequestActions& actions) {
  for (const auto& action : actions) {
    if (const auto* choose = std::get_if<routing::ChooseEndpoint>(&action)) {
      Choose(*choose);
    } else if (const auto* send = std::get_if<routing::SendAttempt>(&action)) {
      Send(*send);
    } else if (std::holds_alternative<routing::CancelAttempt>(action)) {
      if (attempt_.call_ != nullptr) {
        std::exchange(attempt_.call_, nullptr)->Cancel();
        CountAttemptEnded(routing::EndpointOutcome::kCancelled);
      }
    } else {
      Finish(std::get<routing::FinishRequest>(action));
    }
  }
}

void DirectRequest::Choose(const routing::ChooseEndpoint& choose) {
  const auto now = context_.loop_.Now();
  routing::ChoiceRequest choice_request;
  choice_request.service_ = request_.service_;
  choice_request.prompt_tokens_ = request_.caller_.prompt_tokens_;
  choice_request.on_time_ = request_.on_time_;
  choice_request.tried_ = tried_endpoints_;
  // The rules may have changed since the request was admitted.
  choice_request.allowed_domains_ = routing::Intersect(
      request_.allowed_domains_,
      context_.allowed_domains_(request_.route_, request_.account_));
  choice_request.max_in_flight_ = context_.max_in_flight_(request_.service_);
  if (request_.engine_) {
    choice_request.engine_ = &*request_.engine_;
    version_constraint_ =
        context_.version_constraint_(request_.engine_->model_);
    choice_request.version_constraint_ = version_constraint_;
    if (choose.same_weights_) {
      choice_request.weights_version_ = stream_version_;
    }
  }
  chosen_ = context_.endpoints_.Choose(choice_request, now);
  Perform(tracker_.OnChosen(
      chosen_ ? std::optional(chosen_->row_.id_) : std::nullopt, now));
}

void DirectRequest::Send(const routing::SendAttempt& send) {
  const auto now = context_.loop_.Now();
  attempt_ = {};
  attempt_.number_ = send.attempt_;
  attempt_.choice_ = *chosen_;
  attempt_.sent_at_ = now;
  attempt_.last_data_at_ = now;
  attempt_.version_constraint_ = version_constraint_;
  attempt_.span_ =
      context_.tracer_.Begin("entry.attempt", span_.context_.ToHeader());
  const auto& row = attempt_.choice_.row_;
  tried_endpoints_.push_back(row.id_);
  AttemptTerms terms;
  terms.instance_id_ = row.id_;
  terms.weights_version_ =
      request_.engine_ ? row.weights_version_ : std::nullopt;
  terms.account_ = request_.account_;
  terms.time_left_ = std::max<core::Duration>(
      request_.deadline_ - now - kReturnTransitTime, milliseconds(1));
  terms.priority_ =
      routing::EnginePriority(request_.priority_, request_.on_time_);
  if (tracker_.forwarded()) {
    // The caller already has a part of the stream and waits for the next event.
    terms.priority_ = 0;
    terms.resume_after_ = events_.last_id();
  }
  HttpSendOptions options;
  options.keep_alive_ = true;
  options.max_idle_time_ =
      request_.route_.may_retry() ? kMaxIdleTime : kMaxIdleTimeNotRepeatable;
  options.connect_timeout_ = kConnectTimeout;
  options.idle_timeout_ = request_.deadline_ - now + milliseconds(1000);
  // While the connection is being opened, the endpoint may be removed from the
  // list or refuse another request, and the request may be quarantined.
  // MayRetry() has already considered the last attempt, so none is passed here.
  options.may_send_ = [this, self = shared_from_this(),
                       incarnation = row.incarnation()] {
    const auto now = context_.loop_.Now();
    return context_.endpoints_.AcceptsRequests(incarnation, now) &&
           !context_.endpoints_.retry_times().Defers(incarnation, now) &&
           context_.quarantine_.MaySend(request_.identity_, std::nullopt);
  };
  options.matches_request_ =
      [this, self = shared_from_this()](const HttpHeaders& headers) {
        return context_.adapter_.requests_.matches_request_(
            headers, request_.caller_.id_);
      };
  const auto number = send.attempt_;
  auto http = context_.adapter_.requests_.write_attempt_(
      exchange_->request(), request_.caller_, terms);
  if (context_.tracer_.exporting()) {
    // Makes the endpoint's span a child of the attempt's span.
    std::erase_if(http.headers_, [](const HttpHeader& header) {
      return header.first == kTraceparent;
    });
    http.headers_.emplace_back(kTraceparent,
                               attempt_.span_.context_.ToHeader());
  }
  const auto self = shared_from_this();
  HttpCallbacks callbacks{
      .on_headers_ =
          [self, number](int status, const HttpHeaders& headers) {
            self->OnHead(number, status, headers);
          },
      .on_data_ = [self, number](
                      std::string_view bytes) { self->OnData(number, bytes); },
      .on_end_ = [self, number](HttpEnd end) { self->OnEnd(number, end); }};
  context_.log_.Write(
      core::EventNumber::kRequestSent,
      {{"request", request_.caller_.id_},
       {"content", request_.identity_.content_.ToHex()},
       {"parts", Join(request_.caller_.shared_prompt_parts_)},
       {"attempt", std::to_string(number)},
       {"endpoint", row.id_.value()},
       {"service", request_.service_},
       {"rules", std::to_string(request_.rules_version_)},
       {"list", std::to_string(context_.endpoints_.revision())},
       {"list_age_ms", Millis(now - context_.endpoints_.as_of())},
       {"weights", std::to_string(row.weights_version_.value_or(0))},
       {"occupied", std::to_string(attempt_.choice_.requests_ahead_)},
       {"rate_limit", RateText(attempt_.choice_.rate_limit_)},
       {"deferred", std::to_string(attempt_.choice_.deferred_)},
       {"report_age_ms", attempt_.choice_.reported_
                             ? Millis(attempt_.choice_.report_age_)
                             : std::string("none")},
       {"on_time", request_.on_time_ ? "yes" : "no"},
       {"predicted_ms", Millis(attempt_.choice_.time_to_first_byte_)},
       {"left_ms", Millis(terms.time_left_)}});
  context_.metrics_.Observe("endpoint_list_age_seconds", {},
                            now - context_.endpoints_.as_of());
  context_.endpoints_.OnSent(row.id_, request_.caller_.prompt_tokens_, now,
                             request_.on_time_);
  attempt_.counted_in_flight_ = true;
  attempt_.call_ =
      context_.http_.Send(ParseAddress(row.address_), http,
                          std::move(callbacks), std::move(options));
  ArmFirstByteTimeout();
}

// If the network path to an endpoint stalls while the endpoint is removed from
// the list, the request could still be delivered long afterwards. The attempt
// is therefore checked until the endpoint's system has acknowledged the
// request.
bool DirectRequest::RemovedBeforeDelivery() {
  const auto now = context_.loop_.Now();
  if (attempt_.delivered_ || now - attempt_.sent_at_ < kTimeoutCheckInterval) {
    return false;
  }
  attempt_.delivered_ = !attempt_.call_->has_unacknowledged_data();
  return !attempt_.delivered_ && !context_.endpoints_.AcceptsRequests(
                                     attempt_.choice_.row_.incarnation(), now);
}

void DirectRequest::ArmFirstByteTimeout() {
  if (ended_ || attempt_.call_ == nullptr) {
    return;
  }
  if (RemovedBeforeDelivery()) {
    attempt_.abandon_reason_ = "endpoint-left";
    OnResponseTimeout();
    return;
  }
  if (!request_.route_.may_retry()) {
    if (!attempt_.delivered_) {
      response_timer_.Once(kTimeoutCheckInterval, [self = shared_from_this()] {
        self->ArmFirstByteTimeout();
      });
    }
    return;
  }
  routing::PendingAttempt pending;
  pending.target_latency_ = request_.route_.target_latency_;
  pending.predicted_time_to_first_byte_ = attempt_.choice_.time_to_first_byte_;
  pending.on_time_ = request_.on_time_;
  pending.sent_at_ = attempt_.sent_at_;
  pending.unresponsive_ =
      context_.endpoints_.IsUnresponsive(attempt_.choice_.row_.id_);
  if (request_.engine_) {
    pending.weights_version_ = attempt_.choice_.row_.weights_version_;
    pending.version_constraint_ = attempt_.version_constraint_;
  }
  const auto now = context_.loop_.Now();
  const auto left = routing::FirstByteDeadline(pending) - now;
  if (left <= core::Duration{}) {
    OnResponseTimeout();
    return;
  }
  response_timer_.Once(
      std::min<core::Duration>(left, kTimeoutCheckInterval),
      [self = shared_from_this()] { self->ArmFirstByteTimeout(); });
}

void DirectRequest::ArmEventTimeout() {
  if (!request_.route_.may_retry() || !request_.route_.streaming_) {
    response_timer_.Cancel();
    return;
  }
  const core::Duration wait = std::max<core::Duration>(
      request_.route_.target_gap_ * kEventGapFactor, kMinEventGapTimeout);
  response_timer_.Once(
      wait, [self = shared_from_this()] { self->OnResponseTimeout(); });
}

void DirectRequest::OnHead(routing::AttemptNumber number, int status,
                           const HttpHeaders& headers) {
  if (!current(number)) {
    return;
  }
  const auto now = context_.loop_.Now();
  attempt_.last_data_at_ = now;
  attempt_.status_ = status;
  attempt_.framing_ = attempt_.call_->framing();
  attempt_.headers_ = headers;
  attempt_.response_head_ =
      context_.adapter_.requests_.read_response_(status, headers);
  attempt_.response_started_ = true;
  context_.endpoints_.OnFirstByte(
      attempt_.choice_.row_.id_, request_.caller_.prompt_tokens_,
      attempt_.sent_at_, attempt_.choice_.time_to_first_byte_, now);
  context_.statements_.OnResponse({.request_ = request_.caller_.id_,
                                   .endpoint_ = attempt_.choice_.row_,
                                   .sent_at_ = attempt_.sent_at_,
                                   .head_ = attempt_.response_head_});
  if (attempt_.response_head_.signed_) {
    context_.quarantine_.OnAnswered(attempt_.choice_.row_);
  }
  const bool success = status >= 200 && status < 300;
  attempt_.streaming_ =
      success && attempt_.response_head_.signed_ && request_.route_.streaming_;
  if (!attempt_.streaming_) {
    response_timer_.Cancel();
    return;
  }
  stream_version_ = attempt_.choice_.row_.weights_version_;
  ArmEventTimeout();
}

void DirectRequest::OnData(routing::AttemptNumber number,
                           std::string_view bytes) {
  if (!current(number)) {
    return;
  }
  attempt_.last_data_at_ = context_.loop_.Now();
  context_.endpoints_.OnProgress(attempt_.choice_.row_.id_,
                                 attempt_.last_data_at_);
  if (!attempt_.streaming_) {
    OnBufferedData(bytes);
    return;
  }
  const auto complete = events_.Append(bytes);
  if (complete.count_ > 0 &&
      tracker_.AcceptResponseBytes(number, complete.count_)) {
    Forward(complete.bytes_);
  }
  ArmEventTimeout();
}

void DirectRequest::OnBufferedData(std::string_view bytes) {
  attempt_.body_.append(bytes);
  if (attempt_.body_.size() <= kMaxBufferedBytes ||
      ClassifyResponse() != routing::AttemptEnd::kComplete) {
    return;
  }
  const auto body = std::exchange(attempt_.body_, {});
  // No event of this response allows to resume it at another endpoint.
  if (tracker_.AcceptResponseBytes(attempt_.number_, 0)) {
    Forward(body);
  }
}

void DirectRequest::Forward(std::string_view bytes) {
  if (!response_started_) {
    response_started_ = true;
    context_.metrics_.Observe("first_byte_seconds",
                              {{"service", request_.service_}},
                              context_.loop_.Now() - request_.received_at_);
    response_unframed_ = attempt_.unframed();
    const auto headers =
        context_.adapter_.requests_.forwarded_headers_(attempt_.headers_);
    if (response_unframed_) {
      exchange_->StartCloseDelimited(attempt_.status_, headers);
    } else {
      exchange_->Start(attempt_.status_, headers);
    }
  }
  exchange_->Write(bytes);
  if (exchange_->pending() > kMaxPendingBytes && attempt_.call_ != nullptr) {
    attempt_.call_->SetReading(false);
    response_timer_.Cancel();
    exchange_->OnDrained([self = shared_from_this()] {
      if (self->attempt_.call_ != nullptr) {
        self->attempt_.call_->SetReading(true);
        self->ArmEventTimeout();
      }
    });
  }
}

void DirectRequest::OnEnd(routing::AttemptNumber number, HttpEnd end) {
  if (!current(number)) {
    return;
  }
  attempt_.call_ = nullptr;
  attempt_.call_end_ = end;
  response_timer_.Cancel();
  if (attempt_.framing_ == HttpFraming::kConnectionEnd) {
    CountUnframedResponse(end);
  }
  if (end == HttpEnd::kNotSent) {
    EndAttempt(routing::AttemptEnd::kNeverSent,
               routing::EndpointOutcome::kFailed);
  } else if (end == HttpEnd::kBroken || IsTruncated()) {
    EndAttempt(routing::AttemptEnd::kLost, routing::EndpointOutcome::kFailed);
  } else {
    EndResponse();
  }
}

bool DirectRequest::IsTruncated() const {
  if (!attempt_.streaming_ || !attempt_.unframed()) {
    return false;
  }
  const bool has_events = tracker_.forwarded();
  const bool inside_event = !events_.partial_event().empty();
  // The caller's response has a framing of its own if an earlier attempt had
  // one; its end would state that this stream is complete.
  const bool end_is_stated = response_started_ && !response_unframed_;
  return !has_events || inside_event || end_is_stated;
}

routing::AttemptEnd DirectRequest::ClassifyResponse() const {
  const auto status = attempt_.status_;
  if (attempt_.response_head_.not_run_ || attempt_.response_head_.mismatched_) {
    return routing::AttemptEnd::kRefusedNotRun;
  }
  if (!attempt_.response_head_.signed_ && status < 300) {
    // An unsigned success was not sent by the endpoint itself.
    return routing::AttemptEnd::kLost;
  }
  return status >= 500 ? routing::AttemptEnd::kFailedRan
                       : routing::AttemptEnd::kComplete;
}

void DirectRequest::EndResponse() {
  const auto end = ClassifyResponse();
  const auto& id = attempt_.choice_.row_.id_;
  switch (end) {
    case routing::AttemptEnd::kComplete:
      EndAttempt(end, routing::EndpointOutcome::kAnswered);
      return;
    case routing::AttemptEnd::kRefusedNotRun:
      if (attempt_.response_head_.mismatched_ &&
          !attempt_.response_head_.instance_id_.empty() &&
          attempt_.response_head_.instance_id_ != id) {
        context_.endpoints_.MarkReplaced(id,
                                         attempt_.response_head_.instance_id_);
      }
      EndAttempt(end, routing::EndpointOutcome::kRefused);
      return;
    case routing::AttemptEnd::kFailedRan:
      last_failure_ = HttpResponse{.end_ = *attempt_.call_end_,
                                   .status_ = attempt_.status_,
                                   .headers_ = attempt_.headers_,
                                   .body_ = attempt_.body_};
      EndAttempt(end, routing::EndpointOutcome::kFailed);
      return;
    default:
      EndAttempt(end, routing::EndpointOutcome::kFailed);
  }
}

void DirectRequest::CountUnframedResponse(HttpEnd end) {
  std::string state = "broken";
  if (end == HttpEnd::kCloseDelimited) {
    state = events_.partial_event().empty() ? "closed" : "inside event";
  }
  context_.metrics_.Count(
      "unframed_responses_total",
      {{"kind", attempt_.streaming_ ? "stream" : "buffered"}, {"end", state}});
}

void DirectRequest::CountAttemptEnded(routing::EndpointOutcome outcome) {
  if (std::exchange(attempt_.counted_in_flight_, false)) {
    context_.endpoints_.OnEnded(attempt_.choice_.row_.id_,
                                request_.caller_.prompt_tokens_,
                                attempt_.sent_at_, attempt_.response_started_,
                                outcome, context_.loop_.Now());
    context_.tracer_.End(attempt_.span_,
                         outcome == routing::EndpointOutcome::kAnswered);
  }
}

void DirectRequest::EndAttempt(routing::AttemptEnd end,
                               routing::EndpointOutcome outcome) {
  const auto now = context_.loop_.Now();
  CountAttemptEnded(outcome);
  if (end != routing::AttemptEnd::kComplete) {
    context_.log_.Write(
        core::EventNumber::kAttemptEnded,
        {{"request", request_.caller_.id_},
         {"content", request_.identity_.content_.ToHex()},
         {"attempt", std::to_string(attempt_.number_)},
         {"endpoint", attempt_.choice_.row_.id_.value()},
         {"end", std::string(routing::ToString(end))},
         {"connection", ConnectionEnd(attempt_.call_end_)},
         {"framing", FramingText(attempt_.framing_)},
         {"partial_event", std::to_string(events_.partial_event().size())},
         {"status", std::to_string(attempt_.status_)},
         {"retry_after_ms", RetryAfterText(attempt_.response_head_)},
         {"given_up", std::string(attempt_.abandon_reason_)},
         {"idle_ms", Millis(now - attempt_.last_data_at_)},
         {"after_ms", Millis(now - attempt_.sent_at_)}});
    context_.metrics_.Count("attempts_ended_total",
                            {{"end", std::string(routing::ToString(end))}});
    events_.DiscardPartialEvent();
  }
  ReportToQuarantine(end);
  Perform(tracker_.OnEnded(attempt_.number_, end, now));
}

void DirectRequest::ReportToQuarantine(routing::AttemptEnd end) {
  const routing::LostAttempt attempt{
      .request_ = request_.identity_,
      .elapsed_ = context_.loop_.Now() - attempt_.sent_at_,
      .service_ = request_.service_};
  const bool may_have_run = end == routing::AttemptEnd::kLost ||
                            end == routing::AttemptEnd::kFailedRan;
  last_possible_run_ = may_have_run ? std::optional(attempt) : std::nullopt;
  // A crash resets connections or closes them.
  const bool connection_lost = attempt_.call_end_ == HttpEnd::kBroken ||
                               attempt_.call_end_ == HttpEnd::kCloseDelimited;
  if (end == routing::AttemptEnd::kLost && connection_lost) {
    context_.quarantine_.OnAttemptLost(attempt, attempt_.choice_.row_);
  }
  // A response without a length looks complete even if the endpoint crashed in
  // the middle of it, so it does not count as a completed run.
  if (end == routing::AttemptEnd::kComplete && !attempt_.unframed()) {
    context_.quarantine_.OnCompleted(request_.identity_);
  }
}

bool DirectRequest::MayRetry(routing::RetryKind kind, core::TimePoint now) {
  if (!context_.quarantine_.MaySend(request_.identity_, last_possible_run_)) {
    retry_rejected_by_ = "quarantine";
    return false;
  }
  retry_rejected_by_ = "retry budget";
  return context_.budget_.TryConsume(kind, now);
}

std::string DirectRequest::RetryDenialText() const {
  const auto denial = tracker_.retry_denial();
  return std::string(denial == routing::RetryDenial::kRejected
                         ? retry_rejected_by_
                         : routing::ToString(denial));
}

void DirectRequest::ReportSilence(core::TimePoint now) const {
  context_.log_.Write(core::EventNumber::kAttemptSilent,
                      {{"request", request_.caller_.id_},
                       {"attempt", std::to_string(attempt_.number_)},
                       {"endpoint", attempt_.choice_.row_.id_.value()},
                       {"idle_ms", Millis(now - attempt_.last_data_at_)},
                       {"forwarded", tracker_.forwarded() ? "yes" : "no"}});
  context_.metrics_.Count(
      "silent_attempts_total",
      {{"phase", attempt_.response_started_ ? "response" : "first byte"}});
}

void DirectRequest::OnResponseTimeout() {
  if (ended_ || attempt_.call_ == nullptr) {
    return;
  }
  if (attempt_.abandon_reason_.empty()) {
    attempt_.abandon_reason_ = "silent";
    ReportSilence(context_.loop_.Now());
  }
  std::exchange(attempt_.call_, nullptr)->Cancel();
  EndAttempt(routing::AttemptEnd::kLost, routing::EndpointOutcome::kFailed);
}

void DirectRequest::OnQuarantined() {
  if (ended_ || attempt_.call_ == nullptr || attempt_.response_started_) {
    return;
  }
  attempt_.abandon_reason_ = "quarantined";
  std::exchange(attempt_.call_, nullptr)->Cancel();
  EndAttempt(routing::AttemptEnd::kLost, routing::EndpointOutcome::kCancelled);
}

void DirectRequest::OnDeadline() {
  past_deadline_ = true;
  // An endpoint that has not responded by the deadline counts as failed; an
  // attempt whose response has started is counted as cancelled by Perform().
  if (attempt_.call_ != nullptr && !attempt_.response_started_) {
    CountAttemptEnded(routing::EndpointOutcome::kFailed);
  }
  Perform(tracker_.Abort());
}

void DirectRequest::OnCallerDisconnected() {
  if (ended_) {
    return;
  }
  context_.log_.Write(core::EventNumber::kCallerDisconnected,
                      {{"request", request_.caller_.id_},
                       {"attempt", std::to_string(attempt_.number_)}});
  Perform(tracker_.Abort());
}

void DirectRequest::Finish(const routing::FinishRequest& finish) {
  if (std::exchange(ended_, true)) {
    return;
  }
  const auto now = context_.loop_.Now();
  deadline_timer_.Cancel();
  response_timer_.Cancel();
  context_.quarantine_.OnEnded(quarantine_token_);
  const bool completed = finish.outcome_ == routing::Outcome::kAnswered;
  if (response_started_) {
    if (completed) {
      // Bytes after the last separator belong to a complete stream.
      exchange_->Write(attempt_.streaming_ ? events_.partial_event()
                                           : attempt_.body_);
    }
    exchange_->End(completed);
    if (!completed) {
      context_.metrics_.Count("responses_cut_total",
                              {{"reason", RetryDenialText()}});
    }
  } else if (completed) {
    RespondWith({.end_ = *attempt_.call_end_,
                 .status_ = attempt_.status_,
                 .headers_ = attempt_.headers_,
                 .body_ = std::move(attempt_.body_)});
  } else {
    RespondFailure(finish);
  }
  const auto elapsed = now - request_.received_at_;
  const std::string outcome(routing::ToString(finish.outcome_));
  context_.metrics_.Observe("request_seconds", {{"outcome", outcome}}, elapsed);
  context_.log_.Write(
      core::EventNumber::kRequestEnded,
      {{"request", request_.caller_.id_},
       {"outcome", outcome},
       {"status", std::to_string(attempt_.status_)},
       {"connection", ConnectionEnd(attempt_.call_end_)},
       {"framing", FramingText(attempt_.framing_)},
       {"partial_event", std::to_string(events_.partial_event().size())},
       {"attempts", std::to_string(tracker_.attempt())},
       {"past_deadline", past_deadline_ ? "yes" : "no"},
       {"cut", response_started_ && !completed ? "yes" : "no"},
       {"no_retry", completed ? "" : RetryDenialText()},
       {"took_ms", Millis(elapsed)}});
  context_.tracer_.End(span_, completed);
  exchange_.reset();
  const auto done = std::move(done_);
  done();
}

void DirectRequest::RespondWith(HttpResponse response) {
  const auto headers =
      context_.adapter_.requests_.forwarded_headers_(response.headers_);
  if (response.end_ != HttpEnd::kCloseDelimited) {
    exchange_->Respond(response.status_, headers, std::move(response.body_));
    return;
  }
  exchange_->StartCloseDelimited(response.status_, headers);
  exchange_->Write(response.body_);
  exchange_->End(true);
}

void DirectRequest::RespondFailure(const routing::FinishRequest& finish) {
  const auto& codec = context_.adapter_.requests_;
  if (finish.outcome_ == routing::Outcome::kFailedRan && last_failure_) {
    RespondWith(*std::move(last_failure_));
    return;
  }
  if (finish.outcome_ == routing::Outcome::kRefusedNotRun) {
    const auto refusal = context_.quarantine_.RefusalOf(request_.identity_);
    auto wait =
        refusal ? std::optional(refusal->retry_after_) : finish.retry_after_;
    if (!refusal && wait) {
      wait = context_.retry_jitter_.Draw(*wait);
    }
    exchange_->Respond(kUnavailable,
                       codec.own_headers_(request_.caller_.id_, wait),
                       refusal ? refusal->reason_ + "\n" : "");
    return;
  }
  exchange_->Respond(past_deadline_ ? kGatewayTimeout : kBadGateway,
                     codec.own_headers_(request_.caller_.id_, std::nullopt),
                     "");
}

}  // namespace chalkwell::daemon::direct
