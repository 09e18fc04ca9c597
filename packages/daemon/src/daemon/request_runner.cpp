// Responses that are not event streams are buffered until they are complete, so
// that a failed attempt can still be retried or reported with an error status.
#include "daemon/request_runner.hpp"

#include <algorithm>
#include <utility>

#include "daemon/problem.hpp"

namespace chalkwell::daemon {
namespace {

constexpr std::string_view kEventStream = "text/event-stream";
constexpr std::string_view kEventSeparator = "\n\n";
/// Longer responses are forwarded as they arrive.
constexpr std::size_t kMaxBufferedBytes = std::size_t{8} << 20;
constexpr int kBadRequest = 400;
constexpr int kServiceUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

routing::RequestTraits MakeTraits(const AdmittedRequest& request,
                                  routing::RetryBudget& budget) {
  return {.repeatable_ = request.repeatable_,
          .resumable_ = request.repeatable_,
          .deadline_ = request.deadline_,
          .max_attempts_ = request.max_attempts_,
          .may_have_run_before_ = request.ticket_.has_value(),
          .may_retry_ =
              [&budget](routing::RetryKind kind, core::TimePoint now) {
                return budget.TryConsume(kind, now);
              },
          .retry_after_ = request.retry_after_};
}

std::uint64_t RemainingMilliseconds(core::TimePoint deadline,
                                    core::TimePoint now) {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
  return static_cast<std::uint64_t>(
      std::max<std::chrono::milliseconds::rep>(1, left.count()));
}

}  // namespace

std::vector<routing::Candidate> AvailableCandidates(
    const membership::ListedEndpoints& roster, const core::Role& role,
    core::TimePoint now, const std::set<core::InstanceId>& excluded) {
  std::vector<routing::Candidate> candidates;
  std::vector<routing::Candidate> saturated;
  for (const auto* view : roster.Available(role, now)) {
    if (excluded.contains(view->instance_.id_)) {
      continue;
    }
    const bool below_share =
        view->in_flight_ < membership::ListedEndpoints::MaxInFlight(*view);
    (below_share ? candidates : saturated)
        .push_back({.id_ = view->instance_.id_,
                    .domain_ = view->instance_.domain_,
                    .in_flight_ = view->in_flight_,
                    .reported_load_ = view->report_->load_,
                    .capacity_ = view->report_->capacity_});
  }
  return candidates.empty() ? saturated : candidates;
}

RequestRunner::RequestRunner(RequestDependencies services,
                             HttpExchangePtr exchange, AdmittedRequest request,
                             std::function<void(routing::Outcome)> on_done)
    : services_(services),
      exchange_(std::move(exchange)),
      request_(std::move(request)),
      on_done_(std::move(on_done)),
      tracker_(MakeTraits(request_, services.budget_)),
      span_(services.tracer_.Begin(
          "entry " + exchange_->request().path_,
          FindHeader(exchange_->request().headers_, "traceparent"))),
      deadline_timer_(services.loop_),
      started_(services.loop_.Now()) {}

void RequestRunner::Start() {
  const auto self = shared_from_this();
  exchange_->OnAbort([weak = weak_from_this()] {
    if (auto runner = weak.lock()) {
      runner->Perform(runner->tracker_.Abort());
    }
  });
  deadline_timer_.Once(request_.deadline_ - services_.loop_.Now(),
                       [self] { self->Perform(self->tracker_.Abort()); });
  services_.budget_.OnRequest();
  Perform(tracker_.Start(services_.loop_.Now()));
}

void RequestRunner::Perform(const routing::RequestActions& actions) {
  for (const auto& action : actions) {
    if (const auto* choose = std::get_if<routing::ChooseEndpoint>(&action)) {
      Choose(choose->same_weights_);
    } else if (const auto* send = std::get_if<routing::SendAttempt>(&action)) {
      Send(*send);
    } else if (std::holds_alternative<routing::CancelAttempt>(action)) {
      if (call_) {
        call_->Cancel();
      }
      services_.links_.roster().OnRequestEnded(endpoint_, false,
                                               services_.loop_.Now());
    } else if (const auto* finish =
                   std::get_if<routing::FinishRequest>(&action)) {
      Finish(*finish);
    }
  }
}

std::optional<core::InstanceId> RequestRunner::ChooseEndpoint(
    bool same_weights) {
  const auto now = services_.loop_.Now();
  auto& roster = services_.links_.roster();
  if (request_.ticket_) {
    // A ticket of the caller is valid only at the endpoint that it was issued
    // for.
    const bool first = tried_endpoints_.empty();
    return first && roster.Find(request_.ticket_->endpoint_) != nullptr
               ? std::optional(request_.ticket_->endpoint_)
               : std::nullopt;
  }
  auto candidates =
      AvailableCandidates(roster, request_.role_, now, tried_endpoints_);
  if (same_weights && !events_forwarded_) {
    return std::nullopt;
  }
  if (same_weights) {
    std::erase_if(candidates, [&](const routing::Candidate& candidate) {
      return roster.Find(candidate.id_)->report_->manifest_ != manifest_;
    });
  }
  return services_.chooser_.Choose(candidates, request_.prefix_);
}

void RequestRunner::Choose(bool same_weights) {
  const auto endpoint = ChooseEndpoint(same_weights);
  if (!endpoint) {
    last_failure_ =
        last_failure_.empty()
            ? "no endpoint of role " + request_.role_.value() +
                  " can accept the request"
            : last_failure_ + "; no other endpoint can accept the request";
  }
  Perform(tracker_.OnChosen(endpoint, services_.loop_.Now()));
}

void RequestRunner::Send(const routing::SendAttempt& send) {
  const auto now = services_.loop_.Now();
  auto& roster = services_.links_.roster();
  endpoint_ = send.endpoint_;
  tried_endpoints_.insert(endpoint_);
  if (send.attempt_ > 1) {
    services_.log_.Write(core::EventNumber::kRequestRetried,
                         {{"request", request_.id_},
                          {"peer", endpoint_.value()},
                          {"reason", last_failure_}});
  }
  const auto* view = roster.Find(endpoint_);
  manifest_ = view != nullptr && view->report_ ? view->report_->manifest_
                                               : core::Digest{};
  ticket_ = request_.ticket_;
  if (!request_.repeatable_ && !ticket_) {
    ticket_ = services_.links_.IssueTicket(endpoint_);
  }
  const auto connection = services_.links_.Connection(endpoint_);
  roster.OnRequestSent(endpoint_, now);
  if (!connection || (!request_.repeatable_ && !ticket_)) {
    EndAttempt(send.attempt_, routing::AttemptEnd::kNeverSent,
               "no open stream to the agent");
    return;
  }
  const auto& http = exchange_->request();
  const RunMessage message{
      .sender_ = services_.self_.value(),
      .request_ = request_.id_,
      .attempt_ = send.attempt_,
      .account_ = request_.account_.value(),
      .method_ = http.method_,
      .path_ = http.path_,
      .content_type_ = std::string(FindHeader(http.headers_, "content-type")),
      .body_ = http.body_,
      .ticket_ = TicketText(),
      .manifest_ = manifest_.empty() ? "" : manifest_.ToHex(),
      .deadline_ms_ = RemainingMilliseconds(request_.deadline_, now),
      .resume_from_ = send.resume_from_,
      .traceparent_ = span_.context_.ToHeader()};
  reader_ = FrameReader();
  begin_frame_ = {};
  buffered_.clear();
  partial_event_.clear();
  resume_from_ = send.resume_from_;
  PeerCallbacks callbacks;
  const auto self = shared_from_this();
  callbacks.on_data_ = [self, attempt = send.attempt_](std::string_view data) {
    for (const auto& frame :
         self->reader_.Read<RunFrame>(data, self->endpoint_.value())) {
      self->OnFrame(attempt, frame);
    }
  };
  callbacks.on_end_ = [self, attempt = send.attempt_](PeerEnd end) {
    self->OnStreamEnd(attempt, end);
  };
  if (request_.repeatable_) {
    callbacks.on_stalled_ = [self, attempt = send.attempt_] {
      self->OnStalled(attempt);
    };
  }
  call_ = connection->Call(std::string(kRunPath), Pack(message),
                           std::move(callbacks));
}

void RequestRunner::OnFrame(routing::AttemptNumber attempt,
                            const RunFrame& frame) {
  if (attempt != tracker_.attempt() || tracker_.finished()) {
    services_.log_.Write(core::EventNumber::kAbandonedResponseDropped,
                         {{"request", request_.id_}});
    return;
  }
  services_.links_.roster().OnLoad(endpoint_, frame.load_, frame.sharers_);
  switch (static_cast<RunFrameKind>(frame.kind_)) {
    case RunFrameKind::kBegin:
      OnResponseBegin(attempt, frame);
      break;
    case RunFrameKind::kData:
      OnResponseData(attempt, frame);
      break;
    case RunFrameKind::kComplete:
      EndAttempt(attempt, routing::AttemptEnd::kComplete, "");
      break;
    case RunFrameKind::kRefused:
      EndAttempt(attempt, routing::AttemptEnd::kRefusedNotRun, frame.reason_);
      break;
    case RunFrameKind::kFailed:
      EndAttempt(attempt, routing::AttemptEnd::kFailedRan, frame.reason_);
      break;
    case RunFrameKind::kUnknown:
      EndAttempt(attempt, routing::AttemptEnd::kLost, frame.reason_);
      break;
  }
}

void RequestRunner::OnResponseBegin(routing::AttemptNumber attempt,
                                    const RunFrame& frame) {
  begin_frame_ = frame;
  const std::string pinned = manifest_.empty() ? "" : manifest_.ToHex();
  // An error response of the backend (4xx) does not come from the model.
  const bool is_success = frame.status_ < kBadRequest;
  const bool weights_match = !is_success || frame.manifest_ == pinned;
  const bool resumes_as_requested = frame.resumed_from_ == resume_from_;
  if (!weights_match) {
    last_failure_ = "endpoint responded with other weights";
  } else if (!resumes_as_requested) {
    last_failure_ = "endpoint did not resume the response where it broke off";
  }
  Perform(tracker_.OnResponseStarted(attempt, weights_match,
                                     services_.loop_.Now()));
}

void RequestRunner::OnResponseData(routing::AttemptNumber attempt,
                                   const RunFrame& frame) {
  if (!first_byte_seen_) {
    first_byte_seen_ = true;
    services_.metrics_.Observe("first_byte_seconds", {},
                               services_.loop_.Now() - started_);
  }
  const bool stream = begin_frame_.content_type_.starts_with(kEventStream);
  if (!stream && !streaming_ &&
      buffered_.size() + frame.data_.size() <= kMaxBufferedBytes) {
    buffered_ += frame.data_;
    return;
  }
  if (stream) {
    ForwardEvents(attempt, frame.data_);
  } else if (tracker_.AcceptResponseBytes(attempt)) {
    StartStreaming();
    exchange_->Write(frame.data_);
  }
}

/// Forwards only complete events, so that another endpoint can resume after any
/// of them.
void RequestRunner::ForwardEvents(routing::AttemptNumber attempt,
                                  std::string_view bytes) {
  partial_event_ += bytes;
  const auto end = partial_event_.rfind(kEventSeparator);
  if (end == std::string::npos) {
    return;
  }
  const auto complete_events =
      partial_event_.substr(0, end + kEventSeparator.size());
  std::uint64_t events = 0;
  for (auto position = complete_events.find(kEventSeparator);
       position != std::string::npos;
       position = complete_events.find(kEventSeparator,
                                       position + kEventSeparator.size())) {
    ++events;
  }
  if (!tracker_.AcceptResponseBytes(attempt, events)) {
    return;
  }
  partial_event_.erase(0, complete_events.size());
  events_forwarded_ = true;
  StartStreaming();
  exchange_->Write(complete_events);
}

void RequestRunner::StartStreaming() {
  if (!streaming_) {
    streaming_ = true;
    exchange_->Start(begin_frame_.status_, ResponseHeaders());
    exchange_->Write(buffered_);
    buffered_.clear();
  }
}

void RequestRunner::OnStreamEnd(routing::AttemptNumber attempt, PeerEnd end) {
  // If no closing frame was received before, the stream broke.
  const auto ended = end == PeerEnd::kNotSent ? routing::AttemptEnd::kNeverSent
                                              : routing::AttemptEnd::kLost;
  if (attempt == tracker_.attempt() && !tracker_.finished()) {
    EndAttempt(attempt, ended, "stream to " + endpoint_.value() + " broke");
  }
}

/// Whether another attempt would be made if the current one ended now.
bool RequestRunner::CanContinueElsewhere() {
  const auto kind = tracker_.forwarded() ? routing::RetryKind::kResume
                                         : routing::RetryKind::kRestart;
  return tracker_.attempt() < request_.max_attempts_ &&
         services_.budget_.Available(kind, services_.loop_.Now()) >= 1 &&
         ChooseEndpoint(tracker_.forwarded()).has_value();
}

/// Called for repeatable requests only, for which a second execution does no
/// harm but waiting does. Without an alternative the attempt goes on, since the
/// endpoint may only be slow.
void RequestRunner::OnStalled(routing::AttemptNumber attempt) {
  const bool current = attempt == tracker_.attempt() && !tracker_.finished();
  if (!current || !CanContinueElsewhere()) {
    return;
  }
  const auto stalled = std::exchange(call_, nullptr);
  EndAttempt(attempt, routing::AttemptEnd::kLost,
             endpoint_.value() + " did not reply to a ping in time");
  stalled->Cancel();
}

void RequestRunner::EndAttempt(routing::AttemptNumber attempt,
                               routing::AttemptEnd end,
                               const std::string& reason) {
  if (attempt != tracker_.attempt() || tracker_.finished()) {
    return;
  }
  const bool endpoint_failed = end == routing::AttemptEnd::kFailedRan ||
                               end == routing::AttemptEnd::kLost ||
                               end == routing::AttemptEnd::kNeverSent;
  const auto now = services_.loop_.Now();
  services_.links_.roster().OnRequestEnded(endpoint_, endpoint_failed, now);
  last_failure_ = reason;
  const auto self = shared_from_this();
  Perform(tracker_.OnEnded(attempt, end, now));
}

void RequestRunner::Finish(const routing::FinishRequest& finish) {
  const auto self = shared_from_this();
  deadline_timer_.Cancel();
  const bool is_answered = finish.outcome_ == routing::Outcome::kAnswered;
  if (is_answered) {
    SendResponse();
  } else {
    ReportFailure(finish);
  }
  services_.tracer_.End(span_, is_answered);
  services_.metrics_.Count(
      "requests_total",
      {{"outcome", std::string(routing::ToString(finish.outcome_))}});
  services_.metrics_.Observe("request_seconds", {},
                             services_.loop_.Now() - started_);
  const auto on_done = std::exchange(on_done_, nullptr);
  if (on_done) {
    on_done(finish.outcome_);
  }
  // Breaks a reference cycle: the task of the deadline timer owns this object.
  services_.loop_.Post([self] { self->deadline_timer_.Once({}, [] {}); });
}

void RequestRunner::SendResponse() {
  if (streaming_) {
    exchange_->End(true);
    return;
  }
  exchange_->Respond(begin_frame_.status_, ResponseHeaders(),
                     std::move(buffered_));
}

void RequestRunner::ReportFailure(const routing::FinishRequest& finish) {
  Problem problem{.status_ = kServiceUnavailable,
                  .title_ = std::string(routing::ToString(finish.outcome_)),
                  .detail_ = last_failure_,
                  .event_ = core::EventNumber::kRequestRefused,
                  .outcome_ = finish.outcome_,
                  .retry_after_ = finish.retry_after_,
                  .request_ = request_.id_,
                  .ticket_ = TicketText()};
  if (finish.outcome_ == routing::Outcome::kFailedRan) {
    problem.status_ = kBadGateway;
    problem.event_ = core::EventNumber::kRequestFailed;
  } else if (finish.outcome_ == routing::Outcome::kUnknown) {
    problem.status_ = kGatewayTimeout;
    problem.event_ = core::EventNumber::kRequestUnknown;
  }
  services_.log_.Write(problem.event_, {{"request", request_.id_},
                                        {"peer", endpoint_.value()},
                                        {"reason", last_failure_}});
  if (streaming_) {
    exchange_->Write("event: error\ndata: " + ToJson(problem) + "\n\n");
    exchange_->End(false);
    return;
  }
  SendProblem(*exchange_, problem);
}

HttpHeaders RequestRunner::ResponseHeaders() const {
  HttpHeaders headers{{"content-type", begin_frame_.content_type_},
                      {"x-request-id", request_.id_},
                      {"x-chalkwell-endpoint", endpoint_.value()},
                      {"traceparent", span_.context_.ToHeader()}};
  if (!begin_frame_.manifest_.empty()) {
    headers.emplace_back("x-chalkwell-weights", begin_frame_.manifest_);
  }
  if (ticket_) {
    headers.emplace_back("idempotency-key", TicketText());
  }
  return headers;
}

std::string RequestRunner::TicketText() const {
  return ticket_ ? routing::ToString(*ticket_) : "";
}

}  // namespace chalkwell::daemon
