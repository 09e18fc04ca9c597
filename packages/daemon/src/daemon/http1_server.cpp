// A connection handles one request at a time. It is read meanwhile, so that a
// disconnect is detected at once.
#include "daemon/http1_server.hpp"

#include <algorithm>
#include <charconv>
#include <utility>

namespace chalkwell::daemon {
namespace {

/// Bytes of further requests buffered while one is handled; beyond it reading
/// pauses.
constexpr std::size_t kMaxPipelinedBytes = std::size_t{16} << 10;

/// Bytes of responses that may wait for a slow caller before its next request
/// is read.
constexpr std::size_t kMaxUnsentBytes = std::size_t{64} << 10;

/// Retry-After of a server whose memory is not limited.
constexpr core::Duration kRetryAfter = std::chrono::seconds(1);

constexpr int kInternalError = 500;
constexpr int kUnavailable = 503;

RefusalCause ToCause(HttpParseError error) {
  switch (error) {
    case HttpParseError::kHeaderTooLarge:
      return RefusalCause::kHeaderTooLarge;
    case HttpParseError::kBodyTooLarge:
      return RefusalCause::kBodyTooLarge;
    default:
      return RefusalCause::kMalformed;
  }
}

int ToStatus(RefusalCause cause) {
  switch (cause) {
    case RefusalCause::kMalformed:
      return 400;
    case RefusalCause::kHeaderTooLarge:
      return 431;
    case RefusalCause::kBodyTooLarge:
      return 413;
    case RefusalCause::kSlow:
      return 408;
    case RefusalCause::kNoMemory:
    case RefusalCause::kEndedForAnother:
    case RefusalCause::kNoConnection:
      return kUnavailable;
  }
  return kUnavailable;
}

/// Length that the headers announce for a body; 0 if none.
std::size_t AnnouncedBytes(const HttpHeaders& headers) {
  const auto text = FindHeader(headers, "content-length");
  std::size_t bytes = 0;
  (void)std::from_chars(text.data(), text.data() + text.size(), bytes);
  return bytes;
}

std::size_t CountHeader(const HttpHeaders& headers, std::string_view name) {
  return static_cast<std::size_t>(std::ranges::count(
      headers, name, [](const HttpHeader& header) -> std::string_view {
        return header.first;
      }));
}

bool HasBody(int status) {
  return status >= 200 && status != 204 && status != 304;
}

}  // namespace

namespace internal {

class Http1Exchange;

/// Connection of a caller.
class Http1Connection : public std::enable_shared_from_this<Http1Connection> {
 public:
  Http1Connection(Http1Server& server, TcpStream::Ptr stream, std::uint64_t id)
      : server_(server),
        id_(id),
        stream_(std::move(stream)),
        limits_(server.hooks_.limits_()),
        parser_(HttpParser::Kind::kRequest, limits_),
        lease_(server.memory_,
               [this] { Reject(RefusalCause::kEndedForAnother); }),
        timer_(server.loop_) {}

  void Begin() {
    peer_ip_ = stream_->PeerIp();
    parser_.OnBody([this](std::string_view bytes) { AppendBody(bytes); });
    StartIdleTimer();
    stream_->SetCallbacks(
        {.on_data_ = [this](std::string_view bytes) { OnData(bytes); },
         .on_end_ = [this](StreamEnd) { Disconnect(); },
         .on_drained_ = [this] { OnDrained(); }});
  }

  [[nodiscard]] bool idle() const noexcept {
    return registered_ && !handling_ && !parser_.started() &&
           buffered_input_.empty();
  }
  [[nodiscard]] std::size_t pending() const noexcept {
    return stream_->pending();
  }
  void Write(std::string bytes) {
    stream_->Write(std::move(bytes));
    lease_.Set(HeldBytes());
  }
  /// Whether the connection closes after the response whose head is about to be
  /// written. If the server is stopping, a request that has arrived is still
  /// answered, and the close is announced with its response.
  [[nodiscard]] bool DecideClose();
  [[nodiscard]] bool http_1_0() const noexcept { return http_1_0_; }
  void CloseAfterResponse() noexcept { keep_alive_ = false; }
  /// From now on only the normal end of a response closes the connection
  /// without a reset.
  void ResetUnlessCompleted() { stream_->SetResetOnClose(true); }

  /// Called when the exchange has written its response.
  /// @param complete false resets the connection.
  void EndResponse(bool complete);
  void ReportUnanswered(UnansweredCause cause, const HttpRequest& request);
  /// Reports the request being handled, if any, because the server ends.
  void ReportServerStopped();
  /// Closes the connection at once and aborts the exchange.
  void Disconnect();
  /// Closes the connection unless a request has begun, read or not.
  void CloseIfIdle();
  [[nodiscard]] bool registered() const noexcept { return registered_; }
  /// A request has arrived, parsed or not.
  void MarkReceiving() {
    if (!handling_ && !parser_.started()) {
      SetPhase(routing::ConnectionPhase::kReceiving);
    }
  }
  /// Refuses the request that is being received, or the first one.
  void Reject(RefusalCause cause);
  /// Closes the connection after sending queued bytes.
  void CloseGracefully() {
    buffered_input_ = {};
    SetPhase(routing::ConnectionPhase::kClosing);
    stream_->CloseGracefully();
    server_.CloseOverdue();
    Unregister();
  }

 private:
  void OnData(std::string_view bytes);
  void OnDrained();
  void ProcessInput();
  /// Parses input up to the end of the request.
  /// @return false if the request was refused.
  [[nodiscard]] bool ParseInput();
  void BeginRequest();
  void WaitUntilSent();
  /// Resets the connection if its caller takes nothing for the idle timeout.
  /// @param unsent bytes that are queued now.
  void CheckProgress(std::size_t unsent);
  /// Adds received bytes to the body, if they may be held.
  void AppendBody(std::string_view bytes);
  /// Makes room for a body of this size.
  /// @return false if it must not be held.
  [[nodiscard]] bool ReserveBody(std::size_t bytes);
  /// Bytes that the connection holds, without those of exchanges.
  [[nodiscard]] std::size_t HeldBytes() const noexcept {
    return daemon::HeldBytes(body_) + daemon::HeldBytes(buffered_input_) +
           parser_.held_bytes() + stream_->pending();
  }
  void Dispatch();
  void StartIdleTimer() {
    idle_since_ = server_.loop_.Now();
    SetPhase(routing::ConnectionPhase::kIdle);
    limits_ = server_.hooks_.limits_();
    timer_.Once(limits_.idle_timeout_, [this] { OnIdleTimeout(); });
  }
  /// Closes an idle connection without reading on: a request that crosses the
  /// close is reset, which shows its caller that it was not taken.
  void CloseUnread();
  void OnIdleTimeout();
  void OnRequestTimeout();
  void Unregister() {
    const auto self = shared_from_this();
    registered_ = false;
    timer_.Cancel();
    server_.connections_.erase(id_);
  }
  void SetPhase(routing::ConnectionPhase phase) {
    server_.open_->phases_.SetPhase(id_, phase, server_.loop_.Now());
  }
  [[nodiscard]] bool HasUnambiguousFraming() const;

  Http1Server& server_;
  std::uint64_t id_;
  TcpStream::Ptr stream_;
  HttpLimits limits_;
  HttpParser parser_;
  std::string body_;
  /// Counts HeldBytes().
  MemoryLease lease_;
  /// The body of the request must not be held.
  bool out_of_memory_ = false;
  /// The next request is not read before the last responses are sent.
  bool waits_until_sent_ = false;
  /// Received bytes not yet parsed, such as those of a next request.
  std::string buffered_input_;
  std::string peer_ip_;
  bool keep_alive_ = true;
  bool http_1_0_ = false;
  /// "100 Continue" was sent for this request.
  bool continue_sent_ = false;
  /// Cleared when the server has closed the connection.
  bool registered_ = true;
  std::uint64_t requests_begun_ = 0;
  core::TimePoint idle_since_;
  /// Whether a request is being handled.
  bool handling_ = false;
  /// Request being handled; owned by its handler.
  std::weak_ptr<Http1Exchange> exchange_;
  Timer timer_;
};

/// One request and its response. It may outlive the connection.
class Http1Exchange final : public HttpExchange {
 public:
  Http1Exchange(std::weak_ptr<Http1Connection> connection, HttpRequest request,
                std::shared_ptr<CallerMemory> memory)
      : connection_(std::move(connection)),
        request_(std::move(request)),
        lease_(std::move(memory)) {
    lease_.Set(HeldBytes(request_.body_) + HeldBytes(request_.headers_));
  }
  ~Http1Exchange() override;
  Http1Exchange(const Http1Exchange&) = delete;
  Http1Exchange& operator=(const Http1Exchange&) = delete;

  [[nodiscard]] const HttpRequest& request() const noexcept override {
    return request_;
  }
  [[nodiscard]] bool open() const noexcept override {
    return !connection_.expired();
  }
  [[nodiscard]] std::size_t pending() const noexcept override {
    const auto connection = connection_.lock();
    return connection == nullptr ? 0 : connection->pending();
  }
  void OnDrained(const std::function<void()>& handler) override {
    on_drained_ = handler;
  }

  void Respond(int status, const HttpHeaders& headers,
               std::string body) override {
    const auto connection = connection_.lock();
    if (connection == nullptr || started_) {
      return;
    }
    started_ = true;
    auto head = BuildHead(*connection, status, headers);
    if (HasBody(status)) {
      head += "content-length: " + std::to_string(body.size()) + "\r\n";
    }
    head += "\r\n";
    if (request_.method_ != "HEAD" && HasBody(status)) {
      head += body;
    }
    connection->Write(std::move(head));
    Finish(*connection, true);
  }

  void StartCloseDelimited(int status, const HttpHeaders& headers) override {
    if (const auto connection = connection_.lock()) {
      connection->CloseAfterResponse();
      close_delimited_ = true;
    }
    Start(status, headers);
  }

  void Start(int status, const HttpHeaders& headers) override {
    const auto connection = connection_.lock();
    if (connection == nullptr || started_) {
      return;
    }
    started_ = true;
    auto head = BuildHead(*connection, status, headers);
    bodyless_ = request_.method_ == "HEAD" || !HasBody(status);
    const bool has_length = !FindHeader(headers, "content-length").empty();
    const bool framed = bodyless_ || has_length;
    chunked_ = !framed && !close_delimited_ && !connection->http_1_0();
    if (chunked_) {
      head += "transfer-encoding: chunked\r\n";
    } else if (!framed) {
      connection->ResetUnlessCompleted();
    }
    connection->Write(head + "\r\n");
  }

  void Write(std::string_view bytes) override {
    const auto connection = connection_.lock();
    if (connection == nullptr || bytes.empty() || bodyless_ || ended_) {
      return;
    }
    if (!chunked_) {
      connection->Write(std::string(bytes));
      return;
    }
    static constexpr char kDigits[] = "0123456789abcdef";
    std::string size;
    for (auto rest = bytes.size(); rest > 0; rest /= 16) {
      size.insert(size.begin(), kDigits[rest % 16]);
    }
    std::string chunk;
    chunk.reserve(bytes.size() + size.size() + 4);
    chunk.append(size).append("\r\n").append(bytes).append("\r\n");
    connection->Write(std::move(chunk));
  }

  void End(bool complete) override {
    const auto connection = connection_.lock();
    if (connection == nullptr || ended_) {
      return;
    }
    if (complete && chunked_) {
      connection->Write("0\r\n\r\n");
    }
    Finish(*connection, complete);
  }

  void OnAbort(std::function<void()> handler) override {
    on_abort_ = std::move(handler);
  }

  /// Called when the connection is lost.
  void Abort() {
    connection_.reset();
    on_drained_ = nullptr;
    const auto handler = std::exchange(on_abort_, nullptr);
    if (handler && !ended_) {
      Guarded(handler);
    }
  }
  void NotifyDrained() {
    // Copied because the handler may replace or clear on_drained_.
    if (const auto handler = on_drained_) {
      Guarded(handler);
    }
  }

 private:
  static std::string BuildHead(Http1Connection& connection, int status,
                               const HttpHeaders& headers) {
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    head.append(StatusText(status)).append("\r\n");
    for (const auto& [name, value] : headers) {
      head.append(name).append(": ").append(value).append("\r\n");
    }
    if (connection.DecideClose()) {
      head += "connection: close\r\n";
    }
    return head;
  }

  void Finish(Http1Connection& connection, bool complete) {
    ended_ = true;
    on_abort_ = nullptr;
    on_drained_ = nullptr;
    connection.EndResponse(complete);
  }

  std::weak_ptr<Http1Connection> connection_;
  HttpRequest request_;
  /// Counts the request.
  MemoryLease lease_;
  bool started_ = false;
  bool close_delimited_ = false;
  bool chunked_ = false;
  bool bodyless_ = false;
  bool ended_ = false;
  std::function<void()> on_abort_;
  std::function<void()> on_drained_;
};

Http1Exchange::~Http1Exchange() {
  const auto connection = connection_.lock();
  if (connection == nullptr || ended_) {
    return;
  }
  Guarded([&] {
    connection->ReportUnanswered(UnansweredCause::kDropped, request_);
    if (started_) {
      End(false);
    } else {
      Respond(kInternalError, {}, "");
    }
  });
}

void Http1Connection::OnData(std::string_view bytes) {
  buffered_input_.append(bytes);
  if (!handling_) {
    ProcessInput();
    return;
  }
  lease_.Set(HeldBytes());
  if (buffered_input_.size() > kMaxPipelinedBytes) {
    stream_->SetReading(false);
  }
}

void Http1Connection::ProcessInput() {
  const auto self = shared_from_this();
  while (stream_->open() && !handling_ && !buffered_input_.empty()) {
    if (!parser_.started() && stream_->pending() > kMaxUnsentBytes) {
      WaitUntilSent();
      return;
    }
    if (!parser_.started()) {
      BeginRequest();
    }
    if (!ParseInput()) {
      return;
    }
    if (parser_.done()) {
      Dispatch();
      continue;
    }
    if (parser_.head_done() && !continue_sent_ &&
        !FindHeader(parser_.headers(), "expect").empty()) {
      continue_sent_ = true;
      stream_->Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return;
  }
}

/// Leaves further requests unread until the caller has taken the responses
/// before them.
void Http1Connection::WaitUntilSent() {
  waits_until_sent_ = true;
  stream_->SetReading(false);
  SetPhase(routing::ConnectionPhase::kReceiving);
  CheckProgress(stream_->pending());
}

void Http1Connection::CheckProgress(std::size_t unsent) {
  timer_.Once(limits_.idle_timeout_, [this, unsent] {
    const auto self = shared_from_this();
    if (stream_->pending() < unsent) {
      CheckProgress(stream_->pending());
      return;
    }
    stream_->Reset();
    Unregister();
  });
}

void Http1Connection::BeginRequest() {
  limits_ = server_.hooks_.limits_();
  parser_.Next(limits_);
  body_ = {};
  out_of_memory_ = false;
  continue_sent_ = false;
  ++requests_begun_;
  lease_.BeginReceiving();
  SetPhase(routing::ConnectionPhase::kReceiving);
  timer_.Once(limits_.request_timeout_, [this] { OnRequestTimeout(); });
}

bool Http1Connection::ParseInput() {
  {
    const auto input = std::exchange(buffered_input_, {});
    const auto taken = parser_.Feed(input);
    buffered_input_.assign(input, taken);
  }
  if (parser_.error() != HttpParseError::kNone) {
    Reject(ToCause(parser_.error()));
    return false;
  }
  if (parser_.head_done() && !HasUnambiguousFraming()) {
    Reject(RefusalCause::kMalformed);
    return false;
  }
  // An announced body that does not fit is refused before it arrives.
  const auto announced =
      parser_.head_done() ? AnnouncedBytes(parser_.headers()) : 0;
  if (out_of_memory_ || !ReserveBody(announced) || !lease_.Grow(HeldBytes())) {
    Reject(RefusalCause::kNoMemory);
    return false;
  }
  return true;
}

void Http1Connection::AppendBody(std::string_view bytes) {
  if (out_of_memory_) {
    return;
  }
  const auto size = body_.size() + bytes.size();
  if (size > body_.capacity()) {
    // At least doubled, so that a body is copied a few times only; not beyond
    // the limit, since each byte of the capacity counts.
    const auto doubled = std::min(2 * body_.capacity(), limits_.body_bytes_);
    const auto announced = AnnouncedBytes(parser_.headers());
    out_of_memory_ = !ReserveBody(std::max({size, doubled, announced}));
  }
  if (!out_of_memory_) {
    body_.append(bytes);
  }
}

bool Http1Connection::ReserveBody(std::size_t bytes) {
  if (bytes <= body_.capacity()) {
    return true;
  }
  if (!lease_.Grow(HeldBytes() - daemon::HeldBytes(body_) + bytes)) {
    return false;
  }
  body_.reserve(bytes);
  return true;
}

/// Whether the request has exactly one interpretation of its length and host;
/// otherwise it could smuggle another request.
bool Http1Connection::HasUnambiguousFraming() const {
  const auto& headers = parser_.headers();
  const auto coding = FindHeader(headers, "transfer-encoding");
  if (CountHeader(headers, "host") > 1 ||
      CountHeader(headers, "content-length") > 1 ||
      CountHeader(headers, "transfer-encoding") > 1) {
    return false;
  }
  if (!coding.empty() && (parser_.http_1_0() || coding != "chunked")) {
    return false;
  }
  return parser_.http_1_0() || CountHeader(headers, "host") == 1;
}

void Http1Connection::Dispatch() {
  timer_.Cancel();
  http_1_0_ = parser_.http_1_0();
  // HTTP/1.0 has no chunked coding, so closing the connection delimits the
  // response.
  keep_alive_ = parser_.keep_alive() && !http_1_0_;
  HttpRequest request{.method_ = parser_.method(),
                      .path_ = parser_.target(),
                      .headers_ = parser_.TakeHeaders(),
                      .body_ = std::move(body_)};
  body_ = {};
  parser_.Next(limits_);
  lease_.EndReceiving();
  SetPhase(routing::ConnectionPhase::kHandling);
  lease_.Set(HeldBytes());
  const auto exchange = std::make_shared<Http1Exchange>(
      weak_from_this(), std::move(request), server_.memory_);
  handling_ = true;
  exchange_ = exchange;
  Guarded([&] { server_.handler_(exchange); });
}

bool Http1Connection::DecideClose() {
  if (keep_alive_ && server_.closing_) {
    stream_->ReadAvailable();
    keep_alive_ = !buffered_input_.empty();
  }
  return !keep_alive_;
}

void Http1Connection::EndResponse(bool complete) {
  handling_ = false;
  exchange_.reset();
  if (!complete) {
    stream_->Reset();
    Unregister();
    return;
  }
  // A close that the head did not announce could cross the next request.
  if (!keep_alive_ || !stream_->open()) {
    CloseGracefully();
    return;
  }
  stream_->SetReading(true);
  if (server_.closes_idle_) {
    CloseIfIdle();
    if (!registered_ || handling_ || parser_.started()) {
      return;
    }
  }
  StartIdleTimer();
  if (!buffered_input_.empty()) {
    server_.loop_.Post([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->ProcessInput();
      }
    });
  }
}

void Http1Connection::OnDrained() {
  lease_.Set(HeldBytes());
  if (const auto exchange = exchange_.lock()) {
    exchange->NotifyDrained();
  }
  if (std::exchange(waits_until_sent_, false)) {
    stream_->SetReading(true);
    StartIdleTimer();
    ProcessInput();
  }
}

void Http1Connection::CloseIfIdle() {
  const auto self = shared_from_this();
  if (idle()) {
    stream_->ReadAvailable();
  }
  if (idle()) {
    CloseUnread();
  }
}

void Http1Connection::CloseUnread() {
  if (stream_->has_unacknowledged_data()) {
    CloseGracefully();
    return;
  }
  stream_->Close();
  Unregister();
}

void Http1Connection::OnIdleTimeout() {
  const auto self = shared_from_this();
  const auto idle_since = idle_since_;
  stream_->ReadAvailable();
  if (!idle() || idle_since_ != idle_since) {
    return;
  }
  // A caller may already go by a limit that was raised meanwhile.
  const auto left = server_.hooks_.limits_().idle_timeout_ -
                    (server_.loop_.Now() - idle_since_);
  if (left > core::Duration{}) {
    timer_.Once(left, [this] { OnIdleTimeout(); });
  } else {
    CloseUnread();
  }
}

void Http1Connection::OnRequestTimeout() {
  const auto self = shared_from_this();
  const auto request = requests_begun_;
  stream_->ReadAvailable();
  if (registered_ && parser_.started() && requests_begun_ == request) {
    Reject(RefusalCause::kSlow);
  }
}

void Http1Connection::Reject(RefusalCause cause) {
  HttpRefusal refusal{.status_ = ToStatus(cause),
                      .cause_ = cause,
                      .peer_ip_ = peer_ip_,
                      .headers_ = parser_.headers(),
                      .body_bytes_ = body_.size(),
                      .retry_after_ = std::nullopt};
  if (refusal.status_ == kUnavailable) {
    refusal.retry_after_ = server_.memory_ == nullptr
                               ? kRetryAfter
                               : server_.memory_->RetryAfter();
  }
  HttpHeaders headers;
  if (server_.hooks_.on_refused_) {
    headers = server_.hooks_.on_refused_(refusal);
  }
  std::string head = "HTTP/1.1 " + std::to_string(refusal.status_) + " ";
  head.append(StatusText(refusal.status_)).append("\r\n");
  for (const auto& [name, value] : headers) {
    head.append(name).append(": ").append(value).append("\r\n");
  }
  head += "content-length: 0\r\nconnection: close\r\n\r\n";
  stream_->Write(std::move(head));
  CloseGracefully();
}

void Http1Connection::ReportUnanswered(UnansweredCause cause,
                                       const HttpRequest& request) {
  if (server_.hooks_.on_unanswered_) {
    server_.hooks_.on_unanswered_(cause, request);
  }
}

void Http1Connection::ReportServerStopped() {
  if (const auto exchange = exchange_.lock()) {
    ReportUnanswered(UnansweredCause::kServerStopped, exchange->request());
  }
}

void Http1Connection::Disconnect() {
  const auto self = shared_from_this();
  stream_->Close();
  const auto exchange = exchange_.lock();
  handling_ = false;
  exchange_.reset();
  Unregister();
  if (exchange != nullptr) {
    exchange->Abort();
  }
}

}  // namespace internal

std::string_view ToString(UnansweredCause cause) noexcept {
  switch (cause) {
    case UnansweredCause::kDropped:
      return "dropped";
    case UnansweredCause::kServerStopped:
      return "server stopped";
  }
  return "";
}

std::string_view ToString(RefusalCause cause) noexcept {
  switch (cause) {
    case RefusalCause::kMalformed:
      return "malformed";
    case RefusalCause::kHeaderTooLarge:
      return "header too large";
    case RefusalCause::kBodyTooLarge:
      return "body too large";
    case RefusalCause::kSlow:
      return "slow";
    case RefusalCause::kNoMemory:
      return "no memory";
    case RefusalCause::kEndedForAnother:
      return "ended for another";
    case RefusalCause::kNoConnection:
      return "no connection";
  }
  return "";
}

Http1Server::Http1Server(Loop& loop, const Address& address,
                         Http1ServerHooks hooks, HttpHandler handler,
                         std::shared_ptr<CallerMemory> memory,
                         std::size_t max_connections)
    : loop_(loop),
      hooks_(std::move(hooks)),
      handler_(std::move(handler)),
      memory_(std::move(memory)),
      open_(std::make_shared<OpenConnections>(OpenConnections{
          .phases_ =
              routing::CallerConnections({.max_connections_ = max_connections}),
          .streams_ = {}})),
      listener_(loop, address, [this](TcpStream::Ptr stream) {
        OnAccepted(std::move(stream));
      }) {}

Http1Server::~Http1Server() {
  listener_.Stop();
  while (!connections_.empty()) {
    const auto connection = connections_.begin()->second;
    connection->ReportServerStopped();
    connection->Disconnect();
  }
}

void Http1Server::OnAccepted(TcpStream::Ptr stream) {
  const bool has_room = MakeRoom();
  const auto id = open_->phases_.Add(loop_.Now());
  open_->streams_[id] = stream;
  stream->OnClosed([weak = std::weak_ptr(open_), id] {
    if (const auto open = weak.lock()) {
      open->phases_.Remove(id);
      open->streams_.erase(id);
    }
  });
  const auto connection =
      std::make_shared<internal::Http1Connection>(*this, std::move(stream), id);
  connections_.emplace(id, connection);
  connection->Begin();
  if (!has_room) {
    connection->Reject(RefusalCause::kNoConnection);
  }
}

bool Http1Server::MakeRoom() {
  while (open_->phases_.full()) {
    const auto id = open_->phases_.SelectForNew(loop_.Now());
    const auto found = id ? connections_.find(*id) : connections_.end();
    if (found == connections_.end()) {
      return false;
    }
    const auto connection = found->second;
    if (open_->phases_.PhaseOf(*id) == routing::ConnectionPhase::kIdle) {
      connection->CloseIfIdle();
      if (connection->registered()) {
        // A request has arrived and may not have been parsed yet.
        connection->MarkReceiving();
      }
    } else {
      connection->Reject(RefusalCause::kNoConnection);
    }
  }
  return true;
}

void Http1Server::CloseOverdue() {
  while (const auto id = open_->phases_.SelectOverdue()) {
    const auto stream = open_->streams_.at(*id).lock();
    if (stream == nullptr) {
      return;
    }
    stream->Close();
  }
}

void Http1Server::CloseIdle() {
  closes_idle_ = true;
  const auto all = connections_;
  for (const auto& [id, connection] : all) {
    connection->CloseIfIdle();
  }
}

}  // namespace chalkwell::daemon
