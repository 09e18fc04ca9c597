// TCP with libuv. A handle outlives its owner until the loop has closed it.
#include "daemon/tcp_stream.hpp"

#include <arpa/inet.h>
#include <linux/sockios.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/ioctl.h>

#include <array>
#include <utility>

#include "chalkwell/core/error.hpp"

namespace chalkwell::daemon {
namespace {

constexpr int kBacklog = 1024;
/// Size of the read buffer. All streams of a thread share it, since a loop
/// reads one stream at a time.
constexpr std::size_t kReadBufferBytes = std::size_t{32} << 10;
/// Size of the buffer of ReadAvailable, and the most that one call receives.
constexpr std::size_t kAvailableReadBytes = std::size_t{16} << 10;
constexpr std::size_t kMaxAvailableBytes = std::size_t{1} << 20;
/// How long received bytes are discarded after the write side was shut down.
constexpr auto kLingerTimeout = std::chrono::milliseconds(1000);
/// TCP keep-alive detects a lost peer while nothing is written.
constexpr int kKeepAliveIdleSeconds = 2;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbeCount = 3;

std::array<char, kReadBufferBytes>& ReadBuffer() {
  thread_local std::array<char, kReadBufferBytes> buffer;
  return buffer;
}

void SetOption(int descriptor, int level, int option, int value) {
  (void)::setsockopt(descriptor, level, option, &value, sizeof(value));
}

}  // namespace

struct TcpStream::Handle {
  uv_tcp_t tcp_{};
  /// Null once the owner has closed it.
  TcpStream* owner_ = nullptr;
};

struct TcpStream::WriteRequest {
  uv_write_t request_{};
  std::string bytes_;
};

TcpStream::TcpStream(Loop& loop, const StreamSettings& settings)
    : loop_(loop), settings_(settings), handle_(new Handle) {
  uv_tcp_init(loop.raw(), &handle_->tcp_);
  handle_->tcp_.data = handle_;
  handle_->owner_ = this;
}

TcpStream::~TcpStream() { Close(); }

TcpStream::Ptr TcpStream::Accept(Loop& loop, uv_stream_t* listener,
                                 const StreamSettings& settings) {
  Ptr stream(new TcpStream(loop, settings));
  auto* raw = reinterpret_cast<uv_stream_t*>(&stream->handle_->tcp_);
  if (uv_accept(listener, raw) != 0) {
    return nullptr;
  }
  stream->ApplyOptions();
  return stream;
}

TcpStream::Ptr TcpStream::Connect(Loop& loop, const Address& address,
                                  const StreamSettings& settings,
                                  std::function<void(bool open)> done) {
  Ptr stream(new TcpStream(loop, settings));
  stream->on_connect_ = std::move(done);
  auto* request = new uv_connect_t;
  const auto storage = address.ToSockaddr();
  const int error = uv_tcp_connect(
      request, &stream->handle_->tcp_,
      reinterpret_cast<const sockaddr*>(&storage),
      [](uv_connect_t* connect, int status) {
        auto* owner = static_cast<Handle*>(connect->handle->data)->owner_;
        delete connect;
        if (owner != nullptr) {
          owner->refused_ = status == UV_ECONNREFUSED;
          owner->OnConnected(status == 0);
        }
      });
  if (error != 0) {
    delete request;
  }
  // A connect that fails at once is reported from the loop too, as any other
  // result.
  stream->timer_ = std::make_unique<Timer>(loop);
  stream->timer_->Once(
      error == 0 ? settings.connect_timeout_ : core::Duration{},
      [owner = stream.get()] { owner->OnConnected(false); });
  return stream;
}

void TcpStream::OnConnected(bool open) {
  const auto self = shared_from_this();
  timer_.reset();
  const auto handler = std::exchange(on_connect_, nullptr);
  if (!handler) {
    return;
  }
  if (open) {
    ApplyOptions();
    StartReading();
  } else {
    Close();
  }
  Guarded([&] { handler(open); });
}

void TcpStream::ApplyOptions() {
  uv_os_fd_t descriptor = -1;
  auto* raw = reinterpret_cast<uv_handle_t*>(&handle_->tcp_);
  if (uv_fileno(raw, &descriptor) != 0) {
    return;
  }
  const auto timeout = std::chrono::duration_cast<std::chrono::milliseconds>(
      settings_.unacknowledged_timeout_);
  SetOption(descriptor, IPPROTO_TCP, TCP_NODELAY, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_USER_TIMEOUT,
            static_cast<int>(timeout.count()));
  SetOption(descriptor, SOL_SOCKET, SO_KEEPALIVE, 1);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPIDLE, kKeepAliveIdleSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPINTVL, kKeepAliveIntervalSeconds);
  SetOption(descriptor, IPPROTO_TCP, TCP_KEEPCNT, kKeepAliveProbeCount);
}

void TcpStream::SetCallbacks(StreamCallbacks callbacks) {
  callbacks_ = std::move(callbacks);
  if (open() && !on_connect_ && !reading_) {
    StartReading();
  }
}

bool TcpStream::has_unacknowledged_data() const {
  uv_os_fd_t descriptor = -1;
  if (handle_ == nullptr ||
      uv_fileno(reinterpret_cast<const uv_handle_t*>(&handle_->tcp_),
                &descriptor) != 0) {
    return false;
  }
  int unacknowledged = 0;
  const bool supported = ::ioctl(descriptor, SIOCOUTQ, &unacknowledged) == 0;
  return pending_ > 0 || (supported && unacknowledged > 0);
}

std::string TcpStream::PeerIp() const {
  sockaddr_storage storage{};
  int length = sizeof(storage);
  if (handle_ == nullptr ||
      uv_tcp_getpeername(&handle_->tcp_, reinterpret_cast<sockaddr*>(&storage),
                         &length) != 0) {
    return "";
  }
  std::array<char, INET6_ADDRSTRLEN> text{};
  if (storage.ss_family == AF_INET) {
    uv_ip4_name(reinterpret_cast<sockaddr_in*>(&storage), text.data(),
                text.size());
  } else {
    uv_ip6_name(reinterpret_cast<sockaddr_in6*>(&storage), text.data(),
                text.size());
  }
  return text.data();
}

void TcpStream::StartReading() {
  reading_ = true;
  uv_read_start(
      reinterpret_cast<uv_stream_t*>(&handle_->tcp_),
      [](uv_handle_t*, std::size_t, uv_buf_t* buffer) {
        *buffer = uv_buf_init(ReadBuffer().data(), kReadBufferBytes);
      },
      [](uv_stream_t* raw, ssize_t size, const uv_buf_t* buffer) {
        auto* owner = static_cast<Handle*>(raw->data)->owner_;
        if (owner != nullptr && size != 0) {
          owner->OnRead(size, buffer->base);
        }
      });
}

void TcpStream::SetReading(bool reading) {
  if (!open() || reading == reading_) {
    return;
  }
  if (reading) {
    StartReading();
    return;
  }
  reading_ = false;
  uv_read_stop(reinterpret_cast<uv_stream_t*>(&handle_->tcp_));
}

void TcpStream::OnRead(ssize_t size, const char* bytes) {
  const auto self = shared_from_this();
  if (size < 0) {
    const bool closed = size == UV_EOF && !HasSocketError();
    CloseAndNotify(closed ? StreamEnd::kClosed : StreamEnd::kBroken);
    return;
  }
  if (closing_ || !callbacks_.on_data_) {
    return;
  }
  Guarded([&] {
    callbacks_.on_data_({bytes, static_cast<std::size_t>(size)});
  });
}

bool TcpStream::HasSocketError() const {
  uv_os_fd_t descriptor = -1;
  int error = 0;
  socklen_t length = sizeof(error);
  return handle_ != nullptr &&
         uv_fileno(reinterpret_cast<uv_handle_t*>(&handle_->tcp_),
                   &descriptor) == 0 &&
         ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &length) == 0 &&
         error != 0;
}

void TcpStream::ReadAvailable() {
  const auto self = shared_from_this();
  // ReadBuffer() may hold the bytes of the stream that the loop is reading.
  std::array<char, kAvailableReadBytes> buffer;
  for (std::size_t total = 0; total < kMaxAvailableBytes;) {
    uv_os_fd_t descriptor = -1;
    if (!open() || !reading_ ||
        uv_fileno(reinterpret_cast<uv_handle_t*>(&handle_->tcp_),
                  &descriptor) != 0) {
      return;
    }
    const auto size =
        ::recv(descriptor, buffer.data(), buffer.size(), MSG_DONTWAIT);
    // The loop reports the end of the connection.
    if (size <= 0) {
      return;
    }
    total += static_cast<std::size_t>(size);
    OnRead(size, buffer.data());
  }
}

void TcpStream::CloseAndNotify(StreamEnd end) {
  const auto handler = std::move(callbacks_.on_end_);
  const bool notify = !closing_;
  Close();
  if (notify && handler) {
    Guarded([&] { handler(end); });
  }
}

void TcpStream::Write(std::string bytes) {
  if (!open() || closing_ || bytes.empty()) {
    return;
  }
  auto* raw = reinterpret_cast<uv_stream_t*>(&handle_->tcp_);
  if (pending_ == 0) {
    uv_buf_t buffer =
        uv_buf_init(bytes.data(), static_cast<unsigned>(bytes.size()));
    const int sent = uv_try_write(raw, &buffer, 1);
    if (sent == static_cast<int>(bytes.size())) {
      return;
    }
    if (sent > 0) {
      bytes.erase(0, static_cast<std::size_t>(sent));
    }
  }
  auto* request = new WriteRequest{{}, std::move(bytes)};
  request->request_.data = request;
  const auto size = request->bytes_.size();
  uv_buf_t buffer =
      uv_buf_init(request->bytes_.data(), static_cast<unsigned>(size));
  pending_ += size;
  const int error = uv_write(
      &request->request_, raw, &buffer, 1, [](uv_write_t* write, int status) {
        auto* done = static_cast<WriteRequest*>(write->data);
        auto* owner = static_cast<Handle*>(write->handle->data)->owner_;
        const auto written = done->bytes_.size();
        delete done;
        if (owner != nullptr) {
          owner->OnWritten(written, status);
        }
      });
  if (error != 0) {
    // The read callback reports the broken connection.
    pending_ -= size;
    delete request;
  }
}

void TcpStream::OnWritten(std::size_t size, int status) {
  const auto self = shared_from_this();
  pending_ -= size;
  if (status != 0) {
    CloseAndNotify(StreamEnd::kBroken);
    return;
  }
  if (pending_ > 0) {
    return;
  }
  if (closing_) {
    ShutDownWrites();
  } else if (callbacks_.on_drained_) {
    Guarded(callbacks_.on_drained_);
  }
}

void TcpStream::Close() {
  timer_.reset();
  on_connect_ = nullptr;
  auto* handle = std::exchange(handle_, nullptr);
  if (handle == nullptr) {
    return;
  }
  handle->owner_ = nullptr;
  uv_close(reinterpret_cast<uv_handle_t*>(&handle->tcp_),
           [](uv_handle_t* raw) { delete static_cast<Handle*>(raw->data); });
  if (const auto on_closed = std::exchange(on_closed_, nullptr)) {
    Guarded(on_closed);
  }
}

void TcpStream::Reset() {
  SetResetOnClose(true);
  Close();
}

void TcpStream::SetResetOnClose(bool reset) {
  uv_os_fd_t descriptor = -1;
  if (handle_ == nullptr ||
      uv_fileno(reinterpret_cast<uv_handle_t*>(&handle_->tcp_), &descriptor) !=
          0) {
    return;
  }
  // Closing a socket with a linger time of zero sends a reset and discards
  // unsent bytes.
  const linger option{.l_onoff = reset ? 1 : 0, .l_linger = 0};
  (void)::setsockopt(descriptor, SOL_SOCKET, SO_LINGER, &option,
                     sizeof(option));
}

void TcpStream::CloseGracefully() {
  if (!open() || closing_) {
    return;
  }
  closing_ = true;
  SetReading(true);
  // The timer keeps the stream alive until it has closed.
  timer_ = std::make_unique<Timer>(loop_);
  timer_->Once(settings_.unacknowledged_timeout_,
               [self = shared_from_this()] { self->Close(); });
  if (pending_ == 0) {
    ShutDownWrites();
  }
}

void TcpStream::ShutDownWrites() {
  // All bytes have been handed to the system, which delivers them before the
  // end of the connection.
  SetResetOnClose(false);
  auto* request = new uv_shutdown_t;
  const int error =
      uv_shutdown(request, reinterpret_cast<uv_stream_t*>(&handle_->tcp_),
                  [](uv_shutdown_t* shutdown, int) { delete shutdown; });
  if (error != 0) {
    delete request;
  }
  timer_->Once(kLingerTimeout, [self = shared_from_this()] { self->Close(); });
}

struct TcpListener::State {
  uv_tcp_t tcp_{};
  Loop* loop_ = nullptr;
  std::function<void(TcpStream::Ptr)> on_connection_;
};

TcpListener::TcpListener(Loop& loop, const Address& address,
                         std::function<void(TcpStream::Ptr)> on_connection)
    : state_(new State{{}, &loop, std::move(on_connection)}) {
  uv_tcp_init(loop.raw(), &state_->tcp_);
  state_->tcp_.data = state_;
  const auto storage = address.ToSockaddr();
  int error = uv_tcp_bind(&state_->tcp_,
                          reinterpret_cast<const sockaddr*>(&storage), 0);
  if (error == 0) {
    error = uv_listen(
        reinterpret_cast<uv_stream_t*>(&state_->tcp_), kBacklog,
        [](uv_stream_t* listener, int status) {
          auto* state = static_cast<State*>(listener->data);
          if (status != 0) {
            return;
          }
          auto stream = TcpStream::Accept(*state->loop_, listener);
          if (stream != nullptr) {
            Guarded([&] { state->on_connection_(std::move(stream)); });
          }
        });
  }
  if (error != 0) {
    Stop();
    throw core::Error(core::Step::kListen, address.ToString(),
                      uv_strerror(error));
  }
  sockaddr_storage bound{};
  int length = sizeof(bound);
  uv_tcp_getsockname(&state_->tcp_, reinterpret_cast<sockaddr*>(&bound),
                     &length);
  port_ = ntohs(reinterpret_cast<const sockaddr_in*>(&bound)->sin_port);
}

TcpListener::~TcpListener() { Stop(); }

void TcpListener::Stop() {
  auto* state = std::exchange(state_, nullptr);
  if (state != nullptr) {
    uv_close(reinterpret_cast<uv_handle_t*>(&state->tcp_),
             [](uv_handle_t* raw) { delete static_cast<State*>(raw->data); });
  }
}

}  // namespace chalkwell::daemon
