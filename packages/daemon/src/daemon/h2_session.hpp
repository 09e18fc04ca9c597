// HTTP/2 connection (h2c) between two processes of the system, with nghttp2
// over libuv. Used by PeerServer and PeerConnection only.
#pragma once

#include <nghttp2/nghttp2.h>
#include <uv.h>

#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>

#include "daemon/http_server.hpp"
#include "daemon/loop.hpp"

namespace chalkwell::daemon::internal {

/// @brief One stream of a session.
struct H2Stream {
  std::int32_t id_ = 0;
  /// Received headers: of the request or of the response.
  HttpHeaders headers_;
  /// Body received so far; filled by PeerServer.
  std::string received_body_;
  /// Bytes to send; those before `send_offset_` are handed to nghttp2 already.
  std::string send_buffer_;
  std::size_t send_offset_ = 0;
  /// No bytes follow those in `send_buffer_`.
  bool send_ended_ = false;
  /// nghttp2 was told that there are no bytes yet (NGHTTP2_ERR_DEFERRED).
  bool deferred_ = false;
  std::function<void()> on_headers_;
  std::function<void(std::string_view)> on_data_;
  /// The other side has sent its last byte.
  std::function<void()> on_end_;
  /// Called once.
  /// @param error HTTP/2 error code; NO_ERROR (0) for a normal end.
  std::function<void(std::uint32_t error)> on_closed_;

  /// @return number of bytes not yet handed to nghttp2.
  [[nodiscard]] std::size_t pending() const noexcept {
    return send_buffer_.size() - send_offset_;
  }
  /// @brief Clears all handlers, since they may own the stream, and calls
  /// `on_closed_`.
  void Finish(std::uint32_t error);
};

using H2StreamPtr = std::shared_ptr<H2Stream>;

/// @brief Bytes received and sent by all sessions of this process since its
/// start.
struct TransportTotals {
  std::uint64_t received_bytes_ = 0;
  std::uint64_t sent_bytes_ = 0;
};
[[nodiscard]] TransportTotals& TotalTransportBytes() noexcept;

/// @brief Server or client side of one connection.
class H2Session : public std::enable_shared_from_this<H2Session> {
 public:
  enum class Side : std::uint8_t { kServer, kClient };

  H2Session(Loop& loop, Side side);
  ~H2Session();
  H2Session(const H2Session&) = delete;
  H2Session& operator=(const H2Session&) = delete;

  [[nodiscard]] uv_tcp_t* tcp() noexcept { return tcp_; }
  [[nodiscard]] bool closed() const noexcept { return closed_; }
  /// @brief When bytes last arrived; at first the time of construction.
  [[nodiscard]] core::TimePoint last_received() const noexcept {
    return last_received_;
  }

  /// @brief Starts the session; the socket must be connected.
  void Begin();
  /// @brief Client: opens a stream with a complete request.
  /// @return null when the session is closed or no stream can be opened.
  H2StreamPtr Submit(const HttpHeaders& headers, std::string body);
  /// @brief Server: sends response headers; the body follows by Write.
  void Respond(const H2StreamPtr& stream, const HttpHeaders& headers);
  /// @brief Queues bytes of the body.
  void Write(const H2StreamPtr& stream, std::string_view bytes);
  /// @brief Ends the body once the queued bytes are sent.
  void EndStream(const H2StreamPtr& stream);
  /// @brief Sends RST_STREAM.
  /// @param error HTTP/2 error code.
  void Reset(const H2StreamPtr& stream, std::uint32_t error);
  /// @brief Sends a PING frame.
  void Ping();
  /// @brief Closes the connection; all open streams end with INTERNAL_ERROR.
  void Close();

  /// Server: called with each new stream once its request headers are complete.
  std::function<void(H2StreamPtr)> on_stream_;
  /// Called once when the connection is closed, from either side.
  std::function<void()> on_closed_;
  /// Called once when the next bytes arrive, before they are processed.
  std::function<void()> on_next_received_;

 private:
  struct Callbacks;
  friend struct Callbacks;

  void Flush();
  void OnRead(ssize_t size, const char* data);
  void CloseStreams();

  Loop& loop_;
  Side side_;
  /// Deleted by its close callback. Its `data` is null before Begin and after
  /// Close.
  uv_tcp_t* tcp_;
  nghttp2_session* session_ = nullptr;
  std::unordered_map<std::int32_t, H2StreamPtr> streams_;
  core::TimePoint last_received_;
  /// Bytes handed to libuv and not yet written.
  std::size_t queued_write_bytes_ = 0;
  /// Set while nghttp2 runs: it must not be called from its own callbacks.
  bool flushing_ = false;
  bool receiving_ = false;
  bool closed_ = false;
};

}  // namespace chalkwell::daemon::internal
