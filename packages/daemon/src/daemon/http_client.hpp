// HTTP/1.1 client for endpoints, platform, weight store and origin, with
// keep-alive connections. A response cut short is never reported as complete.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "daemon/address.hpp"
#include "daemon/http_parser.hpp"
#include "daemon/http_server.hpp"
#include "daemon/loop.hpp"

namespace chalkwell::daemon {

/// @brief How a response ended.
enum class HttpEnd : std::uint8_t {
  /// The complete response arrived, as its framing shows.
  kComplete,
  /// The response had no length and its connection was closed, not reset. It is
  /// probably complete, but a server that crashes looks the same.
  kCloseDelimited,
  /// The connection could not be opened: nothing was sent.
  kNotSent,
  /// The connection broke or timed out after the request was sent, or the
  /// response was malformed: the server may have processed the request.
  kBroken,
};

/// @brief Text of the result for logs.
[[nodiscard]] std::string_view ToString(HttpEnd end) noexcept;

/// @brief Callbacks of one request.
struct HttpCallbacks {
  /// Status and headers of the final response arrived.
  std::function<void(int status, const HttpHeaders& headers)> on_headers_;
  /// A part of the body arrived.
  std::function<void(std::string_view bytes)> on_data_;
  /// Called exactly once, after all others, unless the request is cancelled.
  std::function<void(HttpEnd end)> on_end_;
};

/// @brief Options of one request.
struct HttpSendOptions {
  /// Whether an idle connection may be reused and the connection kept
  /// afterwards.
  bool keep_alive_ = false;
  /// A connection that was idle for longer is not reused: the server may be
  /// closing it, or the path may have broken without a reset.
  core::Duration max_idle_time_ = std::chrono::seconds(2);
  core::Duration connect_timeout_ = std::chrono::milliseconds(1000);
  /// Longest time without a byte from the server. Without a value, the client's
  /// `io_timeout`.
  std::optional<core::Duration> idle_timeout_;
  /// Longest time until the end of the response, however many bytes arrive
  /// meanwhile. Without a value it is not limited.
  std::optional<core::Duration> total_timeout_;
  /// A response with a larger body ends as kBroken.
  std::size_t max_body_bytes_ = HttpLimits{}.body_bytes_;
  /// Called once a new connection is open; the request is sent only if it
  /// returns true. Without it, the request is always sent.
  std::function<bool()> may_send_;
  /// Returns false for a response to an earlier request on the same connection:
  /// it is discarded and the next one awaited. Without it, every response is
  /// accepted.
  std::function<bool(const HttpHeaders& headers)> matches_request_;
};

/// @brief A request in flight; dropping it does not cancel it.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  /// @brief Closes the connection; no callback follows.
  virtual void Cancel() = 0;
  /// @brief Whether some of the request is not yet acknowledged by the server's
  /// TCP; false when the local system cannot tell.
  [[nodiscard]] virtual bool has_unacknowledged_data() const { return false; }
  /// @brief What shows the end of the response; valid from
  /// HttpCallbacks::on_headers_ on.
  [[nodiscard]] virtual HttpFraming framing() const {
    return HttpFraming::kLength;
  }
  /// @brief Pauses or resumes reading the response, for a slow consumer. No
  /// timeout runs while paused.
  virtual void SetReading(bool /*reading*/) {}
};

/// @brief A response collected by HttpClient::Fetch.
struct HttpResponse {
  HttpEnd end_ = HttpEnd::kNotSent;
  int status_ = 0;
  HttpHeaders headers_;
  std::string body_;

  /// @brief Whether the response ended normally with a 2xx status.
  [[nodiscard]] bool ok() const noexcept {
    return (end_ == HttpEnd::kComplete || end_ == HttpEnd::kCloseDelimited) &&
           status_ >= 200 && status_ < 300;
  }
};

/// @brief Client on one loop. Idle connections are kept per address.
class HttpClient {
 public:
  /// Total timeout of a collected response.
  static constexpr auto kFetchTimeout = std::chrono::seconds(30);

  /// @param io_timeout default of the longest time without a byte from the
  /// server.
  HttpClient(Loop& loop, core::Duration io_timeout);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  /// @brief Sends a request; the callbacks report the response. One whose
  /// target or headers would end their line ends as kNotSent.
  std::shared_ptr<HttpCall> Send(const Address& address,
                                 const HttpRequest& request,
                                 HttpCallbacks callbacks,
                                 HttpSendOptions options = {});
  /// @brief Sends a request and collects the response.
  /// @param done called once, unless cancelled.
  /// @param max_bytes limit of the body; a longer one ends as kBroken.
  /// @param options without a total timeout, kFetchTimeout applies.
  std::shared_ptr<HttpCall> Fetch(const Address& address,
                                  const HttpRequest& request,
                                  std::function<void(HttpResponse)> done,
                                  std::size_t max_bytes = std::size_t{64} << 20,
                                  HttpSendOptions options = {});
  /// @brief Number of connections to an address, idle or in use.
  [[nodiscard]] std::size_t ConnectionsTo(const Address& address) const;

 private:
  struct State;
  /// Shared with connections and calls, so it may outlive the client.
  std::shared_ptr<State> state_;
};

}  // namespace chalkwell::daemon
