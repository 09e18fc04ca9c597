// One TCP connection on the loop: reads, bounded writes, and how it ended.
#pragma once

#include <uv.h>

#include <cstddef>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

#include "daemon/address.hpp"
#include "daemon/loop.hpp"

namespace chalkwell::daemon {

/// @brief How a connection ended.
enum class StreamEnd : std::uint8_t {
  /// The peer closed its side after all its bytes.
  kClosed,
  /// Reset, unreachable, or silent past the system's limits.
  kBroken,
};

/// @brief What a connection tells its owner.
struct StreamObserver {
  std::function<void(std::string_view bytes)> on_data_;
  /// Called at most once; not after Close.
  std::function<void(StreamEnd end)> on_end_;
  /// All bytes written were handed to the system.
  std::function<void()> on_drained_;
};

/// @brief Limits of a connection.
struct StreamSettings {
  core::Duration connect_timeout_ = std::chrono::milliseconds(500);
  /// Bytes unacknowledged for this long break the connection
  /// (TCP_USER_TIMEOUT); a link that was cut says nothing.
  core::Duration unacknowledged_ = std::chrono::milliseconds(3000);
};

/// @brief A connection; dropping it closes it.
class TcpStream : public std::enable_shared_from_this<TcpStream> {
 public:
  using Ptr = std::shared_ptr<TcpStream>;

  /// @brief Takes a connection that waits at a listener; null when it is gone.
  [[nodiscard]] static Ptr Accept(Loop& loop, uv_stream_t* listener,
                                  const StreamSettings& settings = {});
  /// @brief Opens a connection.
  /// @param done told whether it is open; not called after Close.
  [[nodiscard]] static Ptr Connect(Loop& loop, const Address& address,
                                   const StreamSettings& settings,
                                   std::function<void(bool open)> done);
  ~TcpStream();
  TcpStream(const TcpStream&) = delete;
  TcpStream& operator=(const TcpStream&) = delete;

  void Observe(StreamObserver observer);
  [[nodiscard]] bool open() const noexcept { return handle_ != nullptr; }
  /// @brief Whether the peer's system refused the connection: nothing listens
  /// there.
  [[nodiscard]] bool refused() const noexcept { return refused_; }
  /// @brief Bytes written and not yet handed to the system.
  [[nodiscard]] std::size_t pending() const noexcept { return pending_; }
  /// @brief Whether the peer's system has not acknowledged some of what was
  /// written; false when the own system does not tell.
  [[nodiscard]] bool undelivered() const;
  /// @brief IP number of the other side.
  [[nodiscard]] std::string PeerIp() const;

  void Write(std::string bytes);
  void SetReading(bool reading);
  /// @brief Closes at once; bytes not yet sent are lost.
  void Close();
  /// @brief Sends what is pending, then ends the connection without a reset:
  /// what the peer still sends is read and dropped for a short time.
  void Finish();
  /// @brief Resets, so that the peer sees an abnormal end.
  void Reset();

 private:
  struct Handle;
  struct WriteRequest;

  TcpStream(Loop& loop, const StreamSettings& settings);
  void OnConnected(bool open);
  void StartReading();
  void ApplyOptions();
  void OnRead(ssize_t size, const char* bytes);
  void OnWritten(std::size_t size, int status);
  void End(StreamEnd end);
  void ShutDown();

  Loop& loop_;
  StreamSettings settings_;
  /// Null once closed; freed by the loop.
  Handle* handle_ = nullptr;
  StreamObserver observer_;
  std::size_t pending_ = 0;
  bool reading_ = false;
  bool finishing_ = false;
  bool refused_ = false;
  std::function<void(bool)> connected_;
  std::unique_ptr<Timer> timer_;
};

/// @brief A listening socket that hands out connections.
class TcpListener {
 public:
  /// @throws core::Error when the address cannot be listened on.
  TcpListener(Loop& loop, const Address& address,
              std::function<void(TcpStream::Ptr)> on_connection);
  ~TcpListener();
  TcpListener(const TcpListener&) = delete;
  TcpListener& operator=(const TcpListener&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }
  void Stop();

 private:
  struct State;
  /// Null once stopped; freed by the loop.
  State* state_;
  std::uint16_t port_ = 0;
};

}  // namespace chalkwell::daemon
