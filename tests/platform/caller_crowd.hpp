// Many simultaneous connections to one port of this machine, which all send the
// same bytes and then stay open; and what a process uses meanwhile.
#pragma once

#include <sys/types.h>

#include <cstddef>
#include <cstdint>
#include <string>
#include <vector>

namespace chalkwell::platform_tests {

/// @brief What each connection of a crowd sends: the head once, then the part
/// as often as stated.
struct CrowdScript {
  std::string head_;
  std::string part_;
  std::size_t part_count_ = 0;
  /// Whether responses are read. If not, little of them fits into the
  /// connection's receive buffer.
  bool reads_ = true;
};

/// @brief Script of a chunked body.
/// @param head start line and headers up to the empty line.
/// @param total bytes of the body; no last chunk follows.
[[nodiscard]] CrowdScript ChunkedScript(const std::string& head,
                                        std::size_t chunk_size,
                                        std::size_t total);
/// @brief Script of a body with a length.
/// @param total bytes sent of the body.
[[nodiscard]] CrowdScript LengthScript(const std::string& head,
                                       std::size_t total);

/// @brief Connections that are driven by the calling thread.
class CallerCrowd {
 public:
  CallerCrowd(std::uint16_t port, std::size_t size, CrowdScript script);
  ~CallerCrowd();
  CallerCrowd(const CallerCrowd&) = delete;
  CallerCrowd& operator=(const CallerCrowd&) = delete;

  /// @brief Sends until each connection has sent all or was closed, or until no
  /// byte has moved for a while. All that are not closed stay open.
  void Drive();
  /// @brief Number of connections that the server has not closed.
  [[nodiscard]] std::size_t open() const;
  /// @brief Most bytes that the sockets of the server's port held unread at
  /// once.
  [[nodiscard]] std::size_t peak_unread_bytes() const noexcept {
    return peak_unread_bytes_;
  }

 private:
  struct Connection {
    int descriptor_ = -1;
    std::size_t parts_sent_ = 0;
    /// Bytes sent of the head, then of the current part.
    std::size_t offset_ = 0;
    bool head_sent_ = false;
    bool closed_ = false;
  };

  [[nodiscard]] bool Finished(const Connection& connection) const;
  /// @return whether any byte was sent.
  bool SendSome(Connection& connection) const;
  /// @return whether any byte was read, or the end seen.
  bool ReadSome(Connection& connection) const;
  bool DriveOnce();

  std::uint16_t port_;
  CrowdScript script_;
  std::vector<Connection> connections_;
  std::size_t peak_unread_bytes_ = 0;
};

/// @brief Most memory that a process has held so far, in bytes.
[[nodiscard]] std::size_t PeakResidentBytes(pid_t process);
/// @brief Memory that a process holds, in bytes.
[[nodiscard]] std::size_t ResidentBytes(pid_t process);
/// @brief Number of open descriptors of a process.
[[nodiscard]] std::size_t OpenDescriptors(pid_t process);

}  // namespace chalkwell::platform_tests
