// Numeric socket addresses; host names are never resolved.
#pragma once

#include <sys/socket.h>

#include <cstdint>
#include <string>

#include "daemon/fwd.hpp"

namespace chalkwell::daemon {

/// @brief IPv4 or IPv6 address and port.
struct Address {
  std::string ip_;
  std::uint16_t port_ = 0;

  /// @return "127.0.0.1:80" or "[::1]:80".
  [[nodiscard]] std::string ToString() const;
  /// @throws core::Error when `ip_` is neither an IPv4 nor an IPv6 address.
  [[nodiscard]] sockaddr_storage ToSockaddr() const;

  friend bool operator==(const Address&, const Address&) = default;
  friend auto operator<=>(const Address&, const Address&) = default;
};

/// @brief Parses "127.0.0.1:80" or "[::1]:80".
/// @throws core::Error with the rejected text when the address or the port is
/// malformed.
[[nodiscard]] Address ParseAddress(const std::string& text);

}  // namespace chalkwell::daemon
