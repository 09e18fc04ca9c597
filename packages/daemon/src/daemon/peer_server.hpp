// HTTP/2 server (h2c) for calls from other processes of the system.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "daemon/address.hpp"
#include "daemon/h2_session.hpp"

namespace chalkwell::daemon {

/// @brief Version of the messages between processes. A call with another
/// version is refused with 426.
inline constexpr std::string_view kProtocolVersion = "2";
/// @brief Header that carries the version, in requests and responses.
inline constexpr std::string_view kProtocolHeader = "x-chalkwell-protocol";

/// @brief A complete request from a peer, and the response to it.
class PeerCall {
 public:
  PeerCall(std::shared_ptr<internal::H2Session> session,
           internal::H2StreamPtr stream);

  [[nodiscard]] std::string_view path() const noexcept;
  [[nodiscard]] const std::string& body() const noexcept;
  [[nodiscard]] std::string_view header(std::string_view name) const noexcept;
  /// @brief False once the response is complete or the stream has closed;
  /// writes are then ignored.
  [[nodiscard]] bool open() const noexcept;
  /// @brief Number of bytes written and not yet handed to HTTP/2.
  [[nodiscard]] std::size_t pending() const noexcept;

  /// @brief Sends a complete response.
  void Respond(int status, std::string_view body);
  /// @brief Sends the headers of a streamed response.
  void Start(int status);
  /// @brief Sends a part of its body.
  void Write(std::string_view bytes);
  /// @brief Completes it.
  void End();
  /// @brief Resets the stream, so that the peer sees an incomplete response.
  void Abort();
  /// @brief Sets the handler that is called once when the stream closes, for
  /// any reason.
  void OnClosed(std::function<void()> handler);

 private:
  std::shared_ptr<internal::H2Session> session_;
  internal::H2StreamPtr stream_;
  std::shared_ptr<bool> closed_ = std::make_shared<bool>(false);
};

using PeerCallPtr = std::shared_ptr<PeerCall>;
using PeerHandler = std::function<void(PeerCallPtr)>;

/// @brief Listener that hands each complete request to a handler.
class PeerServer {
 public:
  /// @param max_body_bytes larger request bodies are refused with 413.
  /// @throws core::Error when the address cannot be listened on.
  PeerServer(Loop& loop, const Address& address, std::size_t max_body_bytes,
             PeerHandler handler);
  ~PeerServer();
  PeerServer(const PeerServer&) = delete;
  PeerServer& operator=(const PeerServer&) = delete;

  /// @brief Port listened on, also when the address had port 0.
  [[nodiscard]] std::uint16_t port() const noexcept;

 private:
  struct State;
  std::unique_ptr<State> state_;
};

}  // namespace chalkwell::daemon
