// HTTP/1.1 and HTTP/2 server by h2o.
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

/// @brief Name and value, names in lower case.
using HttpHeader = std::pair<std::string, std::string>;
using HttpHeaders = std::vector<HttpHeader>;

/// @brief Value of a header, or an empty text.
[[nodiscard]] std::string_view FindHeader(const HttpHeaders& headers,
                                          std::string_view name) noexcept;

/// @brief A request as it arrived, with its whole body.
struct HttpRequest {
  std::string method_;
  /// With the query.
  std::string path_;
  HttpHeaders headers_;
  std::string body_;
};

/// @brief One request and the response to it.
class HttpExchange {
 public:
  virtual ~HttpExchange() = default;

  [[nodiscard]] virtual const HttpRequest& request() const noexcept = 0;
  /// @brief False once the caller has gone away; writes are then ignored.
  [[nodiscard]] virtual bool open() const noexcept = 0;

  /// @brief Sends a whole response.
  virtual void Respond(int status, const HttpHeaders& headers,
                       std::string body) = 0;
  /// @brief Begins a streamed response.
  virtual void Start(int status, const HttpHeaders& headers) = 0;
  /// @brief Begins a response whose length nobody vouches for: it ends with the
  /// connection.
  virtual void StartUnframed(int status, const HttpHeaders& headers) {
    Start(status, headers);
  }
  virtual void Write(std::string_view bytes) = 0;
  /// @param whole false breaks the connection, so that the caller sees that
  /// the response is not whole.
  virtual void End(bool whole) = 0;
  /// @brief Called once if the caller goes away before the end.
  virtual void OnAbort(std::function<void()> handler) = 0;
  /// @brief Bytes written that the caller has not taken yet.
  [[nodiscard]] virtual std::size_t pending() const noexcept { return 0; }
  /// @brief Called whenever the caller has taken all that was written.
  virtual void OnDrained(const std::function<void()>& /*handler*/) {}
};

using HttpExchangePtr = std::shared_ptr<HttpExchange>;
using HttpHandler = std::function<void(HttpExchangePtr)>;

/// @brief Settings of a listener.
struct HttpServerSettings {
  Address address_;
  /// Larger bodies are answered with 413.
  std::size_t max_body_bytes_ = std::size_t{1} << 20;
};

/// @brief Listener that hands each request to a handler.
class HttpServer {
 public:
  /// @throws core::Error when the address cannot be listened on.
  HttpServer(Loop& loop, const HttpServerSettings& settings,
             HttpHandler handler);
  ~HttpServer();
  HttpServer(const HttpServer&) = delete;
  HttpServer& operator=(const HttpServer&) = delete;

  /// @brief Port listened on, also when the settings said 0.
  [[nodiscard]] std::uint16_t port() const noexcept;
  /// @brief Accepts no further connections.
  void StopAccepting();

 private:
  struct State;
  State* state_;
};

}  // namespace chalkwell::daemon
