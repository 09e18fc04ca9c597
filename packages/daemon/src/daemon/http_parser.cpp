// Adapts Boost.Beast's basic_parser; no other file includes Beast.
#include "daemon/http_parser.hpp"

#include <algorithm>
#include <array>
#include <boost/beast/http/basic_parser.hpp>
#include <boost/beast/http/error.hpp>
#include <boost/beast/http/status.hpp>
#include <cctype>
#include <optional>
#include <utility>

namespace chalkwell::daemon {
namespace {

namespace http = boost::beast::http;
using ErrorCode = boost::beast::error_code;
using TextView = boost::beast::string_view;

/// Valid status codes. This process asks for no other protocol, so that what
/// follows a response that switches to one is no response.
constexpr int kFirstStatus = 100;
constexpr int kLastStatus = 599;
constexpr int kSwitchingProtocols = 101;

/// Message under construction, filled by either kind of parser.
struct Message {
  std::string method_;
  std::string target_;
  int status_ = 0;
  /// 10 for HTTP/1.0, 11 for HTTP/1.1.
  int version_ = 11;
  HttpHeaders headers_;
  bool head_done_ = false;
  std::function<void(std::string_view)> on_body_;
};

std::string ToLower(TextView text) {
  std::string lower(text.data(), text.size());
  std::ranges::transform(lower, lower.begin(), [](unsigned char c) {
    return static_cast<char>(std::tolower(c));
  });
  return lower;
}

template <bool kIsRequest>
class Parser final : public http::basic_parser<kIsRequest> {
 public:
  Parser(Message& message, const HttpLimits& limits) : message_(&message) {
    this->eager(true);
    this->header_limit(static_cast<std::uint32_t>(limits.header_bytes_));
    this->body_limit(limits.body_bytes_);
  }

 private:
  void on_request_impl(http::verb, TextView method, TextView target,
                       int version, ErrorCode&) override {
    message_->method_.assign(method.data(), method.size());
    message_->target_.assign(target.data(), target.size());
    message_->version_ = version;
  }
  void on_response_impl(int status, TextView, int version,
                        ErrorCode& error) override {
    if (status < kFirstStatus || status > kLastStatus ||
        status == kSwitchingProtocols) {
      error = http::error::bad_status;
      return;
    }
    message_->status_ = status;
    message_->version_ = version;
  }
  void on_field_impl(http::field, TextView name, TextView value,
                     ErrorCode&) override {
    message_->headers_.emplace_back(ToLower(name),
                                    std::string(value.data(), value.size()));
  }
  void on_header_impl(ErrorCode&) override { message_->head_done_ = true; }
  void on_body_init_impl(boost::optional<std::uint64_t> const&,
                         ErrorCode&) override {}
  std::size_t on_body_impl(TextView body, ErrorCode&) override {
    return Deliver(body);
  }
  void on_chunk_header_impl(std::uint64_t, TextView, ErrorCode&) override {}
  std::size_t on_chunk_body_impl(std::uint64_t, TextView body,
                                 ErrorCode&) override {
    return Deliver(body);
  }
  void on_finish_impl(ErrorCode&) override {}

  std::size_t Deliver(TextView body) {
    if (message_->on_body_) {
      message_->on_body_({body.data(), body.size()});
    }
    return body.size();
  }

  Message* message_;
};

HttpParseError ToParseError(const ErrorCode& error) {
  if (error == http::error::header_limit) {
    return HttpParseError::kHeaderTooLarge;
  }
  if (error == http::error::body_limit) {
    return HttpParseError::kBodyTooLarge;
  }
  return HttpParseError::kMalformed;
}

}  // namespace

struct HttpParser::State {
  Kind kind_;
  Message message_;
  std::optional<Parser<true>> request_;
  std::optional<Parser<false>> response_;
  HttpParseError error_ = HttpParseError::kNone;
  bool started_ = false;
  /// Bytes that Beast did not consume yet; passed again together with the next.
  /// Beast limits heads, but not chunk headers and trailers.
  std::string unparsed_;
  std::size_t max_unparsed_ = 0;

  void Keep(std::string_view bytes) {
    unparsed_.assign(bytes);
    if (unparsed_.size() > max_unparsed_) {
      error_ = HttpParseError::kMalformed;
    }
  }

  template <typename Task>
  [[nodiscard]] auto WithParser(Task task) const {
    return kind_ == Kind::kRequest ? task(*request_) : task(*response_);
  }
  template <typename Task>
  auto WithParser(Task task) {
    return kind_ == Kind::kRequest ? task(*request_) : task(*response_);
  }

  std::size_t Parse(std::string_view bytes) {
    std::size_t consumed = 0;
    while (consumed < bytes.size()) {
      ErrorCode error;
      const auto remaining = bytes.substr(consumed);
      const auto size = WithParser([&](auto& parser) {
        return parser.put(
            boost::asio::buffer(remaining.data(), remaining.size()), error);
      });
      consumed += size;
      if (error == http::error::need_more) {
        break;
      }
      if (error) {
        error_ = ToParseError(error);
        break;
      }
      if (size == 0 ||
          WithParser([](auto& parser) { return parser.is_done(); })) {
        break;
      }
    }
    return consumed;
  }
};

std::string_view ToString(HttpFraming framing) noexcept {
  switch (framing) {
    case HttpFraming::kLength:
      return "length";
    case HttpFraming::kChunked:
      return "chunks";
    case HttpFraming::kConnectionEnd:
      return "connection end";
  }
  return "connection end";
}

HttpParser::HttpParser(Kind kind, const HttpLimits& limits)
    : state_(std::make_unique<State>()) {
  state_->kind_ = kind;
  Next(limits);
}

HttpParser::~HttpParser() = default;

void HttpParser::OnBody(std::function<void(std::string_view)> handler) {
  state_->message_.on_body_ = std::move(handler);
}

void HttpParser::Next(const HttpLimits& limits) {
  auto on_body = std::move(state_->message_.on_body_);
  state_->message_ = {};
  state_->message_.on_body_ = std::move(on_body);
  state_->error_ = HttpParseError::kNone;
  state_->started_ = false;
  state_->unparsed_.clear();
  state_->max_unparsed_ = limits.header_bytes_;
  if (state_->kind_ == Kind::kRequest) {
    state_->request_.emplace(state_->message_, limits);
  } else {
    state_->response_.emplace(state_->message_, limits);
  }
}

void HttpParser::ExpectNoBody() {
  if (state_->response_) {
    state_->response_->skip(true);
  }
}

std::size_t HttpParser::Feed(std::string_view bytes) {
  if (bytes.empty() || done() || state_->error_ != HttpParseError::kNone) {
    return 0;
  }
  state_->started_ = true;
  if (state_->unparsed_.empty()) {
    const auto consumed = state_->Parse(bytes);
    if (done() || state_->error_ != HttpParseError::kNone) {
      return consumed;
    }
    state_->Keep(bytes.substr(consumed));
    return bytes.size();
  }
  const auto unparsed_size = state_->unparsed_.size();
  auto joined = std::exchange(state_->unparsed_, {});
  joined.append(bytes);
  const auto consumed = state_->Parse(joined);
  if (done() || state_->error_ != HttpParseError::kNone) {
    return consumed > unparsed_size ? consumed - unparsed_size : 0;
  }
  state_->Keep(std::string_view(joined).substr(consumed));
  return bytes.size();
}

bool HttpParser::FeedEof() {
  if (done()) {
    return true;
  }
  if (!head_done() || !state_->unparsed_.empty()) {
    return false;
  }
  ErrorCode error;
  state_->WithParser([&](auto& parser) { parser.put_eof(error); });
  return !error && done();
}

HttpParseError HttpParser::error() const noexcept { return state_->error_; }

bool HttpParser::started() const noexcept { return state_->started_; }

bool HttpParser::head_done() const noexcept {
  return state_->message_.head_done_;
}

bool HttpParser::done() const noexcept {
  return state_->WithParser(
      [](const auto& parser) { return parser.is_done(); });
}

bool HttpParser::keep_alive() const noexcept {
  return state_->WithParser([](const auto& parser) {
    return parser.is_header_done() && parser.keep_alive();
  });
}

HttpFraming HttpParser::framing() const {
  return state_->WithParser([](const auto& parser) {
    if (parser.chunked()) {
      return HttpFraming::kChunked;
    }
    return parser.need_eof() ? HttpFraming::kConnectionEnd
                             : HttpFraming::kLength;
  });
}

bool HttpParser::http_1_0() const noexcept {
  return state_->message_.version_ < 11;
}

int HttpParser::status() const noexcept { return state_->message_.status_; }

const std::string& HttpParser::method() const noexcept {
  return state_->message_.method_;
}

const std::string& HttpParser::target() const noexcept {
  return state_->message_.target_;
}

const HttpHeaders& HttpParser::headers() const noexcept {
  return state_->message_.headers_;
}

std::size_t HttpParser::held_bytes() const noexcept {
  return HeldBytes(state_->unparsed_) + HeldBytes(state_->message_.headers_);
}

HttpHeaders HttpParser::TakeHeaders() {
  return std::move(state_->message_.headers_);
}

std::size_t HeldBytes(const std::string& text) noexcept {
  // A short text is part of its object.
  static const auto kShort = std::string().capacity();
  return text.capacity() > kShort ? text.capacity() + 1 : 0;
}

std::size_t HeldBytes(const HttpHeaders& headers) noexcept {
  auto bytes = headers.capacity() * sizeof(HttpHeader);
  for (const auto& [name, value] : headers) {
    bytes += HeldBytes(name) + HeldBytes(value);
  }
  return bytes;
}

bool IsConnectionHeader(std::string_view name) noexcept {
  static constexpr auto kNames = std::to_array<std::string_view>(
      {"connection", "keep-alive", "proxy-connection", "te", "trailer",
       "transfer-encoding", "upgrade", "proxy-authenticate",
       "proxy-authorization"});
  return std::ranges::find(kNames, name) != kNames.end();
}

std::string_view StatusText(int status) noexcept {
  const auto text =
      http::obsolete_reason(http::int_to_status(static_cast<unsigned>(status)));
  return {text.data(), text.size()};
}

}  // namespace chalkwell::daemon
