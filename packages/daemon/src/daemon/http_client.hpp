// HTTP/1.1 client towards endpoints, platform, weight store and origin, with
// kept connections. A cut never looks like a whole response.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "daemon/address.hpp"
#include "daemon/http_server.hpp"
#include "daemon/loop.hpp"

namespace chalkwell::daemon {

/// @brief How a response ended.
enum class HttpEnd : std::uint8_t {
  /// The whole response arrived.
  kWhole,
  /// The response gave no length and its connection was closed, not reset:
  /// whole as far as can be told. A server that dies looks the same.
  kUnframed,
  /// The connection could not be opened: nothing was sent.
  kNotSent,
  /// The connection broke or timed out after the request was sent.
  kBroken,
};

/// @brief Text of a response's end in logs.
[[nodiscard]] std::string_view ToString(HttpEnd end) noexcept;

/// @brief What the client reports of one response.
struct HttpCallbacks {
  std::function<void(int status, const HttpHeaders& headers)> on_head_;
  std::function<void(std::string_view bytes)> on_data_;
  /// Called exactly once, last, unless cancelled.
  std::function<void(HttpEnd end)> on_end_;
};

/// @brief How one request uses connections.
struct HttpSendOptions {
  /// Whether a kept connection may be used, and kept afterwards.
  bool keep_ = false;
  /// A connection at rest for longer is not used again: the server may be
  /// closing it, or the path may have gone silent.
  core::Duration max_rest_ = std::chrono::seconds(2);
  core::Duration connect_timeout_ = std::chrono::milliseconds(1000);
  /// Longest silence of the server; the client's own when left out.
  std::optional<core::Duration> silence_;
  /// Asked when a new connection has opened: false when the request is not to
  /// be sent any more. None for always.
  std::function<bool()> may_send_;
  /// False for a response that belongs to an earlier request on the same
  /// connection: it is dropped and the next one is awaited.
  std::function<bool(const HttpHeaders& headers)> is_ours_;
};

/// @brief A request under way; dropping it does not cancel it.
class HttpCall {
 public:
  virtual ~HttpCall() = default;
  /// @brief Closes the connection; no callback follows.
  virtual void Cancel() = 0;
  /// @brief Whether the server's system has not acknowledged some of the
  /// request; false when the system does not tell.
  [[nodiscard]] virtual bool undelivered() const { return false; }
  /// @brief Holds back the response while its reader is slow.
  virtual void SetReading(bool /*reading*/) {}
};

/// @brief A whole response.
struct HttpResponse {
  HttpEnd end_ = HttpEnd::kNotSent;
  int status_ = 0;
  HttpHeaders headers_;
  std::string body_;

  [[nodiscard]] bool ok() const noexcept {
    return (end_ == HttpEnd::kWhole || end_ == HttpEnd::kUnframed) &&
           status_ >= 200 && status_ < 300;
  }
};

/// @brief Client on one loop.
class HttpClient {
 public:
  /// @param io_timeout longest silence of a server.
  HttpClient(Loop& loop, core::Duration io_timeout);
  ~HttpClient();
  HttpClient(const HttpClient&) = delete;
  HttpClient& operator=(const HttpClient&) = delete;

  std::shared_ptr<HttpCall> Send(const Address& address,
                                 const HttpRequest& request,
                                 HttpCallbacks callbacks,
                                 HttpSendOptions options = {});
  /// @brief Sends a request and collects the whole response.
  /// @param max_bytes longer bodies count as broken.
  std::shared_ptr<HttpCall> Fetch(const Address& address,
                                  const HttpRequest& request,
                                  std::function<void(HttpResponse)> done,
                                  std::size_t max_bytes = std::size_t{64} << 20,
                                  HttpSendOptions options = {});
  /// @brief Connections to an address, at rest or in use.
  [[nodiscard]] std::size_t ConnectionsTo(const Address& address) const;

 private:
  struct State;
  /// Connections and calls share it: it may outlive the client.
  std::shared_ptr<State> state_;
};

}  // namespace chalkwell::daemon
