// HTTP/1.1 server on TcpStream. It detects callers that disconnect while their
// request is being handled, and its limits may change while it runs. h2o does
// neither; docs/design/platform.md describes the attempt.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

#include "chalkwell/routing/caller_connections.hpp"
#include "daemon/caller_memory.hpp"
#include "daemon/http_parser.hpp"
#include "daemon/http_server.hpp"
#include "daemon/tcp_stream.hpp"

namespace chalkwell::daemon {

namespace internal {
class Http1Connection;
}

/// @brief Why a request got no response although its caller was connected.
enum class UnansweredCause : std::uint8_t {
  /// The handler released the exchange without ending the response.
  kDropped,
  /// The server was destroyed while the request was handled.
  kServerStopped,
};

/// @brief Text of a cause in logs and metrics.
[[nodiscard]] std::string_view ToString(UnansweredCause cause) noexcept;

/// @brief Why the server itself refused a request.
enum class RefusalCause : std::uint8_t {
  kMalformed,
  kHeaderTooLarge,
  kBodyTooLarge,
  /// It was not complete in time.
  kSlow,
  /// The memory for callers' connections is used up.
  kNoMemory,
  /// Its memory was needed for another request.
  kEndedForAnother,
  /// All connections that callers may have are in use.
  kNoConnection,
};

/// @brief Text of a cause in logs and metrics.
[[nodiscard]] std::string_view ToString(RefusalCause cause) noexcept;

/// @brief A request that the server itself refused.
struct HttpRefusal {
  int status_ = 0;
  RefusalCause cause_ = RefusalCause::kMalformed;
  std::string peer_ip_;
  /// Headers received so far.
  const HttpHeaders& headers_;
  /// Bytes of the body received so far.
  std::size_t body_bytes_ = 0;
  /// Set with status 503.
  std::optional<core::Duration> retry_after_;
};

/// @brief Callbacks of an Http1Server.
struct Http1ServerHooks {
  /// Returns the limits for the next request.
  std::function<HttpLimits()> limits_;
  /// Called for each request that the server itself refuses. Returns headers to
  /// add to the response.
  std::function<HttpHeaders(const HttpRefusal& refusal)> on_refused_;
  /// Called for each request whose response was not ended, complete or not,
  /// while its caller was connected; none in a correct program.
  std::function<void(UnansweredCause cause, const HttpRequest& request)>
      on_unanswered_ = nullptr;
};

/// @brief Listener that hands each complete request to a handler. It refuses
/// malformed requests with 400, slow ones with 408, requests over the limits
/// with 413 (body) or 431 (headers), and those for which there is no memory
/// with 503, and closes their connections. A request whose handler releases the
/// exchange without a response gets 500.
class Http1Server {
 public:
  /// @param memory account of what the connections hold; null for none.
  /// @param max_connections connections that may be open; 0 for no limit.
  /// Beyond it, the one that has been idle for longest is closed.
  /// @throws core::Error when the address cannot be listened on.
  Http1Server(Loop& loop, const Address& address, Http1ServerHooks hooks,
              HttpHandler handler,
              std::shared_ptr<CallerMemory> memory = nullptr,
              std::size_t max_connections = 0);
  ~Http1Server();
  Http1Server(const Http1Server&) = delete;
  Http1Server& operator=(const Http1Server&) = delete;

  /// @brief Port listened on, also when the address had port 0.
  [[nodiscard]] std::uint16_t port() const noexcept { return listener_.port(); }
  /// @brief Number of open connections.
  [[nodiscard]] std::size_t connections() const noexcept {
    return connections_.size();
  }
  /// @brief Number of open connections, including those that are closing.
  [[nodiscard]] std::size_t descriptors() const noexcept {
    return open_->phases_.size();
  }
  /// @brief From now on closes each connection after its next response whose
  /// head is not yet written, unless the next request has already arrived.
  void CloseAfterResponses() noexcept { closing_ = true; }
  /// @brief Accepts no further connections.
  void StopAccepting() { listener_.Stop(); }
  /// @brief Closes the connections that have no request, and from now on each
  /// connection once it has none.
  void CloseIdle();

 private:
  friend class internal::Http1Connection;
  using ConnectionId = routing::CallerConnections::ConnectionId;

  /// Connections whose descriptors are open. Shared with the streams, which
  /// may outlive the server.
  struct OpenConnections {
    routing::CallerConnections phases_;
    std::map<ConnectionId, std::weak_ptr<TcpStream>> streams_;
  };

  void OnAccepted(TcpStream::Ptr stream);
  /// @brief Closes connections until another one may be open.
  /// @return false if none can be closed.
  [[nodiscard]] bool MakeRoom();
  /// @brief Closes the connections that have been closing for longest, if there
  /// are too many.
  void CloseOverdue();

  Loop& loop_;
  Http1ServerHooks hooks_;
  HttpHandler handler_;
  std::shared_ptr<CallerMemory> memory_;
  std::shared_ptr<OpenConnections> open_;
  std::map<ConnectionId, std::shared_ptr<internal::Http1Connection>>
      connections_;
  bool closing_ = false;
  bool closes_idle_ = false;
  TcpListener listener_;
};

}  // namespace chalkwell::daemon
