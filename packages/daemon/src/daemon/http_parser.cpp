// Boost.Beast's basic_parser with our own sinks. Only this file includes it.
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

/// What both kinds of parser write into.
struct Message {
  std::string method_;
  std::string target_;
  int status_ = 0;
  int version_ = 11;
  HttpHeaders headers_;
  bool head_done_ = false;
  std::function<void(std::string_view)> on_body_;
};

std::string Lower(TextView text) {
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
                        ErrorCode&) override {
    message_->status_ = status;
    message_->version_ = version;
  }
  void on_field_impl(http::field, TextView name, TextView value,
                     ErrorCode&) override {
    message_->headers_.emplace_back(Lower(name),
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

HttpFault FaultOf(const ErrorCode& error) {
  if (error == http::error::header_limit) {
    return HttpFault::kHeaderTooLarge;
  }
  if (error == http::error::body_limit) {
    return HttpFault::kBodyTooLarge;
  }
  return HttpFault::kMalformed;
}

}  // namespace

struct HttpParser::State {
  Kind kind_;
  Message message_;
  std::optional<Parser<true>> request_;
  std::optional<Parser<false>> response_;
  HttpFault fault_ = HttpFault::kNone;
  bool begun_ = false;
  /// Bytes that the parser wants to see again with more behind them.
  std::string held_;

  template <typename Task>
  [[nodiscard]] auto With(Task task) const {
    return kind_ == Kind::kRequest ? task(*request_) : task(*response_);
  }
  template <typename Task>
  auto With(Task task) {
    return kind_ == Kind::kRequest ? task(*request_) : task(*response_);
  }

  std::size_t Put(std::string_view bytes) {
    std::size_t taken = 0;
    while (taken < bytes.size()) {
      ErrorCode error;
      const auto rest = bytes.substr(taken);
      const auto size = With([&](auto& parser) {
        return parser.put(boost::asio::buffer(rest.data(), rest.size()), error);
      });
      taken += size;
      if (error == http::error::need_more) {
        break;
      }
      if (error) {
        fault_ = FaultOf(error);
        break;
      }
      if (size == 0 || With([](auto& parser) { return parser.is_done(); })) {
        break;
      }
    }
    return taken;
  }
};

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
  state_->fault_ = HttpFault::kNone;
  state_->begun_ = false;
  state_->held_.clear();
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
  if (bytes.empty() || done() || state_->fault_ != HttpFault::kNone) {
    return 0;
  }
  state_->begun_ = true;
  if (state_->held_.empty()) {
    const auto taken = state_->Put(bytes);
    if (done() || state_->fault_ != HttpFault::kNone) {
      return taken;
    }
    state_->held_.assign(bytes.substr(taken));
    return bytes.size();
  }
  const auto held = state_->held_.size();
  auto whole = std::exchange(state_->held_, {});
  whole.append(bytes);
  const auto taken = state_->Put(whole);
  if (done() || state_->fault_ != HttpFault::kNone) {
    return taken > held ? taken - held : 0;
  }
  state_->held_.assign(whole, taken);
  return bytes.size();
}

bool HttpParser::FeedEnd() {
  if (done()) {
    return true;
  }
  if (!head_done() || !state_->held_.empty()) {
    return false;
  }
  ErrorCode error;
  state_->With([&](auto& parser) { parser.put_eof(error); });
  return !error && done();
}

HttpFault HttpParser::fault() const noexcept { return state_->fault_; }

bool HttpParser::begun() const noexcept { return state_->begun_; }

bool HttpParser::head_done() const noexcept {
  return state_->message_.head_done_;
}

bool HttpParser::done() const noexcept {
  return state_->With([](const auto& parser) { return parser.is_done(); });
}

bool HttpParser::keep_alive() const noexcept {
  return state_->With([](const auto& parser) {
    return parser.is_header_done() && parser.keep_alive();
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

HttpHeaders HttpParser::TakeHeaders() {
  return std::move(state_->message_.headers_);
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
