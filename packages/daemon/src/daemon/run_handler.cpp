// All checks precede forwarding, so that a refusal always means "not run".
#include "daemon/run_handler.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace chalkwell::daemon {
namespace {

constexpr int kMinServerErrorStatus = 500;
constexpr std::size_t kMaxCachedResponseBytes = std::size_t{256} << 10;
constexpr std::string_view kEventStream = "text/event-stream";
constexpr std::string_view kStreamEndMarker = "data: [DONE]\n\n";
constexpr std::size_t kMaxInspectedBytes = std::size_t{8} << 20;
/// Request header: number of events after which the engine shall resume a
/// response. Response header: number after which it does.
constexpr std::string_view kResumeHeader = "x-resume-from";
constexpr std::string_view kResumedHeader = "x-resumed-from";
constexpr std::string_view kWeightsHeader = "x-weights-digest";

std::uint64_t ParseNumber(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

RunFrame MakeFrame(RunFrameKind kind, std::string reason = "") {
  RunFrame frame;
  frame.kind_ = static_cast<std::uint8_t>(kind);
  frame.reason_ = std::move(reason);
  return frame;
}

}  // namespace

// The HTTP client reports a connection that closes between two HTTP chunks as
// the end of the response, so a response without a length is complete only if
// its content shows its end.
struct RunHandler::Attempt {
  PeerCallPtr call_;
  RunMessage message_;
  std::optional<routing::ExecutionTicket> ticket_;
  Span span_;
  std::shared_ptr<HttpCall> backend_call_;
  std::unique_ptr<Timer> deadline_timer_;
  /// When it began to wait for a slot; meaningful if it did.
  core::TimePoint queued_at_;
  int status_ = 0;
  bool has_begun_ = false;
  bool is_closed_ = false;
  /// Whether the response has a `content-length`.
  bool has_length_ = false;
  std::string content_type_;
  /// Bytes by which the end of a response without a length is checked: the last
  /// ones of an event stream, or all of another response.
  std::string inspected_;
  /// Frames of the response, cached for retries by the caller.
  std::string cached_frames_;
};

namespace {

template <typename Attempt>
void InspectBytes(Attempt& attempt, std::string_view bytes) {
  if (attempt.has_length_ || attempt.inspected_.size() > kMaxInspectedBytes) {
    return;
  }
  attempt.inspected_.append(bytes);
  const bool stream = attempt.content_type_.starts_with(kEventStream);
  if (stream && attempt.inspected_.size() > kStreamEndMarker.size()) {
    attempt.inspected_.erase(
        0, attempt.inspected_.size() - kStreamEndMarker.size());
  }
}

}  // namespace

RunHandler::RunHandler(Process& process, Address backend,
                       std::uint64_t incarnation, std::uint64_t capacity,
                       std::function<EndpointState()> state,
                       std::function<void(std::size_t)> on_response_bytes,
                       std::function<void()> on_idle)
    : process_(process),
      backend_(std::move(backend)),
      state_(std::move(state)),
      on_response_bytes_(std::move(on_response_bytes)),
      on_idle_(std::move(on_idle)),
      guard_(process.id(), incarnation),
      slots_({.capacity_ = capacity, .max_waiting_ = capacity}) {}

std::size_t RunHandler::active_entries() const {
  return slots_.active_entries(process_.loop().Now());
}

std::string RunHandler::RefusalReason(const RunMessage& message) const {
  const auto state = state_();
  if (!state.accepting_) {
    return "endpoint accepts no work";
  }
  if (message.manifest_ != state.manifest_) {
    return "endpoint serves other weights";
  }
  return "";
}

void RunHandler::Refuse(const PeerCallPtr& call, std::string reason) const {
  auto frame = MakeFrame(RunFrameKind::kRefused, std::move(reason));
  frame.load_ = slots_.in_use() + slots_.waiting();
  frame.sharers_ = active_entries();
  call->Respond(200, Pack(frame));
}

bool RunHandler::CheckTicket(const PeerCallPtr& call,
                             const RunMessage& message) {
  const auto ticket = routing::ParseTicket(message.ticket_);
  if (!ticket) {
    Refuse(call, "ticket is malformed");
    return false;
  }
  const auto status = guard_.Use(*ticket);
  if (status == routing::TicketStatus::kAccepted) {
    return true;
  }
  if (status == routing::TicketStatus::kResponseCached) {
    call->Respond(200, *guard_.FindCachedResponse(*ticket));
    return false;
  }
  process_.log().Write(
      core::EventNumber::kTicketRefused,
      {{"request", message.request_}, {"ticket", message.ticket_}});
  call->Respond(
      200, Pack(MakeFrame(RunFrameKind::kUnknown,
                          status == routing::TicketStatus::kUsed
                              ? "this idempotency key was used before"
                              : "this idempotency key is of a process that has "
                                "ended, or too old")));
  return false;
}

void RunHandler::Handle(const PeerCallPtr& call) {
  auto attempt = std::make_shared<Attempt>();
  attempt->message_ = Unpack<RunMessage>(call->body(), "run");
  attempt->call_ = call;
  const auto& message = attempt->message_;
  if (!message.ticket_.empty()) {
    if (!CheckTicket(call, message)) {
      return;
    }
    attempt->ticket_ = routing::ParseTicket(message.ticket_);
  }
  if (auto reason = RefusalReason(message); !reason.empty()) {
    Refuse(call, std::move(reason));
    return;
  }
  const auto number = ++last_number_;
  const auto decision = slots_.Offer(number, core::InstanceId(message.sender_),
                                     process_.loop().Now());
  if (decision == routing::SlotDecision::kStart) {
    ForwardToBackend(attempt);
  } else if (decision == routing::SlotDecision::kWait) {
    Enqueue(number, attempt);
  } else {
    Refuse(call, "queue of the endpoint is full");
  }
}

void RunHandler::Enqueue(std::uint64_t number, const AttemptPtr& attempt) {
  queued_.emplace(number, attempt);
  attempt->queued_at_ = process_.loop().Now();
  attempt->call_->OnClosed([this, number] {
    if (slots_.Remove(number)) {
      queued_.erase(number);
    }
  });
  attempt->deadline_timer_ = std::make_unique<Timer>(process_.loop());
  attempt->deadline_timer_->Once(
      std::chrono::milliseconds(attempt->message_.deadline_ms_),
      [this, number] {
        if (slots_.Remove(number)) {
          RefuseQueued(number, "deadline passed before a slot was free");
        }
      });
}

void RunHandler::RefuseQueued(std::uint64_t number, const std::string& reason) {
  const auto entry = queued_.extract(number);
  const auto attempt = entry.mapped();
  attempt->call_->OnClosed([] {});
  Refuse(attempt->call_, reason);
  process_.loop().Post([attempt] { attempt->deadline_timer_.reset(); });
}

void RunHandler::RefuseAllQueued() {
  for (const auto number : slots_.TakeWaiting()) {
    RefuseQueued(number, "endpoint accepts no work");
  }
}

void RunHandler::StartQueued() {
  while (const auto number = slots_.Next()) {
    const auto attempt = queued_.at(*number);
    auto reason = RefusalReason(attempt->message_);
    if (!reason.empty()) {
      slots_.Release();
      RefuseQueued(*number, reason);
      continue;
    }
    queued_.erase(*number);
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
        process_.loop().Now() - attempt->queued_at_);
    auto& deadline_ms = attempt->message_.deadline_ms_;
    const auto waited_ms = static_cast<std::uint64_t>(waited.count());
    deadline_ms = deadline_ms > waited_ms ? deadline_ms - waited_ms : 1;
    ForwardToBackend(attempt);
  }
}

void RunHandler::ForwardToBackend(const AttemptPtr& attempt) {
  const auto& message = attempt->message_;
  process_.shutdown().OnWorkAccepted();
  attempt->span_ =
      process_.tracer().Begin("agent " + message.path_, message.traceparent_);
  attempt->call_->OnClosed([this, attempt] {
    // The entry abandoned the attempt: it is cancelled at the backend, unless
    // the response is to be cached for a retry by the caller.
    if (!attempt->ticket_) {
      CloseAttempt(attempt, MakeFrame(RunFrameKind::kUnknown));
    }
  });
  attempt->deadline_timer_ = std::make_unique<Timer>(process_.loop());
  attempt->deadline_timer_->Once(
      std::chrono::milliseconds(message.deadline_ms_), [this, attempt] {
        CloseAttempt(attempt,
                     MakeFrame(RunFrameKind::kUnknown, "deadline passed"));
      });
  attempt->call_->Start(200);
  HttpRequest request{
      .method_ = message.method_,
      .path_ = message.path_,
      .headers_ = {{"content-type", message.content_type_},
                   {"x-request-id", message.request_},
                   {"x-attempt", std::to_string(message.attempt_)},
                   {"x-client-account", message.account_},
                   {"traceparent", attempt->span_.context_.ToHeader()}},
      .body_ = message.body_};
  if (message.resume_from_ > 0) {
    request.headers_.emplace_back(kResumeHeader,
                                  std::to_string(message.resume_from_));
  }
  HttpCallbacks callbacks;
  callbacks.on_headers_ = [this, attempt](int status,
                                          const HttpHeaders& headers) {
    OnResponseHead(attempt, status, headers);
  };
  callbacks.on_data_ = [this, attempt](std::string_view bytes) {
    OnResponseData(attempt, bytes);
  };
  callbacks.on_end_ = [this, attempt](HttpEnd end) {
    OnResponseEnd(attempt, end);
  };
  attempt->backend_call_ =
      process_.http_client().Send(backend_, request, std::move(callbacks));
}

void RunHandler::OnResponseHead(const AttemptPtr& attempt, int status,
                                const HttpHeaders& headers) {
  attempt->status_ = status;
  if (status >= kMinServerErrorStatus || attempt->is_closed_) {
    return;
  }
  attempt->has_begun_ = true;
  attempt->has_length_ = !FindHeader(headers, "content-length").empty();
  attempt->content_type_ = FindHeader(headers, "content-type");
  auto frame = MakeFrame(RunFrameKind::kBegin);
  frame.status_ = status;
  frame.content_type_ = attempt->content_type_;
  frame.manifest_ = FindHeader(headers, kWeightsHeader);
  frame.resumed_from_ = ParseNumber(FindHeader(headers, kResumedHeader));
  const auto packed = Pack(frame);
  attempt->cached_frames_ += packed;
  attempt->call_->Write(packed);
}

void RunHandler::OnResponseData(const AttemptPtr& attempt,
                                std::string_view bytes) {
  if (!attempt->has_begun_ || attempt->is_closed_) {
    return;
  }
  on_response_bytes_(bytes.size());
  InspectBytes(*attempt, bytes);
  auto frame = MakeFrame(RunFrameKind::kData);
  frame.data_ = bytes;
  const auto packed = Pack(frame);
  if (attempt->ticket_ &&
      attempt->cached_frames_.size() < kMaxCachedResponseBytes) {
    attempt->cached_frames_ += packed;
  }
  attempt->call_->Write(packed);
}

bool RunHandler::IsComplete(const Attempt& attempt) {
  if (attempt.has_length_) {
    return true;
  }
  if (attempt.content_type_.starts_with(kEventStream)) {
    return attempt.inspected_.ends_with(kStreamEndMarker);
  }
  return nlohmann::json::accept(attempt.inspected_);
}

void RunHandler::OnResponseEnd(const AttemptPtr& attempt, HttpEnd end) {
  if (end == HttpEnd::kNotSent) {
    CloseAttempt(attempt,
                 MakeFrame(RunFrameKind::kRefused, "backend unreachable"));
  } else if (end == HttpEnd::kBroken) {
    CloseAttempt(attempt, MakeFrame(RunFrameKind::kUnknown,
                                    "connection to the backend broke"));
  } else if (!attempt->has_begun_) {
    CloseAttempt(attempt, MakeFrame(RunFrameKind::kFailed,
                                    "backend returned status " +
                                        std::to_string(attempt->status_)));
  } else if (!IsComplete(*attempt)) {
    CloseAttempt(attempt,
                 MakeFrame(RunFrameKind::kUnknown, "response is incomplete"));
  } else {
    CloseAttempt(attempt, MakeFrame(RunFrameKind::kComplete));
  }
}

void RunHandler::CloseAttempt(const AttemptPtr& attempt, RunFrame frame) {
  if (std::exchange(attempt->is_closed_, true)) {
    return;
  }
  slots_.Release();
  frame.load_ = slots_.in_use() + slots_.waiting();
  frame.sharers_ = active_entries();
  const auto packed = Pack(frame);
  const bool complete =
      static_cast<RunFrameKind>(frame.kind_) == RunFrameKind::kComplete;
  if (complete && attempt->ticket_ &&
      attempt->cached_frames_.size() < kMaxCachedResponseBytes) {
    guard_.CacheResponse(*attempt->ticket_, attempt->cached_frames_ + packed);
  }
  attempt->call_->Write(packed);
  attempt->call_->End();
  attempt->call_->OnClosed([] {});
  if (attempt->backend_call_) {
    attempt->backend_call_->Cancel();
  }
  process_.tracer().End(attempt->span_, complete);
  process_.loop().Post([attempt] { attempt->deadline_timer_.reset(); });
  process_.shutdown().OnWorkFinished();
  StartQueued();
  if (slots_.in_use() == 0) {
    on_idle_();
  }
}

}  // namespace chalkwell::daemon
