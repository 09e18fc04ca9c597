// Blocking TCP sockets of this machine, for tests that send raw bytes to a
// server or a client.
#pragma once

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <cstdint>
#include <string>

namespace chalkwell::daemon {

/// @brief A blocking TCP connection; closed by the destructor.
class RawSocket {
 public:
  /// @brief Connects to a port of 127.0.0.1; connected() shows whether it
  /// could.
  explicit RawSocket(std::uint16_t port)
      : descriptor_(::socket(AF_INET, SOCK_STREAM, 0)) {
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    connected_ = ::connect(descriptor_, reinterpret_cast<sockaddr*>(&address),
                           sizeof(address)) == 0;
  }
  /// @brief Takes ownership of the descriptor of an accepted connection.
  static RawSocket Adopt(int descriptor) { return RawSocket(descriptor, 0); }
  RawSocket(RawSocket&& other) noexcept
      : descriptor_(other.descriptor_), connected_(other.connected_) {
    other.descriptor_ = -1;
  }
  RawSocket(const RawSocket&) = delete;
  RawSocket& operator=(const RawSocket&) = delete;
  ~RawSocket() { Close(); }

  [[nodiscard]] bool connected() const { return connected_; }
  /// @brief Sends bytes; errors and partial sends are ignored.
  void Send(const std::string& bytes) const {
    (void)::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL);
  }
  /// @brief Sends bytes.
  /// @return false once the other end has closed the connection.
  [[nodiscard]] bool TrySend(const std::string& bytes) const {
    return ::send(descriptor_, bytes.data(), bytes.size(), MSG_NOSIGNAL) >= 0;
  }
  /// @brief Reads until the connection ends, or until `text` was received.
  /// @param text to wait for; empty reads until the end.
  /// @return all bytes received.
  [[nodiscard]] std::string ReadUntil(const std::string& text = "") const {
    std::string received;
    char buffer[4096];
    while (text.empty() || received.find(text) == std::string::npos) {
      const auto size = ::recv(descriptor_, buffer, sizeof(buffer), 0);
      if (size <= 0) {
        reset_ = size < 0;
        break;
      }
      received.append(buffer, static_cast<std::size_t>(size));
    }
    return received;
  }
  /// @brief Whether the last ReadUntil ended with a reset of the connection.
  [[nodiscard]] bool reset() const { return reset_; }
  /// @brief Closes the sending side only.
  void EndSending() const { (void)::shutdown(descriptor_, SHUT_WR); }
  /// @brief Waits until the peer has reset the connection.
  /// @return false if it has not for half a second.
  [[nodiscard]] bool WaitForReset() const {
    constexpr int kMaxWaitMs = 500;
    pollfd waiting{.fd = descriptor_, .events = 0, .revents = 0};
    return ::poll(&waiting, 1, kMaxWaitMs) == 1 &&
           (waiting.revents & POLLERR) != 0;
  }
  void Close() {
    if (descriptor_ >= 0) {
      ::close(descriptor_);
      descriptor_ = -1;
    }
  }
  /// @brief Closes the connection with a reset (RST).
  void Reset() {
    const linger reset_on_close{.l_onoff = 1, .l_linger = 0};
    (void)::setsockopt(descriptor_, SOL_SOCKET, SO_LINGER, &reset_on_close,
                       sizeof(reset_on_close));
    Close();
  }

 private:
  RawSocket(int descriptor, int) : descriptor_(descriptor), connected_(true) {}

  int descriptor_;
  bool connected_ = false;
  mutable bool reset_ = false;
};

/// @brief A blocking listener on a free port of 127.0.0.1.
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
  /// @brief Waits for the next connection.
  [[nodiscard]] RawSocket Accept() const {
    return RawSocket::Adopt(::accept(descriptor_, nullptr, nullptr));
  }

 private:
  int descriptor_;
  std::uint16_t port_ = 0;
};

}  // namespace chalkwell::daemon
