// A caller or server made of bytes, on its own thread, for tests of framing.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <string>

namespace chalkwell::daemon {

/// @brief A blocking connection to a port of this machine.
class RawSocket {
 public:
  explicit RawSocket(std::uint16_t port)
      : descriptor_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connected_ = ::connect(descriptor_, reinterpret_cast<sockaddr*>(&address),
                           sizeof(address)) == 0;
  }
  /// Takes a connection that was accepted.
  static RawSocket Taken(int descriptor) { return RawSocket(descriptor, 0); }
  RawSocket(RawSocket&& other) noexcept
      : descriptor_(other.descriptor_), connected_(other.connected_) {
    other.descriptor_ = -1;
  }
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;
  ~RawSocket() { Close(); }

  [[nodiscard]] bool connected() const { return connected_; }
  void Send(const std::string& bytes) const {
    (void)::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  /// Reads until the end of the connection, or until `text` was seen.
  [[nodiscard]] std::string ReadUntil(const std::string& text = "") const {
    std::string all;
    char buffer[4096];
    while (text.empty() || all.find(text) == std::string::npos) {
      const auto size = ::recv(descriptor_, buffer, sizeof(buffer), 0);
      if (size <= 0) {
        break;
      }
      all.append(buffer, static_cast<std::size_t>(size));
    }
    return all;
  }
  void Close() {
    if (descriptor_ >= 0) {
      ::close(descriptor_);
      descriptor_ = -1;
    }
  }
  /// Resets the connection.
  void Reset() {
    const linger abort{.l_onoff = 1, .l_linger = 0};
    (void)::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &abort,
                       sizeof(abort));
    Close();
  }

 private:
  RawSocket(int descriptor, int) : descriptor_(descriptor), connected_(true) {}

  int descriptor_;
  bool connected_ = false;
};

/// @brief A blocking listener on a free port.
class RawListener {
 public:
  RawListener() : descriptor_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    (void)::bind(descriptor_, reinterpret_cast<sockaddr*>(&address),
                 sizeof(address));
    (void)::listen(descriptor_, 16);
    socklen_t length = sizeof(address);
    (void)::getsockname(descriptor_, reinterpret_cast<sockaddr*>(&address),
                        &length);
    port_ = ntohs(address.sin_port);
  }
  RawListener(const RawListener&) = delete;
  RawListener& operator=(const RawListener&) = delete;
  ~RawListener() { ::close(descriptor_); }

  [[nodiscard]] std::uint16_t port() const { return port_; }
  [[nodiscard]] RawSocket Accept() const {
    return RawSocket::Taken(::accept(descriptor_, nullptr, nullptr));
  }

 private:
  int descriptor_;
  std::uint16_t port_ = 0;
};

}  // namespace chalkwell::daemon
