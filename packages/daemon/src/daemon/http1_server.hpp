// HTTP/1.1 server on our own streams: it notices a caller that leaves while its
// request is being handled, and takes limits that change while it runs. h2o
// does neither; docs/design/platform.md says how that was tried.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <set>
#include <string>

#include "daemon/http_parser.hpp"
#include "daemon/http_server.hpp"
#include "daemon/tcp_stream.hpp"

namespace chalkwell::daemon {

namespace internal {
class Http1Connection;
}

/// @brief Hooks of a server.
struct Http1ServerHooks {
  /// Limits for the next request.
  std::function<HttpLimits()> limits_;
  /// Told of each request refused by the server itself.
  std::function<void(int status, const std::string& peer)> on_refused_;
};

/// @brief Listener that hands each request, with its whole body, to a handler.
class Http1Server {
 public:
  /// @throws core::Error when the address cannot be listened on.
  Http1Server(Loop& loop, const Address& address, Http1ServerHooks hooks,
              HttpHandler handler);
  ~Http1Server();
  Http1Server(const Http1Server&) = delete;
  Http1Server& operator=(const Http1Server&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept { return listener_.port(); }
  [[nodiscard]] std::size_t connections() const noexcept {
    return connections_.size();
  }
  /// @brief From now on each answer closes its connection.
  void CloseAfterAnswers() noexcept { closing_ = true; }
  void StopAccepting() { listener_.Stop(); }
  /// @brief Closes connections on which no request is under way.
  void CloseIdle();

 private:
  friend class internal::Http1Connection;

  Loop& loop_;
  Http1ServerHooks hooks_;
  HttpHandler handler_;
  std::set<std::shared_ptr<internal::Http1Connection>> connections_;
  bool closing_ = false;
  TcpListener listener_;
};

}  // namespace chalkwell::daemon
