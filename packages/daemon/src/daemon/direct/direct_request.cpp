// Carries out the attempts and the outcome that the request tracker decides on.
#include "daemon/direct/direct_request.hpp"

#include <algorithm>
#include <array>
#include <cctype>
#include <utility>

#include "chalkwell/routing/first_byte_timeout.hpp"
#include "chalkwell/routing/stream_admission.hpp"

namespace chalkwell::daemon::direct {
namespace {

using std::chrono::milliseconds;

constexpr std::string_view kTraceparent = "traceparent";
constexpr std::string_view kEventStream = "text/event-stream";
/// Cause of an attempt beside silent ones, as logged and counted.
constexpr std::string_view kSilentCause = "silent";
constexpr int kBadGateway = 502;
constexpr int kUnavailable = 503;
constexpr int kGatewayTimeout = 504;
/// A response that is not a stream is buffered up to this size and forwarded
/// once it is complete, so that the request can be retried if the connection
/// breaks. Larger responses are forwarded as they arrive.
constexpr std::size_t kMaxBufferedBytes = std::size_t{64} << 10;
/// A response that must not be forwarded, such as an error, and a single event
/// end their attempt when they are larger: they may never end.
constexpr std::size_t kMaxHeldBytes = std::size_t{256} << 10;
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
/// Interval at which an attempt without a response, or a silent one, is
/// checked: its endpoint may have become unresponsive, or have been removed
/// from the list, and another endpoint may have become available.
constexpr auto kCheckInterval = milliseconds(100);
/// A stream is silent when no event arrives for this many times the target gap
/// between events, but not before kMinEventGapTimeout.
constexpr int kEventGapFactor = 2;
constexpr auto kMinEventGapTimeout = milliseconds(800);
/// Subtracted from the time that the endpoint gets, so that the response can
/// still reach this process if the endpoint uses all of it.
constexpr auto kReturnTransitTime = milliseconds(5);

/// Whether callers take a status as a promise that the request was not run.
bool PromisesNotRun(int status) {
  static constexpr auto kPromises = std::to_array({408, 421, 429, 503});
  return std::ranges::find(kPromises, status) != kPromises.end();
}

/// Whether a response on a streaming route consists of events.
bool IsEventStream(const HttpHeaders& headers) {
  const auto type = FindHeader(headers, "content-type");
  return type.empty() ||
         std::ranges::equal(type.substr(0, kEventStream.size()), kEventStream,
                            {},
                            [](unsigned char c) { return std::tolower(c); });
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
      deadline_timer_(context.loop_) {}

void DirectRequest::Start() {
  const auto now = context_.loop_.Now();
  span_ = context_.tracer_.Begin(
      "entry.request", FindHeader(exchange_->request().headers_, kTraceparent));
  context_.budgets_.OnRequest(request_.service_, now);
  context_.metrics_.Count("requests_admitted_total",
                          {{"service", request_.service_}});
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

void DirectRequest::Stop() { Perform(tracker_.Abort()); }

void DirectRequest::Perform(const routing::RequestActions& actions) {
  for (const auto& action : actions) {
    if (const auto* choose = std::get_if<routing::ChooseEndpoint>(&action)) {
      Choose(*choose);
    } else if (const auto* send = std::get_if<routing::SendAttempt>(&action)) {
      Send(*send);
    } else if (const auto* cancel =
                   std::get_if<routing::CancelAttempt>(&action)) {
      Cancel(cancel->attempt_);
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

DirectRequest::AttemptPtr DirectRequest::NewAttempt(
    routing::AttemptNumber number, core::TimePoint now) {
  auto attempt = std::make_shared<Attempt>(context_.loop_);
  attempt->number_ = number;
  attempt->choice_ = *chosen_;
  attempt->sent_at_ = now;
  attempt->last_data_at_ = now;
  attempt->version_constraint_ = version_constraint_;
  attempt->span_ =
      context_.tracer_.Begin("entry.attempt", span_.context_.ToHeader());
  attempt->events_ = forwarded_events_;
  return attempt;
}

AttemptTerms DirectRequest::TermsFor(const Attempt& attempt,
                                     core::TimePoint now) const {
  const auto& row = attempt.choice_.row_;
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
    terms.resume_after_ = forwarded_events_.last_id();
  }
  return terms;
}

HttpSendOptions DirectRequest::OptionsFor(const Attempt& attempt,
                                          core::TimePoint now) {
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
                       incarnation = attempt.choice_.row_.incarnation()] {
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
  return options;
}

HttpCallbacks DirectRequest::CallbacksFor(const AttemptPtr& attempt) {
  const auto self = shared_from_this();
  return {
      .on_headers_ =
          [self, attempt](int status, const HttpHeaders& headers) {
            self->OnHead(attempt, status, headers);
          },
      .on_data_ = [self, attempt](
                      std::string_view bytes) { self->OnData(attempt, bytes); },
      .on_end_ = [self, attempt](HttpEnd end) { self->OnEnd(attempt, end); }};
}

void DirectRequest::Send(const routing::SendAttempt& send) {
  const auto now = context_.loop_.Now();
  const auto attempt = NewAttempt(send.attempt_, now);
  const auto& row = attempt->choice_.row_;
  tried_endpoints_.push_back(row.id_);
  const auto terms = TermsFor(*attempt, now);
  auto http = context_.adapter_.requests_.write_attempt_(
      exchange_->request(), request_.caller_, terms);
  if (context_.tracer_.exporting()) {
    // Makes the endpoint's span a child of the attempt's span.
    std::erase_if(http.headers_, [](const HttpHeader& header) {
      return header.first == kTraceparent;
    });
    http.headers_.emplace_back(kTraceparent,
                               attempt->span_.context_.ToHeader());
  }
  LogSent(*attempt, terms.time_left_);
  context_.metrics_.Observe("endpoint_list_age_seconds", {},
                            now - context_.endpoints_.as_of());
  context_.endpoints_.OnSent(row.id_, request_.caller_.prompt_tokens_, now,
                             request_.on_time_);
  attempt->counted_in_flight_ = true;
  attempts_.push_back(attempt);
  last_attempt_ = attempt;
  attempt->call_ =
      context_.http_.Send(ParseAddress(row.address_), http,
                          CallbacksFor(attempt), OptionsFor(*attempt, now));
  CheckFirstByte(attempt);
}

// If the network path to an endpoint stalls while the endpoint is removed from
// the list, the request could still be delivered long afterwards. The attempt
// is therefore checked until the endpoint's system has acknowledged the
// request.
bool DirectRequest::RemovedBeforeDelivery(Attempt& attempt,
                                          core::TimePoint now) const {
  if (attempt.delivered_ || now - attempt.sent_at_ < kCheckInterval) {
    return false;
  }
  attempt.delivered_ = !attempt.call_->has_unacknowledged_data();
  return !attempt.delivered_ && !context_.endpoints_.AcceptsRequests(
                                    attempt.choice_.row_.incarnation(), now);
}

routing::PendingAttempt DirectRequest::PendingStateOf(Attempt& attempt) const {
  routing::PendingAttempt pending;
  pending.target_latency_ = request_.route_.target_latency_;
  pending.predicted_time_to_first_byte_ = attempt.choice_.time_to_first_byte_;
  pending.on_time_ = request_.on_time_;
  pending.sent_at_ = attempt.sent_at_;
  pending.unresponsive_ =
      context_.endpoints_.IsUnresponsive(attempt.endpoint());
  if (request_.engine_) {
    pending.weights_version_ = attempt.choice_.row_.weights_version_;
    pending.version_constraint_ = attempt.version_constraint_;
    if (!routing::LatestStart(pending)) {
      attempt.version_constraint_ =
          context_.version_constraint_(request_.engine_->model_);
      pending.version_constraint_ = attempt.version_constraint_;
    }
  }
  return pending;
}

void DirectRequest::CheckFirstByte(const AttemptPtr& attempt) {
  if (!current(*attempt) || attempt->response_started_) {
    return;
  }
  const auto now = context_.loop_.Now();
  if (RemovedBeforeDelivery(*attempt, now)) {
    Abandon(attempt, "endpoint-left", routing::EndpointOutcome::kFailed);
    return;
  }
  core::Duration wait = kCheckInterval;
  if (request_.route_.may_retry()) {
    const auto pending = PendingStateOf(*attempt);
    if (const auto last_start = routing::LatestStart(pending);
        last_start && now >= *last_start) {
      Abandon(attempt, "older-weights", routing::EndpointOutcome::kFailed);
      return;
    }
    const auto left = routing::FirstByteDeadline(pending) - now;
    if (left <= core::Duration{}) {
      OnSilent(attempt);
    } else {
      wait = std::min(wait, left);
    }
  } else if (attempt->delivered_) {
    return;
  }
  if (current(*attempt)) {
    attempt->timer_.Once(wait, [self = shared_from_this(), attempt] {
      self->CheckFirstByte(attempt);
    });
  }
}

void DirectRequest::CheckEventGap(const AttemptPtr& attempt) {
  if (!request_.route_.may_retry() || !request_.route_.streaming_) {
    attempt->timer_.Cancel();
    return;
  }
  const core::Duration timeout = std::max<core::Duration>(
      request_.route_.target_gap_ * kEventGapFactor, kMinEventGapTimeout);
  auto wait = attempt->last_data_at_ + timeout - context_.loop_.Now();
  if (wait <= core::Duration{}) {
    OnSilent(attempt);
    wait = kCheckInterval;
  }
  if (current(*attempt)) {
    attempt->timer_.Once(wait, [self = shared_from_this(), attempt] {
      self->CheckEventGap(attempt);
    });
  }
}

void DirectRequest::OnSilent(const AttemptPtr& attempt) {
  const auto now = context_.loop_.Now();
  if (!std::exchange(attempt->silent_, true)) {
    ReportSilence(*attempt, now);
  }
  // An attempt that is not silent yet may still respond.
  if (std::ranges::all_of(
          attempts_, &Attempt::silent_,
          [](const AttemptPtr& each) -> const Attempt& { return *each; })) {
    last_possible_run_ = PossibleRunOf(*attempt);
    last_cause_ = kSilentCause;
    Perform(tracker_.OnSilent(now));
  }
}

void DirectRequest::OnHead(const AttemptPtr& attempt, int status,
                           const HttpHeaders& headers) {
  if (!current(*attempt)) {
    return;
  }
  const auto now = context_.loop_.Now();
  attempt->last_data_at_ = now;
  attempt->silent_ = false;
  attempt->status_ = status;
  attempt->framing_ = attempt->call_->framing();
  attempt->headers_ = headers;
  attempt->response_head_ =
      context_.adapter_.requests_.read_response_(status, headers);
  attempt->response_started_ = true;
  context_.endpoints_.OnFirstByte(
      attempt->endpoint(), request_.caller_.prompt_tokens_, attempt->sent_at_,
      attempt->choice_.time_to_first_byte_, now);
  context_.statements_.OnResponse({.request_ = request_.caller_.id_,
                                   .endpoint_ = attempt->choice_.row_,
                                   .sent_at_ = attempt->sent_at_,
                                   .head_ = attempt->response_head_});
  if (attempt->response_head_.signed_) {
    context_.quarantine_.OnAnswered(attempt->choice_.row_);
  }
  const bool success = status >= 200 && status < 300;
  attempt->streaming_ = success && attempt->response_head_.signed_ &&
                        request_.route_.streaming_ && IsEventStream(headers);
  if (attempt->streaming_) {
    CheckEventGap(attempt);
  } else {
    attempt->timer_.Cancel();
  }
}

void DirectRequest::OnData(const AttemptPtr& attempt, std::string_view bytes) {
  if (!current(*attempt)) {
    return;
  }
  if (!attempt->streaming_) {
    RecordProgress(*attempt);
    OnBufferedData(attempt, bytes);
    return;
  }
  const auto complete = attempt->events_.Append(bytes);
  if (attempt->events_.partial_event().size() > kMaxHeldBytes) {
    EndOversized(attempt);
    return;
  }
  // Bytes that complete no event may be anything.
  if (complete.count_ > 0) {
    RecordProgress(*attempt);
    Perform(tracker_.Select(attempt->number_));
    if (tracker_.AcceptResponseBytes(attempt->number_, complete.count_)) {
      forwarded_events_ = attempt->events_;
      forwarded_events_.DiscardPartialEvent();
      Forward(attempt, complete.bytes_);
    }
  }
}

void DirectRequest::RecordProgress(Attempt& attempt) {
  attempt.last_data_at_ = context_.loop_.Now();
  attempt.silent_ = false;
  context_.endpoints_.OnProgress(attempt.endpoint(), attempt.last_data_at_);
}

void DirectRequest::EndOversized(const AttemptPtr& attempt) {
  attempt->abandon_reason_ = "response-too-large";
  std::exchange(attempt->call_, nullptr)->Cancel();
  // Its head may state that the request was not run.
  const bool refused =
      ClassifyResponse(*attempt) == routing::AttemptEnd::kRefusedNotRun;
  EndAttempt(attempt,
             refused ? routing::AttemptEnd::kRefusedNotRun
                     : routing::AttemptEnd::kLost,
             routing::EndpointOutcome::kFailed);
}

void DirectRequest::OnBufferedData(const AttemptPtr& attempt,
                                   std::string_view bytes) {
  attempt->body_.append(bytes);
  if (attempt->body_.size() <= kMaxBufferedBytes) {
    return;
  }
  if (ClassifyResponse(*attempt) != routing::AttemptEnd::kComplete) {
    if (attempt->body_.size() > kMaxHeldBytes) {
      EndOversized(attempt);
    }
    return;
  }
  Perform(tracker_.Select(attempt->number_));
  // No event of this response allows to resume it at another endpoint.
  if (tracker_.AcceptResponseBytes(attempt->number_, 0)) {
    Forward(attempt, std::exchange(attempt->body_, {}));
  }
}

void DirectRequest::Forward(const AttemptPtr& attempt, std::string_view bytes) {
  if (!response_started_) {
    response_started_ = true;
    context_.metrics_.Observe("first_byte_seconds",
                              {{"service", request_.service_}},
                              context_.loop_.Now() - request_.received_at_);
    stream_version_ = attempt->choice_.row_.weights_version_;
    response_unframed_ = attempt->unframed();
    const auto headers =
        context_.adapter_.requests_.forwarded_headers_(attempt->headers_);
    if (response_unframed_) {
      exchange_->StartCloseDelimited(attempt->status_, headers);
    } else {
      exchange_->Start(attempt->status_, headers);
    }
  }
  exchange_->Write(bytes);
  if (exchange_->pending() > kMaxPendingBytes && attempt->call_ != nullptr) {
    PauseUntilDrained(attempt);
  }
}

void DirectRequest::PauseUntilDrained(const AttemptPtr& attempt) {
  attempt->call_->SetReading(false);
  attempt->timer_.Cancel();
  exchange_->OnDrained([self = shared_from_this(), attempt] {
    if (self->current(*attempt)) {
      attempt->call_->SetReading(true);
      attempt->last_data_at_ = self->context_.loop_.Now();
      self->CheckEventGap(attempt);
    }
  });
}

void DirectRequest::OnEnd(AttemptPtr ended, HttpEnd end) {
  const auto attempt = std::move(ended);
  if (!current(*attempt)) {
    return;
  }
  attempt->call_ = nullptr;
  attempt->call_end_ = end;
  if (attempt->unframed()) {
    CountUnframedResponse(*attempt, end);
  }
  if (end == HttpEnd::kNotSent) {
    EndAttempt(attempt, routing::AttemptEnd::kNeverSent,
               routing::EndpointOutcome::kFailed);
  } else if (end == HttpEnd::kBroken || IsTruncated(*attempt)) {
    EndAttempt(attempt, routing::AttemptEnd::kLost,
               routing::EndpointOutcome::kFailed);
  } else {
    EndResponse(attempt);
  }
}

bool DirectRequest::IsTruncated(const Attempt& attempt) const {
  if (!attempt.streaming_) {
    return false;
  }
  if (attempt.events_.inside_event()) {
    return true;
  }
  if (!attempt.unframed()) {
    return false;
  }
  const bool has_events = tracker_.forwarded();
  // The caller's response has a framing of its own if an earlier attempt had
  // one; its end would state that this stream is complete.
  const bool end_is_stated = response_started_ && !response_unframed_;
  const bool may_continue = attempts_.size() > 1;
  return !has_events || end_is_stated || may_continue;
}

routing::AttemptEnd DirectRequest::ClassifyResponse(
    const Attempt& attempt) const {
  const auto& head = attempt.response_head_;
  if (head.not_run_ || head.mismatched_) {
    return routing::AttemptEnd::kRefusedNotRun;
  }
  if (!head.signed_ && attempt.status_ < 300) {
    // An unsigned success was not sent by the endpoint itself.
    return routing::AttemptEnd::kLost;
  }
  if (tracker_.forwarded() && request_.route_.streaming_ &&
      !attempt.streaming_) {
    // Only a stream can continue the one that the caller has a part of.
    return routing::AttemptEnd::kFailedRan;
  }
  return attempt.status_ >= 500 || PromisesNotRun(attempt.status_)
             ? routing::AttemptEnd::kFailedRan
             : routing::AttemptEnd::kComplete;
}

void DirectRequest::EndResponse(const AttemptPtr& attempt) {
  const auto end = ClassifyResponse(*attempt);
  const auto& head = attempt->response_head_;
  const auto& id = attempt->endpoint();
  switch (end) {
    case routing::AttemptEnd::kComplete:
      EndAttempt(attempt, end, routing::EndpointOutcome::kAnswered);
      return;
    case routing::AttemptEnd::kRefusedNotRun:
      if (head.mismatched_ && !head.instance_id_.empty() &&
          head.instance_id_ != id) {
        context_.endpoints_.MarkReplaced(id, head.instance_id_);
      }
      EndAttempt(attempt, end, routing::EndpointOutcome::kRefused);
      return;
    case routing::AttemptEnd::kFailedRan:
      last_failure_ = HttpResponse{.end_ = *attempt->call_end_,
                                   .status_ = attempt->status_,
                                   .headers_ = attempt->headers_,
                                   .body_ = attempt->body_};
      EndAttempt(attempt, end, routing::EndpointOutcome::kFailed);
      return;
    default:
      EndAttempt(attempt, end, routing::EndpointOutcome::kFailed);
  }
}

void DirectRequest::CountAttemptEnded(Attempt& attempt,
                                      routing::EndpointOutcome outcome) {
  if (std::exchange(attempt.counted_in_flight_, false)) {
    context_.endpoints_.OnEnded(
        attempt.endpoint(), request_.caller_.prompt_tokens_, attempt.sent_at_,
        attempt.response_started_, outcome, context_.loop_.Now());
    context_.tracer_.End(attempt.span_,
                         outcome == routing::EndpointOutcome::kAnswered);
  }
}

void DirectRequest::EndAttempt(const AttemptPtr& attempt,
                               routing::AttemptEnd end,
                               routing::EndpointOutcome outcome) {
  CountAttemptEnded(*attempt, outcome);
  attempt->timer_.Cancel();
  std::erase(attempts_, attempt);
  last_attempt_ = attempt;
  if (end != routing::AttemptEnd::kComplete) {
    LogAttemptEnded(*attempt, routing::ToString(end));
  }
  ReportToQuarantine(*attempt, end);
  last_cause_ = routing::ToString(end);
  Perform(tracker_.OnEnded(attempt->number_, end, context_.loop_.Now()));
}

routing::LostAttempt DirectRequest::PossibleRunOf(
    const Attempt& attempt) const {
  return {.request_ = request_.identity_,
          .elapsed_ = context_.loop_.Now() - attempt.sent_at_,
          .service_ = request_.service_};
}

void DirectRequest::ReportToQuarantine(const Attempt& attempt,
                                       routing::AttemptEnd end) {
  const auto possible_run = PossibleRunOf(attempt);
  const bool may_have_run = end == routing::AttemptEnd::kLost ||
                            end == routing::AttemptEnd::kFailedRan;
  last_possible_run_ =
      may_have_run ? std::optional(possible_run) : std::nullopt;
  // A crash resets connections or closes them.
  const bool connection_lost = attempt.call_end_ == HttpEnd::kBroken ||
                               attempt.call_end_ == HttpEnd::kCloseDelimited;
  if (end == routing::AttemptEnd::kLost && connection_lost) {
    context_.quarantine_.OnAttemptLost(possible_run, attempt.choice_.row_);
  }
  // A response without a length looks complete even if the endpoint crashed in
  // the middle of it, so it does not count as a completed run.
  if (end == routing::AttemptEnd::kComplete && !attempt.unframed()) {
    context_.quarantine_.OnCompleted(request_.identity_);
  }
}

bool DirectRequest::MayRetry(routing::RetryKind kind, core::TimePoint now) {
  if (!context_.quarantine_.MaySend(request_.identity_, last_possible_run_)) {
    retry_rejected_by_ = "quarantine";
    return false;
  }
  retry_rejected_by_ = "retry budget";
  const bool allowed =
      context_.budgets_.TryConsume(request_.service_, kind, now);
  if (allowed) {
    retried_after_ = last_cause_;
    CountRetry("retries_total");
  } else if (!std::exchange(retry_denied_, true)) {
    // A silent attempt asks again at each check.
    CountRetry("retries_denied_total");
  }
  return allowed;
}

void DirectRequest::Abandon(const AttemptPtr& attempt, std::string_view reason,
                            routing::EndpointOutcome outcome) {
  attempt->abandon_reason_ = reason;
  std::exchange(attempt->call_, nullptr)->Cancel();
  EndAttempt(attempt, routing::AttemptEnd::kLost, outcome);
}

void DirectRequest::Cancel(routing::AttemptNumber number) {
  const auto found =
      std::ranges::find_if(attempts_, [number](const AttemptPtr& attempt) {
        return attempt->number_ == number;
      });
  if (found == attempts_.end()) {
    return;
  }
  const auto attempt = *found;
  attempts_.erase(found);
  attempt->timer_.Cancel();
  std::exchange(attempt->call_, nullptr)->Cancel();
  CountAttemptEnded(*attempt, routing::EndpointOutcome::kCancelled);
  if (!tracker_.finished()) {
    attempt->abandon_reason_ = "replaced";
    LogAttemptEnded(*attempt, "cancelled");
  }
}

void DirectRequest::OnQuarantined() {
  for (const auto& attempt : std::vector(attempts_)) {
    if (current(*attempt) && !attempt->response_started_) {
      Abandon(attempt, "quarantined", routing::EndpointOutcome::kCancelled);
    }
  }
}

void DirectRequest::OnDeadline() {
  past_deadline_ = true;
  // An endpoint that has not responded by the deadline counts as failed, unless
  // its silence did already; an attempt whose response has started is counted
  // as cancelled by Perform().
  for (const auto& attempt : attempts_) {
    if (!attempt->response_started_ && !attempt->silent_) {
      CountAttemptEnded(*attempt, routing::EndpointOutcome::kFailed);
    }
  }
  Perform(tracker_.Abort());
}

void DirectRequest::OnCallerDisconnected() {
  if (ended_) {
    return;
  }
  context_.log_.Write(core::EventNumber::kCallerDisconnected,
                      {{"request", request_.caller_.id_},
                       {"attempt", std::to_string(tracker_.attempt())}});
  Perform(tracker_.Abort());
}

void DirectRequest::Finish(const routing::FinishRequest& finish) {
  if (std::exchange(ended_, true)) {
    return;
  }
  const auto now = context_.loop_.Now();
  deadline_timer_.Cancel();
  context_.quarantine_.OnEnded(quarantine_token_);
  const bool completed = finish.outcome_ == routing::Outcome::kAnswered;
  if (completed && last_attempt_->streaming_) {
    // Blank lines after the last event.
    last_attempt_->body_ = last_attempt_->events_.partial_event();
  }
  if (response_started_) {
    if (completed) {
      exchange_->Write(last_attempt_->body_);
    }
    exchange_->End(completed);
    if (!completed) {
      context_.metrics_.Count("responses_cut_total",
                              {{"reason", RetryDenialText()}});
    }
  } else if (completed) {
    RespondWith({.end_ = *last_attempt_->call_end_,
                 .status_ = last_attempt_->status_,
                 .headers_ = last_attempt_->headers_,
                 .body_ = std::move(last_attempt_->body_)});
  } else {
    RespondFailure(finish);
  }
  if (tracker_.attempt() > 1) {
    context_.metrics_.Count(
        "retried_requests_total",
        {{"service", request_.service_},
         {"cause", std::string(retried_after_)},
         {"outcome", std::string(routing::ToString(finish.outcome_))}});
  }
  const auto elapsed = now - request_.received_at_;
  context_.metrics_.Observe(
      "request_seconds",
      {{"outcome", std::string(routing::ToString(finish.outcome_))}}, elapsed);
  LogFinished(finish, elapsed);
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
  const bool forwardable =
      last_failure_ && !PromisesNotRun(last_failure_->status_);
  if (finish.outcome_ == routing::Outcome::kFailedRan && forwardable) {
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
