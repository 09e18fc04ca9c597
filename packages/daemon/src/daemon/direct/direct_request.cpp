// The tracker decides attempts and outcome; here they are carried out.
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
/// An answer that is not a stream is passed on once it is whole, so that one
/// that breaks can be asked for again; larger ones go on as they arrive.
constexpr std::size_t kHoldBytes = std::size_t{64} << 10;
/// Bytes that a slow caller may have waiting before the endpoint is held back.
constexpr std::size_t kMaxPending = std::size_t{64} << 10;
/// Time to connect: some round trips between regions and a lost packet.
constexpr auto kConnectTimeout = milliseconds(400);
/// Rest after which a kept connection is not used: repeatable requests can
/// survive a connection that has just been closed, the others can't.
constexpr auto kMaxRest = milliseconds(2500);
constexpr auto kMaxRestOnce = milliseconds(400);
/// An endpoint that is awaited is looked at this often.
constexpr auto kSilenceCheck = milliseconds(100);
/// A pause between the events of a stream is too long after this many times the
/// pause that is in time, and not before the time below.
constexpr int kGapFactor = 2;
constexpr auto kLeastGap = milliseconds(800);
/// Left for the answer to travel back when the endpoint uses all its time.
constexpr auto kTravel = milliseconds(5);

std::string Millis(core::Duration span) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(span).count());
}

/// What became of an attempt's connection, for logs.
std::string ConnectionEnd(const std::optional<HttpEnd>& end) {
  return end ? std::string(ToString(*end)) : "closed by this process";
}

}  // namespace

DirectRequest::DirectRequest(RequestContext& context, HttpExchangePtr exchange,
                             AdmittedDirect request, std::function<void()> done)
    : context_(context),
      exchange_(std::move(exchange)),
      request_(std::move(request)),
      done_(std::move(done)),
      tracker_({.repeatable_ = request_.route_.repeatable(),
                .resumable_ =
                    request_.route_.streaming_ && request_.route_.resumable_,
                .deadline_ = request_.deadline_,
                .max_attempts_ = std::max(1U, request_.route_.max_attempts_),
                .may_retry_ =
                    [this](routing::RetryKind kind, core::TimePoint now) {
                      return MayRepeat(kind, now);
                    }}),
      deadline_(context.loop_),
      silence_(context.loop_) {}

void DirectRequest::Start() {
  const auto now = context_.loop_.Now();
  span_ = context_.tracer_.Begin(
      "entry.request", FindHeader(exchange_->request().headers_, kTraceparent));
  context_.budget_.OnRequest(now);
  quarantine_token_ = context_.quarantine_.OnBegun(
      request_.digest_, request_.deadline_, [weak = weak_from_this()] {
        if (const auto self = weak.lock()) {
          self->OnQuarantined();
        }
      });
  exchange_->OnAbort([self = shared_from_this()] { self->OnCallerGone(); });
  deadline_.Once(request_.deadline_ - now,
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
        CountEnded(routing::EndpointOutcome::kCancelled);
      }
    } else {
      Finish(std::get<routing::FinishRequest>(action));
    }
  }
}

void DirectRequest::Choose(const routing::ChooseEndpoint& choose) {
  const auto now = context_.loop_.Now();
  routing::ChoiceRequest wanted;
  wanted.service_ = request_.service_;
  wanted.prompt_tokens_ = request_.caller_.prompt_tokens_;
  wanted.on_time_ = request_.on_time_;
  wanted.tried_ = tried_;
  wanted.max_in_flight_ = context_.max_in_flight_(request_.service_);
  if (request_.engine_) {
    wanted.engine_ = &*request_.engine_;
    versions_ = context_.versions_(request_.engine_->model_);
    wanted.version_constraint_ = versions_;
    if (choose.same_weights_) {
      wanted.weights_version_ = stream_version_;
    }
  }
  chosen_ = context_.endpoints_.Choose(wanted, now);
  Perform(tracker_.OnChosen(
      chosen_ ? std::optional(chosen_->row_.id_) : std::nullopt, now));
}

void DirectRequest::Send(const routing::SendAttempt& send) {
  const auto now = context_.loop_.Now();
  attempt_ = {};
  attempt_.number_ = send.attempt_;
  attempt_.choice_ = *chosen_;
  attempt_.sent_at_ = now;
  attempt_.versions_ = versions_;
  attempt_.span_ =
      context_.tracer_.Begin("entry.attempt", span_.context_.ToHeader());
  const auto& row = attempt_.choice_.row_;
  tried_.push_back(row.id_);
  AttemptTerms terms;
  terms.incarnation_ = row.id_;
  terms.weights_version_ =
      request_.engine_ ? row.weights_version_ : std::nullopt;
  terms.account_ = request_.account_;
  terms.time_left_ = std::max<core::Duration>(
      request_.deadline_ - now - kTravel, milliseconds(1));
  terms.priority_ =
      routing::EnginePriority(request_.priority_, request_.on_time_);
  if (tracker_.forwarded()) {
    // Its caller has a part of the answer, and waits for the next event.
    terms.priority_ = 0;
    terms.resume_after_ = events_.last_id();
  }
  HttpSendOptions options;
  options.keep_ = true;
  options.max_rest_ = request_.route_.repeatable() ? kMaxRest : kMaxRestOnce;
  options.connect_timeout_ = kConnectTimeout;
  options.silence_ = request_.deadline_ - now + milliseconds(1000);
  // While the connection opens the endpoint may leave, and the request may be
  // quarantined.
  options.may_send_ = [this, self = shared_from_this(),
                       life = row.incarnation()] {
    return context_.endpoints_.AcceptsRequests(life, context_.loop_.Now()) &&
           context_.quarantine_.MayRepeat(request_.digest_, std::nullopt);
  };
  options.is_ours_ = [this,
                      self = shared_from_this()](const HttpHeaders& headers) {
    return context_.adapter_.requests_.matches_request_(headers,
                                                        request_.caller_.id_);
  };
  const auto number = send.attempt_;
  auto http = context_.adapter_.requests_.write_attempt_(
      exchange_->request(), request_.caller_, terms);
  if (context_.tracer_.exports()) {
    // The endpoint's span is a child of the attempt's.
    std::erase_if(http.headers_, [](const HttpHeader& header) {
      return header.first == kTraceparent;
    });
    http.headers_.emplace_back(kTraceparent,
                               attempt_.span_.context_.ToHeader());
  }
  const auto self = shared_from_this();
  HttpCallbacks callbacks{
      .on_head_ =
          [self, number](int status, const HttpHeaders& headers) {
            self->OnHead(number, status, headers);
          },
      .on_data_ = [self, number](
                      std::string_view bytes) { self->OnData(number, bytes); },
      .on_end_ = [self, number](HttpEnd end) { self->OnEnd(number, end); }};
  context_.log_.Write(
      core::EventNumber::kRequestSent,
      {{"request", request_.caller_.id_},
       {"content", request_.digest_.ToHex()},
       {"attempt", std::to_string(number)},
       {"endpoint", row.id_.value()},
       {"service", request_.service_},
       {"rules", std::to_string(request_.rules_version_)},
       {"list", std::to_string(context_.endpoints_.revision())},
       {"list_age_ms", Millis(now - context_.endpoints_.as_of())},
       {"weights", std::to_string(row.weights_version_.value_or(0))},
       {"occupied", std::to_string(attempt_.choice_.requests_ahead_)},
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
  attempt_.counted_ = true;
  attempt_.call_ =
      context_.http_.Send(ParseAddress(row.address_), http,
                          std::move(callbacks), std::move(options));
  ExpectFirstByte();
}

// A path that is silent as the endpoint leaves may deliver the request long
// after; it is looked at until the endpoint has it.
bool DirectRequest::LeftUndelivered() {
  const auto now = context_.loop_.Now();
  if (attempt_.delivered_ || now - attempt_.sent_at_ < kSilenceCheck) {
    return false;
  }
  attempt_.delivered_ = !attempt_.call_->undelivered();
  return !attempt_.delivered_ && !context_.endpoints_.AcceptsRequests(
                                     attempt_.choice_.row_.incarnation(), now);
}

void DirectRequest::ExpectFirstByte() {
  if (ended_ || attempt_.call_ == nullptr) {
    return;
  }
  if (LeftUndelivered()) {
    attempt_.given_up_ = "endpoint-left";
    OnSilence();
    return;
  }
  if (!request_.route_.repeatable()) {
    if (!attempt_.delivered_) {
      silence_.Once(kSilenceCheck,
                    [self = shared_from_this()] { self->ExpectFirstByte(); });
    }
    return;
  }
  routing::PendingAttempt awaited;
  awaited.target_latency_ = request_.route_.target_latency_;
  awaited.predicted_first_byte_ = attempt_.choice_.time_to_first_byte_;
  awaited.on_time_ = request_.on_time_;
  awaited.sent_at_ = attempt_.sent_at_;
  awaited.unresponsive_ =
      context_.endpoints_.IsUnresponsive(attempt_.choice_.row_.id_);
  if (request_.engine_) {
    awaited.weights_version_ = attempt_.choice_.row_.weights_version_;
    awaited.version_constraint_ = attempt_.versions_;
  }
  const auto now = context_.loop_.Now();
  const auto left = routing::FirstByteDeadline(awaited) - now;
  if (left <= core::Duration{}) {
    OnSilence();
    return;
  }
  silence_.Once(std::min<core::Duration>(left, kSilenceCheck),
                [self = shared_from_this()] { self->ExpectFirstByte(); });
}

void DirectRequest::ExpectEvent() {
  if (!request_.route_.repeatable() || !request_.route_.streaming_) {
    silence_.Cancel();
    return;
  }
  const core::Duration wait = std::max<core::Duration>(
      request_.route_.target_gap_ * kGapFactor, kLeastGap);
  silence_.Once(wait, [self = shared_from_this()] { self->OnSilence(); });
}

void DirectRequest::OnHead(routing::AttemptNumber number, int status,
                           const HttpHeaders& headers) {
  if (!current(number)) {
    return;
  }
  const auto now = context_.loop_.Now();
  attempt_.status_ = status;
  attempt_.headers_ = headers;
  attempt_.facts_ = context_.adapter_.requests_.read_response_(status, headers);
  attempt_.answering_ = true;
  context_.endpoints_.OnFirstByte(
      attempt_.choice_.row_.id_, request_.caller_.prompt_tokens_,
      attempt_.sent_at_, attempt_.choice_.time_to_first_byte_, now);
  const bool success = status >= 200 && status < 300;
  attempt_.streams_ =
      success && attempt_.facts_.signed_ && request_.route_.streaming_;
  if (!attempt_.streams_) {
    silence_.Cancel();
    return;
  }
  stream_version_ = attempt_.choice_.row_.weights_version_;
  ExpectEvent();
}

void DirectRequest::OnData(routing::AttemptNumber number,
                           std::string_view bytes) {
  if (!current(number)) {
    return;
  }
  context_.endpoints_.OnProgress(attempt_.choice_.row_.id_,
                                 context_.loop_.Now());
  if (!attempt_.streams_) {
    OnPlainData(bytes);
    return;
  }
  const auto whole = events_.Append(bytes);
  if (whole.count_ > 0 && tracker_.AcceptResponseBytes(number, whole.count_)) {
    Forward(whole.bytes_);
  }
  ExpectEvent();
}

void DirectRequest::OnPlainData(std::string_view bytes) {
  attempt_.body_.append(bytes);
  if (attempt_.body_.size() <= kHoldBytes ||
      EndOfAnswer() != routing::AttemptEnd::kComplete) {
    return;
  }
  const auto body = std::exchange(attempt_.body_, {});
  if (tracker_.AcceptResponseBytes(attempt_.number_, 0)) {
    Forward(body);
  }
}

void DirectRequest::Forward(std::string_view bytes) {
  if (!started_) {
    started_ = true;
    context_.metrics_.Observe("first_byte_seconds",
                              {{"service", request_.service_}},
                              context_.loop_.Now() - request_.received_at_);
    exchange_->Start(
        attempt_.status_,
        context_.adapter_.requests_.forwarded_headers_(attempt_.headers_));
  }
  exchange_->Write(bytes);
  if (exchange_->pending() > kMaxPending && attempt_.call_ != nullptr) {
    attempt_.call_->SetReading(false);
    silence_.Cancel();
    exchange_->OnDrained([self = shared_from_this()] {
      if (self->attempt_.call_ != nullptr) {
        self->attempt_.call_->SetReading(true);
        self->ExpectEvent();
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
  silence_.Cancel();
  if (end == HttpEnd::kNotSent) {
    EndAttempt(routing::AttemptEnd::kNeverSent,
               routing::EndpointOutcome::kFailed);
  } else if (end == HttpEnd::kBroken) {
    EndAttempt(routing::AttemptEnd::kLost, routing::EndpointOutcome::kFailed);
  } else {
    attempt_.unframed_ = end == HttpEnd::kUnframed;
    EndAnswered();
  }
}

routing::AttemptEnd DirectRequest::EndOfAnswer() const {
  const auto status = attempt_.status_;
  if (attempt_.facts_.not_run_ || attempt_.facts_.mismatched_) {
    return routing::AttemptEnd::kRefusedNotRun;
  }
  if (!attempt_.facts_.signed_ && status < 300) {
    // A success that the endpoint did not sign is not its answer.
    return routing::AttemptEnd::kLost;
  }
  return status >= 500 ? routing::AttemptEnd::kFailedRan
                       : routing::AttemptEnd::kComplete;
}

void DirectRequest::EndAnswered() {
  const auto end = EndOfAnswer();
  const auto& id = attempt_.choice_.row_.id_;
  switch (end) {
    case routing::AttemptEnd::kComplete:
      EndAttempt(end, routing::EndpointOutcome::kAnswered);
      return;
    case routing::AttemptEnd::kRefusedNotRun:
      if (attempt_.facts_.mismatched_ &&
          !attempt_.facts_.incarnation_.empty() &&
          attempt_.facts_.incarnation_ != id) {
        context_.endpoints_.MarkReplaced(id, attempt_.facts_.incarnation_);
      }
      EndAttempt(end, routing::EndpointOutcome::kRefused);
      return;
    case routing::AttemptEnd::kFailedRan:
      failure_ = HttpResponse{.end_ = HttpEnd::kWhole,
                              .status_ = attempt_.status_,
                              .headers_ = attempt_.headers_,
                              .body_ = attempt_.body_};
      EndAttempt(end, routing::EndpointOutcome::kFailed);
      return;
    default:
      EndAttempt(end, routing::EndpointOutcome::kFailed);
  }
}

void DirectRequest::CountEnded(routing::EndpointOutcome outcome) {
  if (std::exchange(attempt_.counted_, false)) {
    context_.endpoints_.OnEnded(
        attempt_.choice_.row_.id_, request_.caller_.prompt_tokens_,
        attempt_.sent_at_, attempt_.answering_, outcome, context_.loop_.Now());
    context_.tracer_.End(attempt_.span_,
                         outcome == routing::EndpointOutcome::kAnswered);
  }
}

void DirectRequest::EndAttempt(routing::AttemptEnd end,
                               routing::EndpointOutcome outcome) {
  const auto now = context_.loop_.Now();
  CountEnded(outcome);
  if (end != routing::AttemptEnd::kComplete) {
    context_.log_.Write(core::EventNumber::kAttemptEnded,
                        {{"request", request_.caller_.id_},
                         {"content", request_.digest_.ToHex()},
                         {"attempt", std::to_string(attempt_.number_)},
                         {"endpoint", attempt_.choice_.row_.id_.value()},
                         {"end", std::string(routing::ToString(end))},
                         {"connection", ConnectionEnd(attempt_.call_end_)},
                         {"status", std::to_string(attempt_.status_)},
                         {"given_up", std::string(attempt_.given_up_)},
                         {"after_ms", Millis(now - attempt_.sent_at_)}});
    context_.metrics_.Count("attempts_ended_total",
                            {{"end", std::string(routing::ToString(end))}});
    events_.DiscardPartialEvent();
  }
  ReportEnd(end);
  Perform(tracker_.OnEnded(attempt_.number_, end, now));
}

void DirectRequest::ReportEnd(routing::AttemptEnd end) {
  const routing::LostAttempt attempt{request_.digest_,
                                     context_.loop_.Now() - attempt_.sent_at_};
  const bool may_have_run = end == routing::AttemptEnd::kLost ||
                            end == routing::AttemptEnd::kFailedRan;
  last_lost_ = may_have_run ? std::optional(attempt) : std::nullopt;
  if (attempt_.call_end_ == HttpEnd::kBroken) {
    context_.quarantine_.OnLost(attempt, attempt_.choice_.row_);
  }
  // An endpoint that crashes in the middle of an answer without length seems to
  // have completed it.
  if (end == routing::AttemptEnd::kComplete && !attempt_.unframed_) {
    context_.quarantine_.OnAnswered(request_.digest_);
  }
}

bool DirectRequest::MayRepeat(routing::RetryKind kind, core::TimePoint now) {
  return context_.quarantine_.MayRepeat(request_.digest_, last_lost_) &&
         context_.budget_.TryConsume(kind, now);
}

void DirectRequest::OnSilence() {
  if (ended_ || attempt_.call_ == nullptr) {
    return;
  }
  if (attempt_.given_up_.empty()) {
    attempt_.given_up_ = "silent";
  }
  std::exchange(attempt_.call_, nullptr)->Cancel();
  EndAttempt(routing::AttemptEnd::kLost, routing::EndpointOutcome::kFailed);
}

void DirectRequest::OnQuarantined() {
  if (ended_ || attempt_.call_ == nullptr || attempt_.answering_) {
    return;
  }
  attempt_.given_up_ = "quarantined";
  std::exchange(attempt_.call_, nullptr)->Cancel();
  EndAttempt(routing::AttemptEnd::kLost, routing::EndpointOutcome::kCancelled);
}

void DirectRequest::OnDeadline() {
  past_deadline_ = true;
  if (attempt_.call_ != nullptr && !attempt_.answering_) {
    CountEnded(routing::EndpointOutcome::kFailed);
  }
  Perform(tracker_.Abort());
}

void DirectRequest::OnCallerGone() {
  if (ended_) {
    return;
  }
  context_.log_.Write(core::EventNumber::kCallerGone,
                      {{"request", request_.caller_.id_},
                       {"attempt", std::to_string(attempt_.number_)}});
  Perform(tracker_.Abort());
}

void DirectRequest::Finish(const routing::FinishRequest& finish) {
  if (std::exchange(ended_, true)) {
    return;
  }
  const auto now = context_.loop_.Now();
  deadline_.Cancel();
  silence_.Cancel();
  context_.quarantine_.OnEnded(quarantine_token_);
  const bool answered = finish.outcome_ == routing::Outcome::kAnswered;
  if (started_) {
    if (answered) {
      exchange_->Write(attempt_.streams_ ? events_.partial_event()
                                         : attempt_.body_);
    }
    exchange_->End(answered);
  } else if (answered) {
    RespondAnswer();
  } else {
    RespondOwn(finish);
  }
  const auto took = now - request_.received_at_;
  const std::string outcome(routing::ToString(finish.outcome_));
  context_.metrics_.Observe("request_seconds", {{"outcome", outcome}}, took);
  context_.log_.Write(core::EventNumber::kRequestEnded,
                      {{"request", request_.caller_.id_},
                       {"outcome", outcome},
                       {"status", std::to_string(attempt_.status_)},
                       {"attempts", std::to_string(tracker_.attempt())},
                       {"past_deadline", past_deadline_ ? "yes" : "no"},
                       {"took_ms", Millis(took)}});
  context_.tracer_.End(span_, answered);
  exchange_.reset();
  const auto done = std::move(done_);
  done();
}

void DirectRequest::RespondAnswer() {
  const auto headers =
      context_.adapter_.requests_.forwarded_headers_(attempt_.headers_);
  if (!attempt_.unframed_) {
    exchange_->Respond(attempt_.status_, headers, std::move(attempt_.body_));
    return;
  }
  // No more is claimed for it than the endpoint did.
  exchange_->StartUnframed(attempt_.status_, headers);
  exchange_->Write(attempt_.body_);
  exchange_->End(true);
}

void DirectRequest::RespondOwn(const routing::FinishRequest& finish) {
  const auto& codec = context_.adapter_.requests_;
  if (finish.outcome_ == routing::Outcome::kFailedRan && failure_) {
    exchange_->Respond(failure_->status_,
                       codec.forwarded_headers_(failure_->headers_),
                       std::move(failure_->body_));
    return;
  }
  if (finish.outcome_ == routing::Outcome::kRefusedNotRun) {
    const auto refusal = context_.quarantine_.RefusalOf(request_.digest_);
    auto wait =
        refusal ? std::optional(refusal->retry_after_) : finish.retry_after_;
    if (!refusal && wait) {
      wait = context_.retry_spread_.Draw(*wait);
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
