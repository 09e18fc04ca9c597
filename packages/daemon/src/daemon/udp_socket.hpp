// Datagrams between processes of the system. They are small, frequent and soon
// outdated, so none is queued or sent again.
#pragma once

#include <uv.h>

#include <functional>
#include <string>
#include <string_view>

#include "daemon/address.hpp"
#include "daemon/loop.hpp"

namespace chalkwell::daemon {

/// @brief A bound UDP socket.
class UdpSocket {
 public:
  /// @param on_datagram receives each datagram that arrived untruncated.
  /// @throws core::Error when the address cannot be bound.
  UdpSocket(Loop& loop, const Address& address,
            std::function<void(std::string_view bytes)> on_datagram);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  /// @brief Port bound, also when the address had port 0.
  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }
  /// @brief Sends a datagram unless the system cannot take it at once; it is
  /// then dropped.
  /// @return whether the system took it.
  bool Send(const Address& address, std::string_view bytes);

 private:
  struct State;
  /// Deleted by the loop once the handle is closed.
  State* state_;
  std::uint16_t port_ = 0;
};

}  // namespace chalkwell::daemon
