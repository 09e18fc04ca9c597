// Interface of HTTP servers, and an HTTP/1.1 and HTTP/2 server based on h2o.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

#include "daemon/address.hpp"
#include "daemon/loop.hpp"

namespace chalkwell::daemon {

/// @brief Name, in lower case, and value.
using HttpHeader = std::pair<std::string, std::string>;
using HttpHeaders = std::vector<HttpHeader>;

/// @brief Value of the first header with a name.
/// @param name in lower case.
/// @return an empty view when there is none.
[[nodiscard]] std::string_view FindHeader(const HttpHeaders& headers,
                                          std::string_view name) noexcept;

/// @brief A complete request.
struct HttpRequest {
  std::string method_;
  /// Path and query.
  std::string path_;
  HttpHeaders headers_;
  std::string body_;
};

/// @brief One request and the response to it.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  [[nodiscard]] virtual const HttpRequest& request() const noexcept = 0;
  /// @brief False once the caller has disconnected; writes are then ignored.
  [[nodiscard]] virtual bool open() const noexcept = 0;

  /// @brief Sends a complete response.
  virtual void Respond(int status, const HttpHeaders& headers,
                       std::string body) = 0;
  /// @brief Sends the head of a streamed response.
  virtual void Start(int status, const HttpHeaders& headers) = 0;
  /// @brief Sends the head of a response of unknown length that is delimited by
  /// the close of the connection. Servers without support for that use Start.
  virtual void StartCloseDelimited(int status, const HttpHeaders& headers) {
    Start(status, headers);
  }
  /// @brief Sends a part of the body of a streamed response.
  virtual void Write(std::string_view bytes) = 0;
  /// @brief Ends a streamed response.
  /// @param complete false breaks the connection, so that the caller sees that
  /// the response is incomplete.
  virtual void End(bool complete) = 0;
  /// @brief Sets the handler that is called once if the caller disconnects
  /// before the end of the response.
  virtual void OnAbort(std::function<void()> handler) = 0;
  /// @brief Number of bytes written and not yet handed to the system; 0 when
  /// the server does not track them.
  [[nodiscard]] virtual std::size_t pending() const noexcept { return 0; }
  /// @brief Sets the handler that is called whenever queued bytes have all been
  /// handed to the system; not supported by every server.
  virtual void OnDrained(const std::function<void()>& /*handler*/) {}
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;
using HttpHandler = std::function<void(HttpExchangePtr)>;

/// @brief Settings of an HttpServer.
struct HttpServerSettings {
  Address address_;
  /// Requests with larger bodies are refused with 413.
  std::size_t max_body_bytes_ = std::size_t{1} << 20;
  /// Connections that may be open; 0 for no limit. Beyond it, the one without a
  /// request for longest is closed.
  std::size_t max_connections_ = 0;
};

/// @brief Listener that hands each complete request to a handler. Requests with
/// headers of more than 32 KiB are refused with 431.
class HttpServer {
 public:
  /// @throws core::Error when the address cannot be listened on.
  HttpServer(Loop& loop, const HttpServerSettings& settings,
             HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @brief Port listened on, also when the settings had port 0.
  [[nodiscard]] std::uint16_t port() const noexcept;
  /// @brief Accepts no further connections.
  void StopAccepting();

 private:
  struct State;
  /// Never deleted; see http_server.cpp.
  State* state_;
};

}  // namespace chalkwell::daemon
