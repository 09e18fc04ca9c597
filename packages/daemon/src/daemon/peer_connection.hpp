// HTTP/2 client (h2c) for calls to other processes of the system.
#pragma once

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "daemon/address.hpp"
#include "daemon/h2_session.hpp"

namespace chalkwell::daemon {

/// @brief How a call to a peer ended.
enum class PeerEnd : std::uint8_t {
  /// The complete response arrived.
  kComplete,
  /// The request was not sent, or the peer refused the stream (REFUSED_STREAM),
  /// which means that it did not process the request.
  kNotSent,
  /// The stream or the connection broke after the request was sent: the peer
  /// may have processed it.
  kBroken,
};

/// @brief Callbacks of one call.
struct PeerCallbacks {
  /// The response headers arrived.
  std::function<void(int status)> on_headers_;
  /// A part of the response body arrived.
  std::function<void(std::string_view bytes)> on_data_;
  /// A ping has been unanswered for the stall timeout. The call stays open, but
  /// its owner may try another peer. Called at most once.
  std::function<void()> on_stalled_;
  /// Called exactly once, after all others, unless the call is cancelled.
  std::function<void(PeerEnd end)> on_end_;
};

/// @brief A call in flight. Dropping it does not cancel it.
class OutgoingCall {
 public:
  /// @brief Resets the stream; no callback follows.
  void Cancel();

 private:
  friend class PeerConnection;
  std::weak_ptr<internal::H2Session> session_;
  internal::H2StreamPtr stream_;
  bool cancelled_ = false;
  /// Sends the request; set until the connection is established.
  std::function<void()> send_;
  PeerCallbacks callbacks_;
};

using OutgoingCallPtr = std::shared_ptr<OutgoingCall>;

/// @brief Timeouts of a connection and its local address.
struct PeerConnectionSettings {
  core::Duration connect_timeout_ = std::chrono::milliseconds(1000);
  /// A connected peer is pinged this often.
  core::Duration ping_interval_ = std::chrono::milliseconds(1000);
  /// The connection is closed when no byte arrives for this long; checked at
  /// every ping.
  core::Duration receive_timeout_ = std::chrono::milliseconds(3000);
  /// A call sends a ping too when no byte arrived for this long.
  core::Duration ping_after_idle_ = std::chrono::milliseconds(100);
  /// `on_stalled_` is called for the calls in flight when a ping is unanswered
  /// for this long.
  core::Duration stall_timeout_ = std::chrono::milliseconds(500);
  /// Local IP address of the connection; empty when the system chooses it.
  std::string source_ip_;
};

/// @brief Connection to one peer. The first call opens it, and so does the
/// first call after it was lost; calls made meanwhile wait for it.
class PeerConnection {
 public:
  using Settings = PeerConnectionSettings;

  PeerConnection(Loop& loop, Address address, Settings settings = {});
  ~PeerConnection();
  PeerConnection(const PeerConnection&) = delete;
  PeerConnection& operator=(const PeerConnection&) = delete;

  [[nodiscard]] const Address& address() const noexcept;
  [[nodiscard]] bool connected() const noexcept;

  /// @brief Sends a POST request; the callbacks report the response.
  OutgoingCallPtr Call(std::string path, std::string body,
                       PeerCallbacks callbacks);
  /// @brief Sends a POST request and collects the response.
  /// @param done called once, unless cancelled. `status` is 0 when no headers
  /// arrived; `body` holds what arrived, whatever `end` is.
  OutgoingCallPtr Fetch(
      std::string path, std::string body,
      std::function<void(PeerEnd end, int status, std::string body)> done);
  /// @brief Sets the observer that is called with true when a ping is sent
  /// while none is outstanding, and with false when the next bytes arrive.
  void OnPing(std::function<void(bool unanswered)> observer);
  /// @brief Closes the connection: calls in flight end with kBroken, calls that
  /// wait for the connection with kNotSent.
  void Close();

 private:
  struct State;
  std::shared_ptr<State> state_;
};

}  // namespace chalkwell::daemon
