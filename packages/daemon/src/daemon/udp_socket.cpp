// UDP with libuv.
#include "daemon/udp_socket.hpp"

#include <netinet/in.h>

#include <array>
#include <utility>

#include "chalkwell/core/error.hpp"

namespace chalkwell::daemon {
namespace {

constexpr std::size_t kMaxDatagramBytes = std::size_t{64} << 10;

std::array<char, kMaxDatagramBytes>& ReceiveBuffer() {
  thread_local std::array<char, kMaxDatagramBytes> buffer;
  return buffer;
}

}  // namespace

struct UdpSocket::State {
  uv_udp_t udp_{};
  std::function<void(std::string_view)> on_datagram_;
};

UdpSocket::UdpSocket(Loop& loop, const Address& address,
                     std::function<void(std::string_view bytes)> on_datagram)
    : state_(new State{{}, std::move(on_datagram)}) {
  uv_udp_init(loop.raw(), &state_->udp_);
  state_->udp_.data = state_;
  const auto storage = address.ToSockaddr();
  int error = uv_udp_bind(&state_->udp_,
                          reinterpret_cast<const sockaddr*>(&storage), 0);
  if (error == 0) {
    error = uv_udp_recv_start(
        &state_->udp_,
        [](uv_handle_t*, std::size_t, uv_buf_t* buffer) {
          *buffer = uv_buf_init(ReceiveBuffer().data(), kMaxDatagramBytes);
        },
        [](uv_udp_t* udp, ssize_t size, const uv_buf_t* buffer,
           const sockaddr* from, unsigned flags) {
          const bool complete = (flags & UV_UDP_PARTIAL) == 0;
          if (size > 0 && from != nullptr && complete) {
            auto* state = static_cast<State*>(udp->data);
            Guarded([&] {
              state->on_datagram_(
                  {buffer->base, static_cast<std::size_t>(size)});
            });
          }
        });
  }
  if (error != 0) {
    uv_close(reinterpret_cast<uv_handle_t*>(&state_->udp_),
             [](uv_handle_t* raw) { delete static_cast<State*>(raw->data); });
    throw core::Error(core::Step::kListen, address.ToString(),
                      uv_strerror(error));
  }
  sockaddr_storage bound{};
  int length = sizeof(bound);
  uv_udp_getsockname(&state_->udp_, reinterpret_cast<sockaddr*>(&bound),
                     &length);
  port_ = ntohs(reinterpret_cast<const sockaddr_in*>(&bound)->sin_port);
}

UdpSocket::~UdpSocket() {
  uv_close(reinterpret_cast<uv_handle_t*>(&state_->udp_),
           [](uv_handle_t* raw) { delete static_cast<State*>(raw->data); });
}

bool UdpSocket::Send(const Address& address, std::string_view bytes) {
  const auto storage = address.ToSockaddr();
  uv_buf_t buffer = uv_buf_init(const_cast<char*>(bytes.data()),
                                static_cast<unsigned>(bytes.size()));
  return uv_udp_try_send(&state_->udp_, &buffer, 1,
                         reinterpret_cast<const sockaddr*>(&storage)) >= 0;
}

}  // namespace chalkwell::daemon
