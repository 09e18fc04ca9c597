// One request at a time on each connection; while it is handled, the
// connection is read on, so that its end is seen at once.
#include "daemon/http1_server.hpp"

#include <algorithm>
#include <utility>

namespace chalkwell::daemon {
namespace {

/// Bytes of a next request that are kept while one is handled.
constexpr std::size_t kMaxPipelined = std::size_t{16} << 10;

int StatusOf(HttpFault fault) {
  switch (fault) {
    case HttpFault::kHeaderTooLarge:
      return 431;
    case HttpFault::kBodyTooLarge:
      return 413;
    default:
      return 400;
  }
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

/// One connection of a caller.
class Http1Connection : public std::enable_shared_from_this<Http1Connection> {
 public:
  Http1Connection(Http1Server& server, TcpStream::Ptr stream)
      : server_(server),
        stream_(std::move(stream)),
        limits_(server.hooks_.limits_()),
        parser_(HttpParser::Kind::kRequest, limits_),
        timer_(server.loop_) {}

  void Begin() {
    peer_ = stream_->PeerIp();
    parser_.OnBody([this](std::string_view bytes) { body_.append(bytes); });
    timer_.Once(limits_.idle_time_, [this] { OnIdle(); });
    stream_->Observe(
        {.on_data_ = [this](std::string_view bytes) { OnData(bytes); },
         .on_end_ = [this](StreamEnd) { Drop(); },
         .on_drained_ = [this] { OnDrained(); }});
  }

  [[nodiscard]] bool idle() const noexcept {
    return exchange_ == nullptr && !parser_.begun();
  }
  [[nodiscard]] std::size_t pending() const noexcept {
    return stream_->pending();
  }
  void Write(std::string bytes) { stream_->Write(std::move(bytes)); }
  [[nodiscard]] bool closes() const noexcept {
    return !keep_alive_ || server_.closing_;
  }
  [[nodiscard]] bool http_1_0() const noexcept { return http_1_0_; }
  void CloseAfterAnswer() noexcept { keep_alive_ = false; }

  /// The exchange has written its whole answer.
  void EndAnswer(bool whole);
  /// Closes and forgets the connection.
  void Drop();
  void CloseQuietly() {
    next_.clear();
    stream_->Finish();
    Forget();
  }

 private:
  void OnData(std::string_view bytes);
  void OnDrained();
  void Refuse(int status);
  void Advance();
  void Dispatch();
  void OnIdle() { idle() ? CloseQuietly() : Refuse(408); }
  void Forget() {
    const auto self = shared_from_this();
    timer_.Cancel();
    server_.connections_.erase(self);
  }
  [[nodiscard]] bool Proper() const;

  Http1Server& server_;
  TcpStream::Ptr stream_;
  HttpLimits limits_;
  HttpParser parser_;
  std::string body_;
  /// Bytes behind the request that is handled.
  std::string next_;
  std::string peer_;
  bool keep_alive_ = true;
  bool http_1_0_ = false;
  bool continued_ = false;
  /// Null while no request is handled.
  std::shared_ptr<Http1Exchange> exchange_;
  Timer timer_;
};

/// One request and its answer. It may outlive the connection.
class Http1Exchange final : public HttpExchange {
 public:
  Http1Exchange(std::weak_ptr<Http1Connection> connection, HttpRequest request)
      : connection_(std::move(connection)), request_(std::move(request)) {}

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
    auto head = Head(*connection, status, headers);
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

  void StartUnframed(int status, const HttpHeaders& headers) override {
    if (const auto connection = connection_.lock()) {
      connection->CloseAfterAnswer();
      unframed_ = true;
    }
    Start(status, headers);
  }

  void Start(int status, const HttpHeaders& headers) override {
    const auto connection = connection_.lock();
    if (connection == nullptr || started_) {
      return;
    }
    started_ = true;
    auto head = Head(*connection, status, headers);
    const bool bodyless = request_.method_ == "HEAD" || !HasBody(status);
    chunked_ = !bodyless && !unframed_ && !connection->http_1_0() &&
               FindHeader(headers, "content-length").empty();
    bodyless_ = bodyless;
    if (chunked_) {
      head += "transfer-encoding: chunked\r\n";
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

  void End(bool whole) override {
    const auto connection = connection_.lock();
    if (connection == nullptr || ended_) {
      return;
    }
    if (whole && chunked_) {
      connection->Write("0\r\n\r\n");
    }
    Finish(*connection, whole);
  }

  void OnAbort(std::function<void()> handler) override {
    on_abort_ = std::move(handler);
  }

  /// The connection has gone.
  void Abort() {
    connection_.reset();
    on_drained_ = nullptr;
    const auto handler = std::exchange(on_abort_, nullptr);
    if (handler && !ended_) {
      Guarded(handler);
    }
  }
  void Drained() {
    // It may replace or clear itself.
    if (const auto handler = on_drained_) {
      Guarded(handler);
    }
  }

 private:
  static std::string Head(const Http1Connection& connection, int status,
                          const HttpHeaders& headers) {
    std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
    head.append(StatusText(status)).append("\r\n");
    for (const auto& [name, value] : headers) {
      head.append(name).append(": ").append(value).append("\r\n");
    }
    if (connection.closes()) {
      head += "connection: close\r\n";
    }
    return head;
  }

  void Finish(Http1Connection& connection, bool whole) {
    ended_ = true;
    on_abort_ = nullptr;
    on_drained_ = nullptr;
    connection.EndAnswer(whole);
  }

  std::weak_ptr<Http1Connection> connection_;
  HttpRequest request_;
  bool started_ = false;
  bool unframed_ = false;
  bool chunked_ = false;
  bool bodyless_ = false;
  bool ended_ = false;
  std::function<void()> on_abort_;
  std::function<void()> on_drained_;
};

void Http1Connection::OnData(std::string_view bytes) {
  if (exchange_ != nullptr) {
    next_.append(bytes);
    if (next_.size() > kMaxPipelined) {
      stream_->SetReading(false);
    }
    return;
  }
  next_.append(bytes);
  Advance();
}

void Http1Connection::Advance() {
  const auto self = shared_from_this();
  while (stream_->open() && exchange_ == nullptr && !next_.empty()) {
    if (!parser_.begun()) {
      limits_ = server_.hooks_.limits_();
      parser_.Next(limits_);
      body_.clear();
      continued_ = false;
      timer_.Once(limits_.request_time_, [this] { OnIdle(); });
    }
    const auto input = std::exchange(next_, {});
    const auto taken = parser_.Feed(input);
    next_.assign(input, taken);
    if (parser_.fault() != HttpFault::kNone) {
      Refuse(StatusOf(parser_.fault()));
      return;
    }
    if (parser_.head_done() && !Proper()) {
      Refuse(400);
      return;
    }
    if (parser_.done()) {
      Dispatch();
      continue;
    }
    if (parser_.head_done() && !continued_ &&
        !FindHeader(parser_.headers(), "expect").empty()) {
      continued_ = true;
      stream_->Write("HTTP/1.1 100 Continue\r\n\r\n");
    }
    return;
  }
}

/// Whether the framing is beyond doubt, so that no request hides in another.
bool Http1Connection::Proper() const {
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
  // Without chunks only the end of the connection can end such an answer.
  keep_alive_ = parser_.keep_alive() && !http_1_0_;
  HttpRequest request{.method_ = parser_.method(),
                      .path_ = parser_.target(),
                      .headers_ = parser_.TakeHeaders(),
                      .body_ = std::move(body_)};
  body_.clear();
  parser_.Next(limits_);
  exchange_ =
      std::make_shared<Http1Exchange>(weak_from_this(), std::move(request));
  const auto exchange = exchange_;
  Guarded([&] { server_.handler_(exchange); });
}

void Http1Connection::EndAnswer(bool whole) {
  exchange_.reset();
  if (!whole) {
    stream_->Reset();
    Forget();
    return;
  }
  if (closes() || !stream_->open()) {
    CloseQuietly();
    return;
  }
  stream_->SetReading(true);
  timer_.Once(limits_.idle_time_, [this] { OnIdle(); });
  if (!next_.empty()) {
    server_.loop_.Post([weak = weak_from_this()] {
      if (const auto self = weak.lock()) {
        self->Advance();
      }
    });
  }
}

void Http1Connection::OnDrained() {
  if (exchange_ != nullptr) {
    exchange_->Drained();
  }
}

void Http1Connection::Refuse(int status) {
  if (server_.hooks_.on_refused_) {
    server_.hooks_.on_refused_(status, peer_);
  }
  std::string head = "HTTP/1.1 " + std::to_string(status) + " ";
  head.append(StatusText(status));
  head += "\r\ncontent-length: 0\r\nconnection: close\r\n\r\n";
  stream_->Write(std::move(head));
  CloseQuietly();
}

void Http1Connection::Drop() {
  const auto self = shared_from_this();
  stream_->Close();
  const auto exchange = std::exchange(exchange_, nullptr);
  Forget();
  if (exchange != nullptr) {
    exchange->Abort();
  }
}

}  // namespace internal

Http1Server::Http1Server(Loop& loop, const Address& address,
                         Http1ServerHooks hooks, HttpHandler handler)
    : loop_(loop),
      hooks_(std::move(hooks)),
      handler_(std::move(handler)),
      listener_(loop, address, [this](TcpStream::Ptr stream) {
        auto connection = std::make_shared<internal::Http1Connection>(
            *this, std::move(stream));
        connections_.insert(connection);
        connection->Begin();
      }) {}

Http1Server::~Http1Server() {
  listener_.Stop();
  while (!connections_.empty()) {
    const auto connection = *connections_.begin();
    connection->Drop();
  }
}

void Http1Server::CloseIdle() {
  const auto all = connections_;
  for (const auto& connection : all) {
    if (connection->idle()) {
      connection->CloseQuietly();
    }
  }
}

}  // namespace chalkwell::daemon
