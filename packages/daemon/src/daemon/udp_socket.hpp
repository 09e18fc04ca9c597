// Datagrams between the system's processes: small, frequent, and worth nothing
// a moment later.
#pragma once

#include <uv.h>

#include <functional>
#include <string>
#include <string_view>

#include "daemon/address.hpp"
#include "daemon/loop.hpp"

namespace chalkwell::daemon {

/// @brief A bound socket.
class UdpSocket {
 public:
  /// @throws core::Error when the address cannot be bound.
  UdpSocket(Loop& loop, const Address& address,
            std::function<void(std::string_view bytes)> on_datagram);
  ~UdpSocket();
  UdpSocket(const UdpSocket&) = delete;
  UdpSocket& operator=(const UdpSocket&) = delete;

  [[nodiscard]] std::uint16_t port() const noexcept { return port_; }
  /// @brief Sends if the system takes it now; else the datagram is lost.
  /// @return whether it was taken.
  bool Send(const Address& address, std::string_view bytes);

 private:
  struct State;
  /// Freed by the loop.
  State* state_;
  std::uint16_t port_ = 0;
};

}  // namespace chalkwell::daemon
