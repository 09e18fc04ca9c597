// A connection carries one request at a time. It is kept only if the response
// was complete, nothing followed it and the server did not ask to close.
#include "daemon/http_client.hpp"

#include <algorithm>
#include <charconv>
#include <deque>
#include <utility>

#include "daemon/http_parser.hpp"
#include "daemon/request_target.hpp"
#include "daemon/tcp_stream.hpp"

namespace chalkwell::daemon {
namespace {

/// Fraction of the server's keep-alive timeout for which an idle connection is
/// reused.
constexpr double kKeepAliveShare = 0.5;
/// Idle connections to one address; beyond it the oldest is closed.
constexpr std::size_t kMaxIdlePerAddress = 16;
/// Interim responses, and responses to earlier requests, that may precede the
/// response to a request.
constexpr int kMaxSkippedResponses = 16;

std::string Serialize(const Address& address, const HttpRequest& request,
                      bool keep) {
  std::string head = request.method_ + " " + request.path_ + " HTTP/1.1\r\n";
  if (FindHeader(request.headers_, "host").empty()) {
    head.append("host: ").append(address.ToString()).append("\r\n");
  }
  for (const auto& [name, value] : request.headers_) {
    head.append(name).append(": ").append(value).append("\r\n");
  }
  if (!keep) {
    head += "connection: close\r\n";
  }
  if (!request.body_.empty() || request.method_ == "POST" ||
      request.method_ == "PUT") {
    head += "content-length: " + std::to_string(request.body_.size()) + "\r\n";
  }
  return head + "\r\n" + request.body_;
}

/// Whether no part of a request's head ends its line.
bool IsSendable(const HttpRequest& request) {
  static constexpr std::string_view kLineEnds("\r\n\0", 3);
  return IsSendableTarget(request.path_) &&
         std::ranges::all_of(request.headers_, [](const HttpHeader& header) {
           return header.first.find_first_of(kLineEnds) == std::string::npos &&
                  header.second.find_first_of(kLineEnds) == std::string::npos;
         });
}

/// Timeout in the `keep-alive` header of a response: how long the server keeps
/// an idle connection.
std::optional<core::Duration> KeepAliveTimeout(const HttpHeaders& headers) {
  const auto value = FindHeader(headers, "keep-alive");
  const auto at = value.find("timeout=");
  if (at == std::string_view::npos) {
    return std::nullopt;
  }
  const auto text = value.substr(at + 8);
  unsigned seconds = 0;
  const auto [end, error] =
      std::from_chars(text.data(), text.data() + text.size(), seconds);
  return error == std::errc{} ? std::optional(std::chrono::seconds(seconds))
                              : std::nullopt;
}

}  // namespace

std::string_view ToString(HttpEnd end) noexcept {
  switch (end) {
    case HttpEnd::kComplete:
      return "whole answer";
    case HttpEnd::kCloseDelimited:
      return "answer without length";
    case HttpEnd::kNotSent:
      return "not opened";
    case HttpEnd::kBroken:
      return "broken";
  }
  return "broken";
}

struct HttpClient::State : std::enable_shared_from_this<State> {
  class Connection;
  using ConnectionPtr = std::shared_ptr<Connection>;

  State(Loop& loop, core::Duration io_timeout)
      : loop_(loop), io_timeout_(io_timeout) {}

  /// Removes and returns an idle connection; null when none may be reused.
  ConnectionPtr TakeIdle(const Address& address, core::Duration max_idle);
  void AddIdle(const ConnectionPtr& connection);
  /// Removes and closes an idle connection.
  void CloseIdle(const ConnectionPtr& connection);

  Loop& loop_;
  core::Duration io_timeout_;
  /// Idle connections; the one used last is at the back.
  std::map<Address, std::deque<ConnectionPtr>> idle_;
  /// Number of connections, idle or in use.
  std::map<Address, std::size_t> connections_;
};

class HttpClient::State::Connection final
    : public HttpCall,
      public std::enable_shared_from_this<Connection> {
 public:
  Connection(std::shared_ptr<State> state, Address address)
      : state_(std::move(state)),
        address_(std::move(address)),
        parser_(HttpParser::Kind::kResponse, HttpLimits{}),
        timer_(state_->loop_),
        total_timer_(state_->loop_) {
    ++state_->connections_[address_];
  }
  ~Connection() override {
    const auto found = state_->connections_.find(address_);
    if (--found->second == 0) {
      state_->connections_.erase(found);
    }
  }

  [[nodiscard]] const Address& address() const noexcept { return address_; }
  [[nodiscard]] bool IsReusable(core::TimePoint now,
                                core::Duration max_idle) const {
    return stream_ != nullptr && stream_->open() &&
           now - idle_since_ < std::min(max_idle, keep_alive_timeout_);
  }

  void Start(const HttpRequest& request, HttpCallbacks callbacks,
             HttpSendOptions options) {
    self_ = shared_from_this();
    callbacks_ = std::move(callbacks);
    options_ = std::move(options);
    timer_.Cancel();
    request_bytes_ = Serialize(address_, request, options_.keep_alive_);
    skipped_ = 0;
    parser_.Next(Limits());
    if (options_.total_timeout_) {
      total_timer_.Once(*options_.total_timeout_,
                        [this] { Finish(HttpEnd::kBroken); });
    }
    if (request.method_ == "HEAD") {
      parser_.ExpectNoBody();
    }
    head_delivered_ = false;
    if (!IsSendable(request)) {
      state_->loop_.Post([self = shared_from_this()] {
        if (self->busy()) {
          self->Finish(HttpEnd::kNotSent);
        }
      });
      return;
    }
    if (stream_ != nullptr) {
      SendRequest();
      return;
    }
    StreamSettings settings;
    settings.connect_timeout_ = options_.connect_timeout_;
    stream_ = TcpStream::Connect(state_->loop_, address_, settings,
                                 [this](bool open) {
                                   if (open && ShouldSend()) {
                                     ObserveStream();
                                     SendRequest();
                                   } else {
                                     Finish(HttpEnd::kNotSent);
                                   }
                                 });
  }

  void Cancel() override {
    // One of the callbacks may be running, so they are destroyed by a later
    // task.
    state_->loop_.Post([released = std::exchange(callbacks_, {})] {});
    options_ = {};
    Abandon();
  }

  [[nodiscard]] bool has_unacknowledged_data() const override {
    const bool connecting = !request_bytes_.empty();
    return connecting ||
           (stream_ != nullptr && stream_->has_unacknowledged_data());
  }

  [[nodiscard]] HttpFraming framing() const override {
    return parser_.framing();
  }

  void SetReading(bool reading) override {
    if (busy() && stream_ != nullptr) {
      stream_->SetReading(reading);
      reading ? StartReadTimeout() : timer_.Cancel();
    }
  }

  /// Keeps the connection until it is reused or too old to be. It is then
  /// closed, because it counts against the server's limit of connections.
  void KeepForReuse(core::Duration max_idle) {
    idle_since_ = state_->loop_.Now();
    timer_.Once(std::min(max_idle, keep_alive_timeout_),
                [this] { state_->CloseIdle(shared_from_this()); });
  }

  /// Closes the connection so that a request without a response cannot arrive
  /// later. After a plain close the system keeps retransmitting it on a path
  /// that does not reply; a reset discards the unacknowledged bytes.
  void Abandon() {
    if (stream_ != nullptr && !head_delivered_) {
      stream_->Reset();
    }
    Close();
  }

  void Close() {
    timer_.Cancel();
    total_timer_.Cancel();
    if (stream_ != nullptr) {
      stream_->Close();
    }
    // Holds what may be the last reference until the end of this function.
    const auto self = std::move(self_);
  }

 private:
  [[nodiscard]] bool busy() const noexcept { return self_ != nullptr; }

  [[nodiscard]] HttpLimits Limits() const {
    HttpLimits limits;
    limits.body_bytes_ = options_.max_body_bytes_;
    return limits;
  }

  [[nodiscard]] bool ShouldSend() const {
    return !options_.may_send_ || options_.may_send_();
  }

  void ObserveStream() {
    stream_->SetCallbacks(
        {.on_data_ = [this](std::string_view bytes) { OnData(bytes); },
         .on_end_ = [this](StreamEnd end) { OnEnd(end); },
         .on_drained_ = nullptr});
  }

  void SendRequest() {
    stream_->Write(std::exchange(request_bytes_, {}));
    StartReadTimeout();
  }

  void StartReadTimeout() {
    timer_.Once(options_.idle_timeout_.value_or(state_->io_timeout_),
                [this] { Finish(HttpEnd::kBroken); });
  }

  void OnData(std::string_view bytes) {
    if (!busy()) {
      // Bytes on an idle connection belong to no request.
      stream_->Close();
      return;
    }
    const auto self = self_;
    StartReadTimeout();
    while (!bytes.empty() && busy()) {
      bytes.remove_prefix(FeedParser(bytes));
      if (!busy()) {
        return;
      }
      if (parser_.error() != HttpParseError::kNone) {
        Finish(HttpEnd::kBroken);
        return;
      }
      if (parser_.done() && !SkipUnrelatedResponse()) {
        const bool no_trailing_bytes = bytes.empty();
        FinishComplete(no_trailing_bytes);
        return;
      }
    }
  }

  /// Feeds the parser. Body bytes that come with the head are buffered until
  /// the head has been checked.
  /// @return number of bytes consumed.
  std::size_t FeedParser(std::string_view bytes) {
    if (!head_delivered_) {
      early_body_.clear();
      parser_.OnBody(
          [this](std::string_view body) { early_body_.append(body); });
    }
    const auto taken = parser_.Feed(bytes);
    if (!head_delivered_ && parser_.head_done()) {
      DeliverHead();
    }
    return taken;
  }

  void DeliverHead() {
    head_delivered_ = true;
    const bool interim = parser_.status() < 200;
    matches_request_ =
        !interim && (!options_.matches_request_ ||
                     options_.matches_request_(parser_.headers()));
    parser_.OnBody([this](std::string_view body) {
      if (matches_request_ && callbacks_.on_data_) {
        Guarded([&] { callbacks_.on_data_(body); });
      }
    });
    if (!matches_request_) {
      return;
    }
    keep_alive_timeout_ = core::Duration::max();
    if (const auto time = KeepAliveTimeout(parser_.headers())) {
      keep_alive_timeout_ =
          std::chrono::duration_cast<core::Duration>(*time * kKeepAliveShare);
    }
    if (callbacks_.on_headers_) {
      Guarded(
          [&] { callbacks_.on_headers_(parser_.status(), parser_.headers()); });
    }
    const auto body = std::exchange(early_body_, {});
    if (!body.empty() && callbacks_.on_data_) {
      Guarded([&] { callbacks_.on_data_(body); });
    }
  }

  /// Prepares for the next response if the one that ended was interim (1xx) or
  /// belongs to an earlier request.
  /// @return whether another response is awaited.
  bool SkipUnrelatedResponse() {
    if (matches_request_) {
      return false;
    }
    const bool more = parser_.status() < 200 || parser_.keep_alive();
    if (!more || ++skipped_ > kMaxSkippedResponses) {
      return false;
    }
    parser_.Next(Limits());
    head_delivered_ = false;
    return true;
  }

  void OnEnd(StreamEnd end) {
    if (!busy()) {
      return;
    }
    const auto self = self_;
    const bool complete = end == StreamEnd::kClosed && head_delivered_ &&
                          matches_request_ && parser_.FeedEof();
    Finish(complete ? HttpEnd::kCloseDelimited : HttpEnd::kBroken);
  }

  void FinishComplete(bool no_trailing_bytes) {
    if (!matches_request_) {
      Finish(HttpEnd::kBroken);
      return;
    }
    const bool keep = no_trailing_bytes && options_.keep_alive_ &&
                      parser_.keep_alive() && stream_->open() &&
                      stream_->pending() == 0;
    if (!keep) {
      Finish(HttpEnd::kComplete);
      return;
    }
    timer_.Cancel();
    total_timer_.Cancel();
    const auto self = std::move(self_);
    const auto done = std::move(callbacks_.on_end_);
    const auto max_idle = options_.max_idle_time_;
    callbacks_ = {};
    options_ = {};
    stream_->SetReading(true);
    KeepForReuse(max_idle);
    state_->AddIdle(self);
    if (done) {
      Guarded([&] { done(HttpEnd::kComplete); });
    }
  }

  void Finish(HttpEnd end) {
    const auto self = shared_from_this();
    const auto done = std::move(callbacks_.on_end_);
    callbacks_ = {};
    options_ = {};
    Abandon();
    if (done) {
      Guarded([&] { done(end); });
    }
  }

  std::shared_ptr<State> state_;
  Address address_;
  TcpStream::Ptr stream_;
  HttpParser parser_;
  HttpCallbacks callbacks_;
  HttpSendOptions options_;
  /// Request not yet written; empty once it is sent.
  std::string request_bytes_;
  /// Body bytes that arrived with the head.
  std::string early_body_;
  bool head_delivered_ = false;
  /// The current response is final and accepted by the options.
  bool matches_request_ = true;
  /// kKeepAliveShare of the server's keep-alive timeout; unlimited without one.
  core::Duration keep_alive_timeout_ = core::Duration::max();
  core::TimePoint idle_since_;
  Timer timer_;
  /// Runs while a request with a total timeout is in flight.
  Timer total_timer_;
  /// Responses skipped before that to the current request.
  int skipped_ = 0;
  /// Set while a request is in flight; keeps the connection alive.
  std::shared_ptr<Connection> self_;
};

HttpClient::State::ConnectionPtr HttpClient::State::TakeIdle(
    const Address& address, core::Duration max_idle) {
  const auto found = idle_.find(address);
  if (found == idle_.end()) {
    return nullptr;
  }
  auto& idle = found->second;
  const auto now = loop_.Now();
  ConnectionPtr taken;
  while (!idle.empty() && taken == nullptr) {
    // The connection used last is the least likely to have been closed.
    auto connection = std::move(idle.back());
    idle.pop_back();
    if (connection->IsReusable(now, max_idle)) {
      taken = std::move(connection);
    } else {
      connection->Close();
    }
  }
  if (idle.empty()) {
    idle_.erase(found);
  }
  return taken;
}

void HttpClient::State::AddIdle(const ConnectionPtr& connection) {
  auto& idle = idle_[connection->address()];
  idle.push_back(connection);
  if (idle.size() > kMaxIdlePerAddress) {
    const auto oldest = idle.front();
    idle.pop_front();
    oldest->Close();
  }
}

void HttpClient::State::CloseIdle(const ConnectionPtr& connection) {
  const auto found = idle_.find(connection->address());
  if (found != idle_.end()) {
    std::erase(found->second, connection);
    if (found->second.empty()) {
      idle_.erase(found);
    }
  }
  connection->Close();
}

HttpClient::HttpClient(Loop& loop, core::Duration io_timeout)
    : state_(std::make_shared<State>(loop, io_timeout)) {}

HttpClient::~HttpClient() { state_->idle_.clear(); }

std::shared_ptr<HttpCall> HttpClient::Send(const Address& address,
                                           const HttpRequest& request,
                                           HttpCallbacks callbacks,
                                           HttpSendOptions options) {
  auto connection = options.keep_alive_
                        ? state_->TakeIdle(address, options.max_idle_time_)
                        : nullptr;
  if (connection == nullptr) {
    connection = std::make_shared<State::Connection>(state_, address);
  }
  connection->Start(request, std::move(callbacks), std::move(options));
  return connection;
}

std::size_t HttpClient::ConnectionsTo(const Address& address) const {
  const auto found = state_->connections_.find(address);
  return found == state_->connections_.end() ? 0 : found->second;
}

std::shared_ptr<HttpCall> HttpClient::Fetch(
    const Address& address, const HttpRequest& request,
    std::function<void(HttpResponse)> done, std::size_t max_bytes,
    HttpSendOptions options) {
  auto response = std::make_shared<HttpResponse>();
  HttpCallbacks callbacks;
  callbacks.on_headers_ = [response](int status, const HttpHeaders& headers) {
    response->status_ = status;
    response->headers_ = headers;
  };
  callbacks.on_data_ = [response](std::string_view data) {
    response->body_.append(data);
  };
  callbacks.on_end_ = [response, done = std::move(done)](HttpEnd end) {
    response->end_ = end;
    done(std::move(*response));
  };
  options.max_body_bytes_ = max_bytes;
  options.total_timeout_ = options.total_timeout_.value_or(kFetchTimeout);
  return Send(address, request, std::move(callbacks), std::move(options));
}

}  // namespace chalkwell::daemon
