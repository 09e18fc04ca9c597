// A connection carries one request at a time. It is kept only when the response
// was whole, nothing followed it and the server did not ask to close.
#include "daemon/http_client.hpp"

#include <algorithm>
#include <charconv>
#include <deque>
#include <utility>

#include "daemon/http_parser.hpp"
#include "daemon/tcp_stream.hpp"

namespace chalkwell::daemon {
namespace {

/// Part of the server's own limit within which a kept connection is used.
constexpr double kKeepShare = 0.5;
/// Connections at rest to one address; more are closed.
constexpr std::size_t kMaxAtRest = 16;

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

/// How long the server keeps a connection at rest, as its header says.
std::optional<core::Duration> KeepAliveTime(const HttpHeaders& headers) {
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
    case HttpEnd::kWhole:
      return "whole answer";
    case HttpEnd::kUnframed:
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

  ConnectionPtr TakeKept(const Address& address, core::Duration max_rest);
  void Keep(const ConnectionPtr& connection);
  /// A connection at rest is not to be used any more.
  void Forget(const ConnectionPtr& connection);

  Loop& loop_;
  core::Duration io_timeout_;
  std::map<Address, std::deque<ConnectionPtr>> at_rest_;
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
        timer_(state_->loop_) {
    ++state_->connections_[address_];
  }
  ~Connection() override {
    const auto found = state_->connections_.find(address_);
    if (--found->second == 0) {
      state_->connections_.erase(found);
    }
  }

  [[nodiscard]] const Address& address() const noexcept { return address_; }
  [[nodiscard]] bool Fresh(core::TimePoint now, core::Duration max_rest) const {
    return stream_ != nullptr && stream_->open() &&
           now - rested_since_ < std::min(max_rest, keep_time_);
  }

  void Start(const HttpRequest& request, HttpCallbacks callbacks,
             HttpSendOptions options) {
    self_ = shared_from_this();
    callbacks_ = std::move(callbacks);
    options_ = std::move(options);
    timer_.Cancel();
    bytes_ = Serialize(address_, request, options_.keep_);
    parser_.Next(HttpLimits{});
    if (request.method_ == "HEAD") {
      parser_.ExpectNoBody();
    }
    told_head_ = false;
    if (stream_ != nullptr) {
      SendBytes();
      return;
    }
    StreamSettings settings;
    settings.connect_timeout_ = options_.connect_timeout_;
    stream_ = TcpStream::Connect(state_->loop_, address_, settings,
                                 [this](bool open) {
                                   if (open && MaySend()) {
                                     Watch();
                                     SendBytes();
                                   } else {
                                     Finish(HttpEnd::kNotSent);
                                   }
                                 });
  }

  void Cancel() override {
    // One of them may be running: they are destroyed by a later turn.
    state_->loop_.Post([dead = std::exchange(callbacks_, {})] {});
    options_ = {};
    GiveUp();
  }

  [[nodiscard]] bool undelivered() const override {
    const bool connecting = !bytes_.empty();
    return connecting || (stream_ != nullptr && stream_->undelivered());
  }

  void SetReading(bool reading) override {
    if (busy() && stream_ != nullptr) {
      stream_->SetReading(reading);
      reading ? ExpectBytes() : timer_.Cancel();
    }
  }

  /// Rests until it is used again, or no request may use it any more: then it
  /// is closed, since the server counts it among those that it can take.
  void Rest(core::Duration longest) {
    rested_since_ = state_->loop_.Now();
    timer_.Once(std::min(longest, keep_time_),
                [this] { state_->Forget(shared_from_this()); });
  }

  /// A request that got no answer must not arrive any more. After a close the
  /// system goes on sending it for as long as the path is silent; a reset makes
  /// it forget what was not delivered.
  void GiveUp() {
    if (stream_ != nullptr && !told_head_) {
      stream_->Reset();
    }
    Close();
  }

  void Close() {
    timer_.Cancel();
    if (stream_ != nullptr) {
      stream_->Close();
    }
    // The last reference may be this one.
    const auto self = std::move(self_);
  }

 private:
  [[nodiscard]] bool busy() const noexcept { return self_ != nullptr; }

  [[nodiscard]] bool MaySend() const {
    return !options_.may_send_ || options_.may_send_();
  }

  void Watch() {
    stream_->Observe(
        {.on_data_ = [this](std::string_view bytes) { OnData(bytes); },
         .on_end_ = [this](StreamEnd end) { OnEnd(end); },
         .on_drained_ = nullptr});
  }

  void SendBytes() {
    stream_->Write(std::exchange(bytes_, {}));
    ExpectBytes();
  }

  void ExpectBytes() {
    timer_.Once(options_.silence_.value_or(state_->io_timeout_),
                [this] { Finish(HttpEnd::kBroken); });
  }

  void OnData(std::string_view bytes) {
    if (!busy()) {
      // Bytes that no request asked for belong to nobody.
      stream_->Close();
      return;
    }
    const auto self = self_;
    ExpectBytes();
    while (!bytes.empty() && busy()) {
      bytes.remove_prefix(FeedSome(bytes));
      if (!busy()) {
        return;
      }
      if (parser_.fault() != HttpFault::kNone) {
        Finish(HttpEnd::kBroken);
        return;
      }
      if (parser_.done() && !SkipIfNotFinal()) {
        const bool clean = bytes.empty();
        FinishWhole(clean);
        return;
      }
    }
  }

  /// Feeds up to the end of the head first, so that it is judged before any
  /// byte of the body is handed on.
  std::size_t FeedSome(std::string_view bytes) {
    if (!told_head_) {
      held_body_.clear();
      parser_.OnBody(
          [this](std::string_view body) { held_body_.append(body); });
    }
    const auto taken = parser_.Feed(bytes);
    if (!told_head_ && parser_.head_done()) {
      TellHead();
    }
    return taken;
  }

  void TellHead() {
    told_head_ = true;
    const bool interim = parser_.status() < 200;
    ours_ = !interim &&
            (!options_.is_ours_ || options_.is_ours_(parser_.headers()));
    parser_.OnBody([this](std::string_view body) {
      if (ours_ && callbacks_.on_data_) {
        Guarded([&] { callbacks_.on_data_(body); });
      }
    });
    if (!ours_) {
      return;
    }
    keep_time_ = core::Duration::max();
    if (const auto time = KeepAliveTime(parser_.headers())) {
      keep_time_ =
          std::chrono::duration_cast<core::Duration>(*time * kKeepShare);
    }
    if (callbacks_.on_head_) {
      Guarded(
          [&] { callbacks_.on_head_(parser_.status(), parser_.headers()); });
    }
    const auto body = std::exchange(held_body_, {});
    if (!body.empty() && callbacks_.on_data_) {
      Guarded([&] { callbacks_.on_data_(body); });
    }
  }

  /// Whether the response that ended was an interim one or another request's.
  bool SkipIfNotFinal() {
    if (ours_) {
      return false;
    }
    const bool more = parser_.status() < 200 || parser_.keep_alive();
    if (!more) {
      return false;
    }
    parser_.Next(HttpLimits{});
    told_head_ = false;
    return true;
  }

  void OnEnd(StreamEnd end) {
    if (!busy()) {
      return;
    }
    const auto self = self_;
    const bool whole =
        end == StreamEnd::kClosed && told_head_ && ours_ && parser_.FeedEnd();
    Finish(whole ? HttpEnd::kUnframed : HttpEnd::kBroken);
  }

  void FinishWhole(bool clean) {
    if (!ours_) {
      Finish(HttpEnd::kBroken);
      return;
    }
    const bool keep = clean && options_.keep_ && parser_.keep_alive() &&
                      stream_->open() && stream_->pending() == 0;
    if (!keep) {
      Finish(HttpEnd::kWhole);
      return;
    }
    timer_.Cancel();
    const auto self = std::move(self_);
    const auto done = std::move(callbacks_.on_end_);
    const auto longest = options_.max_rest_;
    callbacks_ = {};
    options_ = {};
    stream_->SetReading(true);
    Rest(longest);
    state_->Keep(self);
    if (done) {
      Guarded([&] { done(HttpEnd::kWhole); });
    }
  }

  void Finish(HttpEnd end) {
    const auto self = shared_from_this();
    const auto done = std::move(callbacks_.on_end_);
    callbacks_ = {};
    options_ = {};
    GiveUp();
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
  std::string bytes_;
  std::string held_body_;
  bool told_head_ = false;
  bool ours_ = true;
  core::Duration keep_time_ = core::Duration::max();
  core::TimePoint rested_since_;
  Timer timer_;
  /// Set while a request is under way; keeps the connection alive.
  std::shared_ptr<Connection> self_;
};

HttpClient::State::ConnectionPtr HttpClient::State::TakeKept(
    const Address& address, core::Duration max_rest) {
  const auto found = at_rest_.find(address);
  if (found == at_rest_.end()) {
    return nullptr;
  }
  auto& kept = found->second;
  const auto now = loop_.Now();
  ConnectionPtr taken;
  while (!kept.empty() && taken == nullptr) {
    // The one used last is the least likely to have been closed.
    auto connection = std::move(kept.back());
    kept.pop_back();
    if (connection->Fresh(now, max_rest)) {
      taken = std::move(connection);
    } else {
      connection->Close();
    }
  }
  if (kept.empty()) {
    at_rest_.erase(found);
  }
  return taken;
}

void HttpClient::State::Keep(const ConnectionPtr& connection) {
  auto& kept = at_rest_[connection->address()];
  kept.push_back(connection);
  if (kept.size() > kMaxAtRest) {
    const auto oldest = kept.front();
    kept.pop_front();
    oldest->Close();
  }
}

void HttpClient::State::Forget(const ConnectionPtr& connection) {
  const auto found = at_rest_.find(connection->address());
  if (found != at_rest_.end()) {
    std::erase(found->second, connection);
    if (found->second.empty()) {
      at_rest_.erase(found);
    }
  }
  connection->Close();
}

HttpClient::HttpClient(Loop& loop, core::Duration io_timeout)
    : state_(std::make_shared<State>(loop, io_timeout)) {}

HttpClient::~HttpClient() { state_->at_rest_.clear(); }

std::shared_ptr<HttpCall> HttpClient::Send(const Address& address,
                                           const HttpRequest& request,
                                           HttpCallbacks callbacks,
                                           HttpSendOptions options) {
  auto connection =
      options.keep_ ? state_->TakeKept(address, options.max_rest_) : nullptr;
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
  auto oversized = std::make_shared<bool>(false);
  HttpCallbacks callbacks;
  callbacks.on_head_ = [response](int status, const HttpHeaders& headers) {
    response->status_ = status;
    response->headers_ = headers;
  };
  callbacks.on_data_ = [response, oversized, max_bytes](std::string_view data) {
    *oversized = *oversized || response->body_.size() + data.size() > max_bytes;
    if (!*oversized) {
      response->body_.append(data);
    }
  };
  callbacks.on_end_ = [response, oversized,
                       done = std::move(done)](HttpEnd end) {
    response->end_ = *oversized ? HttpEnd::kBroken : end;
    done(std::move(*response));
  };
  return Send(address, request, std::move(callbacks), std::move(options));
}

}  // namespace chalkwell::daemon
