// Performs the tracker's actions. Answers that are not event streams are held
// until whole, so that a failure can still be retried or told plainly.
#include "daemon/request_runner.hpp"

#include <algorithm>
#include <utility>

#include "daemon/problem.hpp"

namespace chalkwell::daemon {
namespace {

constexpr std::string_view kEventStream = "text/event-stream";
constexpr std::string_view kEventEnd = "\n\n";
/// Longer answers are passed on as they come.
constexpr std::size_t kMaxHeld = std::size_t{8} << 20;
constexpr int kBadRequest = 400;
constexpr int kServiceUnavailable = 503;
constexpr int kBadGateway = 502;
constexpr int kGatewayTimeout = 504;

routing::RequestTraits TraitsOf(const AdmittedRequest& request,
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

std::uint64_t MillisecondsLeft(core::TimePoint deadline, core::TimePoint now) {
  const auto left =
      std::chrono::duration_cast<std::chrono::milliseconds>(deadline - now);
  return static_cast<std::uint64_t>(
      std::max<std::chrono::milliseconds::rep>(1, left.count()));
}

}  // namespace

std::vector<routing::Candidate> CandidatesOf(
    const membership::Roster& roster, const core::Role& role,
    core::TimePoint now, const std::set<core::InstanceId>& but) {
  std::vector<routing::Candidate> candidates;
  std::vector<routing::Candidate> full;
  for (const auto* view : roster.Available(role, now)) {
    if (but.contains(view->instance_.id_)) {
      continue;
    }
    const bool has_room =
        view->in_flight_ < membership::Roster::MaxInFlight(*view);
    (has_room ? candidates : full)
        .push_back({.id_ = view->instance_.id_,
                    .domain_ = view->instance_.domain_,
                    .in_flight_ = view->in_flight_,
                    .reported_load_ = view->report_->load_,
                    .capacity_ = view->report_->capacity_});
  }
  return candidates.empty() ? full : candidates;
}

RequestRunner::RequestRunner(RequestServices services, HttpExchangePtr exchange,
                             AdmittedRequest request,
                             std::function<void(routing::Outcome)> on_done)
    : services_(services),
      exchange_(std::move(exchange)),
      request_(std::move(request)),
      on_done_(std::move(on_done)),
      tracker_(TraitsOf(request_, services.budget_)),
      span_(services.tracer_.Begin(
          "entry " + exchange_->request().path_,
          FindHeader(exchange_->request().headers_, "traceparent"))),
      deadline_(services.loop_),
      started_(services.loop_.Now()) {}

void RequestRunner::Start() {
  const auto self = shared_from_this();
  exchange_->OnAbort([weak = weak_from_this()] {
    if (auto held = weak.lock()) {
      held->Perform(held->tracker_.Abort());
    }
  });
  deadline_.Once(request_.deadline_ - services_.loop_.Now(),
                 [self] { self->Perform(self->tracker_.Abort()); });
  services_.budget_.OnRequest(services_.loop_.Now());
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
    // A caller's ticket runs where it was minted or nowhere.
    const bool first = tried_.empty();
    return first && roster.Find(request_.ticket_->endpoint_) != nullptr
               ? std::optional(request_.ticket_->endpoint_)
               : std::nullopt;
  }
  auto candidates = CandidatesOf(roster, request_.role_, now, tried_);
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
    last_reason_ =
        last_reason_.empty()
            ? "no endpoint of role " + request_.role_.value() + " can take it"
            : last_reason_ + "; no other endpoint can take it";
  }
  Perform(tracker_.OnChosen(endpoint, services_.loop_.Now()));
}

void RequestRunner::Send(const routing::SendAttempt& send) {
  const auto now = services_.loop_.Now();
  auto& roster = services_.links_.roster();
  endpoint_ = send.endpoint_;
  tried_.insert(endpoint_);
  if (send.attempt_ > 1) {
    services_.log_.Write(core::EventNumber::kRequestRetried,
                         {{"request", request_.id_},
                          {"peer", endpoint_.value()},
                          {"reason", last_reason_}});
  }
  const auto* view = roster.Find(endpoint_);
  manifest_ = view != nullptr && view->report_ ? view->report_->manifest_
                                               : core::Digest{};
  ticket_ = request_.ticket_;
  if (!request_.repeatable_ && !ticket_) {
    ticket_ = services_.links_.MintTicket(endpoint_);
  }
  const auto connection = services_.links_.Connection(endpoint_);
  roster.OnRequestSent(endpoint_, now);
  if (!connection || (!request_.repeatable_ && !ticket_)) {
    EndAttempt(send.attempt_, routing::AttemptEnd::kNeverSent, "no stream");
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
      .deadline_ms_ = MillisecondsLeft(request_.deadline_, now),
      .resume_from_ = send.resume_from_,
      .traceparent_ = span_.context_.ToHeader()};
  reader_ = FrameReader();
  begin_ = {};
  held_.clear();
  part_.clear();
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
      OnBegin(attempt, frame);
      break;
    case RunFrameKind::kData:
      OnData(attempt, frame);
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

void RequestRunner::OnBegin(routing::AttemptNumber attempt,
                            const RunFrame& frame) {
  begin_ = frame;
  const std::string pinned = manifest_.empty() ? "" : manifest_.ToHex();
  // A refusal by the back end (4xx) is no answer of a model.
  const bool is_answer = frame.status_ < kBadRequest;
  const bool right_weights = !is_answer || frame.manifest_ == pinned;
  const bool goes_on = frame.resumed_from_ == resume_from_;
  if (!right_weights) {
    last_reason_ = "endpoint answered from other weights";
  } else if (!goes_on) {
    last_reason_ = "endpoint did not go on where the answer broke off";
  }
  Perform(tracker_.OnResponseStarted(attempt, right_weights,
                                     services_.loop_.Now()));
}

void RequestRunner::OnData(routing::AttemptNumber attempt,
                           const RunFrame& frame) {
  if (!first_byte_seen_) {
    first_byte_seen_ = true;
    services_.metrics_.Observe("first_byte_seconds", {},
                               services_.loop_.Now() - started_);
  }
  const bool stream = begin_.content_type_.starts_with(kEventStream);
  if (!stream && !streaming_ && held_.size() + frame.data_.size() <= kMaxHeld) {
    held_ += frame.data_;
    return;
  }
  if (stream) {
    ForwardEvents(attempt, frame.data_);
  } else if (tracker_.AcceptResponseBytes(attempt)) {
    StartStreaming();
    exchange_->Write(frame.data_);
  }
}

/// Only whole events go to the caller, so that another endpoint can go on after
/// any of them.
void RequestRunner::ForwardEvents(routing::AttemptNumber attempt,
                                  std::string_view bytes) {
  part_ += bytes;
  const auto end = part_.rfind(kEventEnd);
  if (end == std::string::npos) {
    return;
  }
  const auto whole = part_.substr(0, end + kEventEnd.size());
  std::uint64_t events = 0;
  for (auto at = whole.find(kEventEnd); at != std::string::npos;
       at = whole.find(kEventEnd, at + kEventEnd.size())) {
    ++events;
  }
  if (!tracker_.AcceptResponseBytes(attempt, events)) {
    return;
  }
  part_.erase(0, whole.size());
  events_forwarded_ = true;
  StartStreaming();
  exchange_->Write(whole);
}

void RequestRunner::StartStreaming() {
  if (!streaming_) {
    streaming_ = true;
    exchange_->Start(begin_.status_, AnswerHeaders());
    exchange_->Write(held_);
    held_.clear();
  }
}

void RequestRunner::OnStreamEnd(routing::AttemptNumber attempt, PeerEnd end) {
  // Reached without a closing frame only if the stream broke.
  const auto ended = end == PeerEnd::kNotSent ? routing::AttemptEnd::kNeverSent
                                              : routing::AttemptEnd::kLost;
  if (attempt == tracker_.attempt() && !tracker_.finished()) {
    EndAttempt(attempt, ended, "stream to " + endpoint_.value() + " broke");
  }
}

/// Whether the request would go on if its attempt ended now.
bool RequestRunner::CanGoOnElsewhere() {
  const auto kind = tracker_.forwarded() ? routing::RetryKind::kResume
                                         : routing::RetryKind::kRestart;
  return tracker_.attempt() < request_.max_attempts_ &&
         services_.budget_.Available(kind, services_.loop_.Now()) >= 1 &&
         ChooseEndpoint(tracker_.forwarded()).has_value();
}

/// Running twice does no harm here, waiting does; but an endpoint that is only
/// slow still serves better than none.
void RequestRunner::OnStalled(routing::AttemptNumber attempt) {
  const bool current = attempt == tracker_.attempt() && !tracker_.finished();
  if (!current || !CanGoOnElsewhere()) {
    return;
  }
  const auto stalled = std::exchange(call_, nullptr);
  EndAttempt(attempt, routing::AttemptEnd::kLost,
             endpoint_.value() + " leaves a ping unanswered");
  stalled->Cancel();
}

void RequestRunner::EndAttempt(routing::AttemptNumber attempt,
                               routing::AttemptEnd end,
                               const std::string& reason) {
  if (attempt != tracker_.attempt() || tracker_.finished()) {
    return;
  }
  const bool at_fault = end == routing::AttemptEnd::kFailedRan ||
                        end == routing::AttemptEnd::kLost ||
                        end == routing::AttemptEnd::kNeverSent;
  const auto now = services_.loop_.Now();
  services_.links_.roster().OnRequestEnded(endpoint_, at_fault, now);
  last_reason_ = reason;
  const auto self = shared_from_this();
  Perform(tracker_.OnEnded(attempt, end, now));
}

void RequestRunner::Finish(const routing::FinishRequest& finish) {
  const auto self = shared_from_this();
  deadline_.Cancel();
  const bool answered = finish.outcome_ == routing::Outcome::kAnswered;
  if (answered) {
    Answer();
  } else {
    TellProblem(finish);
  }
  services_.tracer_.End(span_, answered);
  services_.metrics_.Count(
      "requests_total",
      {{"outcome", std::string(routing::ToString(finish.outcome_))}});
  services_.metrics_.Observe("request_seconds", {},
                             services_.loop_.Now() - started_);
  const auto done = std::exchange(on_done_, nullptr);
  if (done) {
    done(finish.outcome_);
  }
  // Breaks the cycle of callbacks; the deadline's task refers to this object.
  services_.loop_.Post([self] { self->deadline_.Once({}, [] {}); });
}

void RequestRunner::Answer() {
  if (streaming_) {
    exchange_->End(true);
    return;
  }
  exchange_->Respond(begin_.status_, AnswerHeaders(), std::move(held_));
}

void RequestRunner::TellProblem(const routing::FinishRequest& finish) {
  Problem problem{.status_ = kServiceUnavailable,
                  .title_ = std::string(routing::ToString(finish.outcome_)),
                  .detail_ = last_reason_,
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
                                        {"reason", last_reason_}});
  if (streaming_) {
    exchange_->Write("event: error\ndata: " + ToJson(problem) + "\n\n");
    exchange_->End(false);
    return;
  }
  RespondProblem(*exchange_, problem);
}

HttpHeaders RequestRunner::AnswerHeaders() const {
  HttpHeaders headers{{"content-type", begin_.content_type_},
                      {"x-request-id", request_.id_},
                      {"x-chalkwell-endpoint", endpoint_.value()},
                      {"traceparent", span_.context_.ToHeader()}};
  if (!begin_.manifest_.empty()) {
    headers.emplace_back("x-chalkwell-weights", begin_.manifest_);
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
