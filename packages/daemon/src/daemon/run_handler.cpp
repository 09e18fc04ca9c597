// Checks come before hand-over, so that a refusal is always "not run".
#include "daemon/run_handler.hpp"

#include <algorithm>
#include <charconv>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

namespace chalkwell::daemon {
namespace {

constexpr int kServerError = 500;
constexpr std::size_t kMaxKeptAnswer = std::size_t{256} << 10;
constexpr std::string_view kEventStream = "text/event-stream";
constexpr std::string_view kStreamEnd = "data: [DONE]\n\n";
constexpr std::size_t kMaxSeen = std::size_t{8} << 20;
/// Asks an engine to go on after so many events, and its word that it does.
constexpr std::string_view kResumeHeader = "x-resume-from";
constexpr std::string_view kResumedHeader = "x-resumed-from";
constexpr std::string_view kWeightsHeader = "x-weights-digest";

std::uint64_t NumberIn(std::string_view text) {
  std::uint64_t number = 0;
  std::from_chars(text.data(), text.data() + text.size(), number);
  return number;
}

RunFrame FrameOf(RunFrameKind kind, std::string reason = "") {
  RunFrame frame;
  frame.kind_ = static_cast<std::uint8_t>(kind);
  frame.reason_ = std::move(reason);
  return frame;
}

}  // namespace

// The client takes a connection that closes between two chunks for the end of
// the answer, so an answer without a length must show its own end.
struct RunHandler::Attempt {
  PeerCallPtr call_;
  RunMessage message_;
  std::optional<routing::ExecutionTicket> ticket_;
  Span span_;
  std::shared_ptr<HttpCall> http_;
  std::unique_ptr<Timer> deadline_;
  /// When it began to wait for a slot, if it did.
  core::TimePoint arrived_;
  int status_ = 0;
  bool begun_ = false;
  bool closed_ = false;
  /// Whether the answer says how long it is.
  bool has_length_ = false;
  std::string content_type_;
  /// What the end is judged by: the last bytes of a stream, or all of an
  /// answer without a length.
  std::string seen_;
  /// Frames of the answer, kept for the caller's own retries.
  std::string kept_;
};

namespace {

template <typename Attempt>
void Watch(Attempt& attempt, std::string_view bytes) {
  if (attempt.has_length_ || attempt.seen_.size() > kMaxSeen) {
    return;
  }
  attempt.seen_.append(bytes);
  const bool stream = attempt.content_type_.starts_with(kEventStream);
  if (stream && attempt.seen_.size() > kStreamEnd.size()) {
    attempt.seen_.erase(0, attempt.seen_.size() - kStreamEnd.size());
  }
}

}  // namespace

RunHandler::RunHandler(Process& process, Address backend,
                       std::uint64_t incarnation, std::uint64_t capacity,
                       std::function<EndpointState()> state,
                       std::function<void(std::size_t)> on_live_bytes,
                       std::function<void()> on_idle)
    : process_(process),
      backend_(std::move(backend)),
      state_(std::move(state)),
      on_live_bytes_(std::move(on_live_bytes)),
      on_idle_(std::move(on_idle)),
      guard_(process.id(), incarnation),
      slots_({.capacity_ = capacity, .max_waiting_ = capacity}) {}

std::size_t RunHandler::sharers() const {
  return slots_.active_entries(process_.loop().Now());
}

std::string RunHandler::ReasonToRefuse(const RunMessage& message) const {
  const auto state = state_();
  if (!state.accepting_) {
    return "endpoint takes no work";
  }
  if (message.manifest_ != state.manifest_) {
    return "endpoint serves other weights";
  }
  return "";
}

void RunHandler::Refuse(const PeerCallPtr& call, std::string reason) const {
  auto frame = FrameOf(RunFrameKind::kRefused, std::move(reason));
  frame.load_ = slots_.in_use() + slots_.waiting();
  frame.sharers_ = sharers();
  call->Respond(200, Pack(frame));
}

bool RunHandler::CheckTicket(const PeerCallPtr& call,
                             const RunMessage& message) {
  const auto ticket = routing::ParseTicket(message.ticket_);
  if (!ticket) {
    Refuse(call, "ticket is malformed");
    return false;
  }
  const auto verdict = guard_.Use(*ticket);
  if (verdict == routing::TicketStatus::kAccepted) {
    return true;
  }
  if (verdict == routing::TicketStatus::kResponseCached) {
    call->Respond(200, *guard_.FindCachedResponse(*ticket));
    return false;
  }
  process_.log().Write(
      core::EventNumber::kTicketRefused,
      {{"request", message.request_}, {"ticket", message.ticket_}});
  call->Respond(
      200, Pack(FrameOf(RunFrameKind::kUnknown,
                        verdict == routing::TicketStatus::kUsed
                            ? "this idempotency key was used before"
                            : "this idempotency key is of a process that is "
                              "gone, or too old")));
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
  if (auto reason = ReasonToRefuse(message); !reason.empty()) {
    Refuse(call, std::move(reason));
    return;
  }
  const auto number = ++last_number_;
  const auto verdict = slots_.Offer(number, core::InstanceId(message.sender_),
                                    process_.loop().Now());
  if (verdict == routing::SlotDecision::kStart) {
    Forward(attempt);
  } else if (verdict == routing::SlotDecision::kWait) {
    Wait(number, attempt);
  } else {
    Refuse(call, "endpoint is full");
  }
}

void RunHandler::Wait(std::uint64_t number, const AttemptPtr& attempt) {
  waiting_.emplace(number, attempt);
  attempt->arrived_ = process_.loop().Now();
  attempt->call_->OnClosed([this, number] {
    if (slots_.Remove(number)) {
      waiting_.erase(number);
    }
  });
  attempt->deadline_ = std::make_unique<Timer>(process_.loop());
  attempt->deadline_->Once(
      std::chrono::milliseconds(attempt->message_.deadline_ms_),
      [this, number] {
        if (slots_.Remove(number)) {
          GiveUpWaiting(number, "the deadline passed before it could start");
        }
      });
}

void RunHandler::GiveUpWaiting(std::uint64_t number,
                               const std::string& reason) {
  const auto held = waiting_.extract(number);
  const auto attempt = held.mapped();
  attempt->call_->OnClosed([] {});
  Refuse(attempt->call_, reason);
  process_.loop().Post([attempt] { attempt->deadline_.reset(); });
}

void RunHandler::RefuseWaiting() {
  for (const auto number : slots_.TakeWaiting()) {
    GiveUpWaiting(number, "endpoint takes no work");
  }
}

void RunHandler::StartWaiting() {
  while (const auto number = slots_.Next()) {
    const auto attempt = waiting_.at(*number);
    auto reason = ReasonToRefuse(attempt->message_);
    if (!reason.empty()) {
      slots_.Release();
      GiveUpWaiting(*number, reason);
      continue;
    }
    waiting_.erase(*number);
    const auto waited = std::chrono::duration_cast<std::chrono::milliseconds>(
        process_.loop().Now() - attempt->arrived_);
    auto& deadline = attempt->message_.deadline_ms_;
    const auto gone = static_cast<std::uint64_t>(waited.count());
    deadline = deadline > gone ? deadline - gone : 1;
    Forward(attempt);
  }
}

void RunHandler::Forward(const AttemptPtr& attempt) {
  const auto& message = attempt->message_;
  process_.stop().OnWorkAccepted();
  attempt->span_ =
      process_.tracer().Begin("agent " + message.path_, message.traceparent_);
  attempt->call_->OnClosed([this, attempt] {
    // The entry gave the attempt up: the back end need not go on, unless the
    // answer is kept for the caller's own retry.
    if (!attempt->ticket_) {
      Close(attempt, FrameOf(RunFrameKind::kUnknown));
    }
  });
  attempt->deadline_ = std::make_unique<Timer>(process_.loop());
  attempt->deadline_->Once(
      std::chrono::milliseconds(message.deadline_ms_), [this, attempt] {
        Close(attempt, FrameOf(RunFrameKind::kUnknown, "deadline passed"));
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
  callbacks.on_head_ = [this, attempt](int status, const HttpHeaders& headers) {
    OnHead(attempt, status, headers);
  };
  callbacks.on_data_ = [this, attempt](std::string_view bytes) {
    OnData(attempt, bytes);
  };
  callbacks.on_end_ = [this, attempt](HttpEnd end) { OnEnd(attempt, end); };
  attempt->http_ =
      process_.http().Send(backend_, request, std::move(callbacks));
}

void RunHandler::OnHead(const AttemptPtr& attempt, int status,
                        const HttpHeaders& headers) {
  attempt->status_ = status;
  if (status >= kServerError || attempt->closed_) {
    return;
  }
  attempt->begun_ = true;
  attempt->has_length_ = !FindHeader(headers, "content-length").empty();
  attempt->content_type_ = FindHeader(headers, "content-type");
  auto frame = FrameOf(RunFrameKind::kBegin);
  frame.status_ = status;
  frame.content_type_ = attempt->content_type_;
  frame.manifest_ = FindHeader(headers, kWeightsHeader);
  frame.resumed_from_ = NumberIn(FindHeader(headers, kResumedHeader));
  const auto packed = Pack(frame);
  attempt->kept_ += packed;
  attempt->call_->Write(packed);
}

void RunHandler::OnData(const AttemptPtr& attempt, std::string_view bytes) {
  if (!attempt->begun_ || attempt->closed_) {
    return;
  }
  on_live_bytes_(bytes.size());
  Watch(*attempt, bytes);
  auto frame = FrameOf(RunFrameKind::kData);
  frame.data_ = bytes;
  const auto packed = Pack(frame);
  if (attempt->ticket_ && attempt->kept_.size() < kMaxKeptAnswer) {
    attempt->kept_ += packed;
  }
  attempt->call_->Write(packed);
}

bool RunHandler::IsWhole(const Attempt& attempt) {
  if (attempt.has_length_) {
    return true;
  }
  if (attempt.content_type_.starts_with(kEventStream)) {
    return attempt.seen_.ends_with(kStreamEnd);
  }
  return nlohmann::json::accept(attempt.seen_);
}

void RunHandler::OnEnd(const AttemptPtr& attempt, HttpEnd end) {
  if (end == HttpEnd::kNotSent) {
    Close(attempt, FrameOf(RunFrameKind::kRefused, "back end unreachable"));
  } else if (end == HttpEnd::kBroken) {
    Close(attempt, FrameOf(RunFrameKind::kUnknown, "back end broke off"));
  } else if (!attempt->begun_) {
    Close(attempt,
          FrameOf(RunFrameKind::kFailed, "back end answered status " +
                                             std::to_string(attempt->status_)));
  } else if (!IsWhole(*attempt)) {
    Close(attempt, FrameOf(RunFrameKind::kUnknown, "answer has no end"));
  } else {
    Close(attempt, FrameOf(RunFrameKind::kComplete));
  }
}

void RunHandler::Close(const AttemptPtr& attempt, RunFrame frame) {
  if (std::exchange(attempt->closed_, true)) {
    return;
  }
  slots_.Release();
  frame.load_ = slots_.in_use() + slots_.waiting();
  frame.sharers_ = sharers();
  const auto packed = Pack(frame);
  const bool complete =
      static_cast<RunFrameKind>(frame.kind_) == RunFrameKind::kComplete;
  if (complete && attempt->ticket_ && attempt->kept_.size() < kMaxKeptAnswer) {
    guard_.CacheResponse(*attempt->ticket_, attempt->kept_ + packed);
  }
  attempt->call_->Write(packed);
  attempt->call_->End();
  attempt->call_->OnClosed([] {});
  if (attempt->http_) {
    attempt->http_->Cancel();
  }
  process_.tracer().End(attempt->span_, complete);
  process_.loop().Post([attempt] { attempt->deadline_.reset(); });
  process_.stop().OnWorkFinished();
  StartWaiting();
  if (slots_.in_use() == 0) {
    on_idle_();
  }
}

}  // namespace chalkwell::daemon
