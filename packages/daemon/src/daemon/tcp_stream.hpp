// TCP connections and listeners on the event loop.
#pragma once

#include <uv.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "daemon/address.hpp"
#include "daemon/loop.hpp"

namespace chalkwell::daemon {

/// @brief How a connection ended.
enum class StreamEnd : std::uint8_t {
  /// The peer closed its side after its last byte.
  kClosed,
  /// Reset, unreachable, or timed out by TCP.
  kBroken,
};

/// @brief Callbacks of a connection.
struct StreamCallbacks {
  std::function<void(std::string_view bytes)> on_data_;
  /// Called at most once, with the connection closed; not after Close.
  std::function<void(StreamEnd end)> on_end_;
  /// Queued bytes have all been handed to the system.
  std::function<void()> on_drained_;
};

/// @brief Timeouts of a connection.
struct StreamSettings {
  core::Duration connect_timeout_ = std::chrono::milliseconds(500);
  /// TCP_USER_TIMEOUT: the connection breaks when sent bytes stay
  /// unacknowledged for this long, since a cut link causes no reset. Also the
  /// time that CloseGracefully allows for queued bytes.
  core::Duration unacknowledged_timeout_ = std::chrono::milliseconds(3000);
};

/// @brief A connection. Releasing the last reference closes it.
class TcpStream : public std::enable_shared_from_this<TcpStream> {
 public:
  using Ptr = std::shared_ptr<TcpStream>;

  /// @brief Accepts a pending connection of a listener.
  /// @return null when the connection has gone.
  [[nodiscard]] static Ptr Accept(Loop& loop, uv_stream_t* listener,
                                  const StreamSettings& settings = {});
  /// @brief Opens a connection.
  /// @param done called once from the loop with whether the connection is open;
  /// not called after Close.
  [[nodiscard]] static Ptr Connect(Loop& loop, const Address& address,
                                   const StreamSettings& settings,
                                   std::function<void(bool open)> done);
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  /// @brief Sets the callbacks and starts reading.
  void SetCallbacks(StreamCallbacks callbacks);
  /// @brief Sets the handler that is called once, when the descriptor is
  /// closed.
  void OnClosed(std::function<void()> handler) {
    on_closed_ = std::move(handler);
  }
  [[nodiscard]] bool open() const noexcept { return handle_ != nullptr; }
  /// @brief Whether the connection attempt was refused (ECONNREFUSED): the host
  /// is up and nothing listens on the port.
  [[nodiscard]] bool refused() const noexcept { return refused_; }
  /// @brief Number of bytes written and not yet handed to the system.
  [[nodiscard]] std::size_t pending() const noexcept { return pending_; }
  /// @brief Whether some written bytes are not yet acknowledged by the peer's
  /// TCP; false when the local system cannot tell.
  [[nodiscard]] bool has_unacknowledged_data() const;
  /// @return IP address of the peer; empty when it is unknown.
  [[nodiscard]] std::string PeerIp() const;

  /// @brief Sends bytes; those that the system does not take at once are
  /// queued.
  void Write(std::string bytes);
  /// @brief Resumes or pauses reading.
  void SetReading(bool reading);
  /// @brief Receives the bytes that have arrived and were not read yet, unless
  /// reading is paused. The loop runs timers before it reads sockets.
  void ReadAvailable();
  /// @brief Closes at once; queued bytes are lost.
  void Close();
  /// @brief Sends queued bytes, shuts down the write side, and closes when the
  /// peer does or 1 s later. Bytes received meanwhile are read and discarded,
  /// since closing with unread bytes would send a reset.
  void CloseGracefully();
  /// @brief Closes with a TCP reset, so that the peer sees an abnormal end.
  void Reset();
  /// @brief Sets whether every close except CloseGracefully resets the
  /// connection. This includes the close by the system when the process ends in
  /// any way, which otherwise looks like a normal end to the peer.
  void SetResetOnClose(bool reset);

 private:
  struct Handle;
  struct WriteRequest;

  TcpStream(Loop& loop, const StreamSettings& settings);
  void OnConnected(bool open);
  void StartReading();
  void ApplyOptions();
  void OnRead(ssize_t size, const char* bytes);
  /// @brief Whether the system holds an error of the connection, such as a
  /// reset. If a reset arrives together with bytes, libuv reports the end of
  /// the stream after them and leaves the error with the system.
  [[nodiscard]] bool HasSocketError() const;
  void OnWritten(std::size_t size, int status);
  void CloseAndNotify(StreamEnd end);
  void ShutDownWrites();

  Loop& loop_;
  StreamSettings settings_;
  /// Null once closed; deleted by the loop.
  Handle* handle_ = nullptr;
  StreamCallbacks callbacks_;
  std::size_t pending_ = 0;
  bool reading_ = false;
  /// Set by CloseGracefully.
  bool closing_ = false;
  bool refused_ = false;
  std::function<void(bool)> on_connect_;
  std::function<void()> on_closed_;
  /// Connect timeout, or the time limit of CloseGracefully.
  std::unique_ptr<Timer> timer_;
};

/// @brief A listening socket.
class TcpListener {
 public:
  /// @param on_connection receives each accepted connection.
  /// @throws core::Error when the address cannot be listened on.
  TcpListener(Loop& loop, const Address& address,
              std::function<void(TcpStream::Ptr)> on_connection);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  /// @brief Port listened on, also when the address had port 0.
  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }
  /// @brief Stops listening; accepted connections stay open.
  void Stop();

 private:
  struct State;
  /// Null once stopped; deleted by the loop.
  State* state_;
  std::uint16_t port_ = 0;
};

}  // namespace chalkwell::daemon
