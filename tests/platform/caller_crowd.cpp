// Connections are non-blocking, so that none holds up another one.
#include "caller_crowd.hpp"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cerrno>
#include <chrono>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <utility>

namespace chalkwell::platform_tests {
namespace {

using namespace std::chrono_literals;

/// A crowd is done when no byte has moved for this long.
constexpr auto kStall = 700ms;
/// Bounds a crowd whose bytes never stop moving.
constexpr auto kMaxDriveTime = 40s;
constexpr auto kSampleInterval = 20ms;
constexpr int kPollTimeoutMs = 20;
/// Receive buffer of connections that do not read.
constexpr int kUnreadBufferBytes = 4096;
constexpr std::size_t kBytesPerKilobyte = 1024;
/// Body bytes of one part, unless a chunk is larger.
constexpr std::size_t kPartBytes = 4096;

int OpenConnection(std::uint16_t port, bool reads) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_NONBLOCK, 0);
  if (descriptor < 0) {
    throw std::runtime_error("cannot open a socket for the crowd");
  }
  if (!reads) {
    (void)::setsockopt(descriptor, SOL_SOCKET, SO_RCVBUF, &kUnreadBufferBytes,
                       sizeof(kUnreadBufferBytes));
  }
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(port);
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  (void)::connect(descriptor, reinterpret_cast<sockaddr*>(&address),
                  sizeof(address));
  return descriptor;
}

/// Bytes that the sockets bound to a port hold unread.
std::size_t UnreadBytes(std::uint16_t port) {
  std::array<char, 8> suffix{};
  (void)std::snprintf(suffix.data(), suffix.size(), ":%04X", port);
  std::ifstream table("/proc/net/tcp");
  std::size_t total = 0;
  for (std::string line; std::getline(table, line);) {
    // Columns: number, local address, remote address, state, send queue in
    // hexadecimal, a colon and the receive queue.
    std::array<char, 32> local{};
    std::size_t unread = 0;
    unsigned state = 0;
    const int fields = std::sscanf(line.c_str(), " %*d: %31s %*s %x %*x:%zx",
                                   local.data(), &state, &unread);
    constexpr unsigned kListening = 0x0A;
    if (fields == 3 && state != kListening &&
        std::string_view(local.data()).ends_with(suffix.data())) {
      total += unread;
    }
  }
  return total;
}

std::size_t StatusBytes(pid_t process, const std::string& field) {
  std::ifstream status("/proc/" + std::to_string(process) + "/status");
  for (std::string line; std::getline(status, line);) {
    if (line.starts_with(field)) {
      return std::stoul(line.substr(field.size())) * kBytesPerKilobyte;
    }
  }
  return 0;
}

}  // namespace

CrowdScript ChunkedScript(const std::string& head, std::size_t chunk_size,
                          std::size_t total) {
  std::array<char, 20> digits{};
  (void)std::snprintf(digits.data(), digits.size(), "%zx\r\n", chunk_size);
  const auto chunk = digits.data() + std::string(chunk_size, 'x') + "\r\n";
  // Small chunks are sent together, so that the crowd itself is not slow.
  const auto chunks_per_part =
      std::max<std::size_t>(1, kPartBytes / chunk_size);
  std::string part;
  for (std::size_t i = 0; i < chunks_per_part; ++i) {
    part += chunk;
  }
  return {.head_ = head,
          .part_ = part,
          .part_count_ = total / (chunks_per_part * chunk_size)};
}

CrowdScript LengthScript(const std::string& head, std::size_t total) {
  return {.head_ = head,
          .part_ = std::string(kPartBytes, 'x'),
          .part_count_ = total / kPartBytes};
}

CallerCrowd::CallerCrowd(std::uint16_t port, std::size_t size,
                         CrowdScript script)
    : port_(port), script_(std::move(script)), connections_(size) {
  for (auto& connection : connections_) {
    connection.descriptor_ = OpenConnection(port, script_.reads_);
  }
}

CallerCrowd::~CallerCrowd() {
  for (const auto& connection : connections_) {
    ::close(connection.descriptor_);
  }
}

void CallerCrowd::Drive() {
  using Clock = std::chrono::steady_clock;
  const auto until = Clock::now() + kMaxDriveTime;
  auto moved_at = Clock::now();
  auto sampled_at = Clock::time_point{};
  while (Clock::now() < until && Clock::now() - moved_at < kStall) {
    if (DriveOnce()) {
      moved_at = Clock::now();
    }
    if (Clock::now() - sampled_at >= kSampleInterval) {
      sampled_at = Clock::now();
      peak_unread_bytes_ = std::max(peak_unread_bytes_, UnreadBytes(port_));
    }
  }
}

std::size_t CallerCrowd::open() const {
  return static_cast<std::size_t>(
      std::ranges::count(connections_, false, &Connection::closed_));
}

bool CallerCrowd::Finished(const Connection& connection) const {
  return connection.closed_ || (connection.head_sent_ &&
                                connection.parts_sent_ == script_.part_count_);
}

bool CallerCrowd::DriveOnce() {
  std::vector<pollfd> waiting;
  for (const auto& connection : connections_) {
    const int descriptor = connection.closed_ ? -1 : connection.descriptor_;
    const int events =
        (Finished(connection) ? 0 : POLLOUT) | (script_.reads_ ? POLLIN : 0);
    waiting.push_back({.fd = descriptor,
                       .events = static_cast<decltype(pollfd::events)>(events),
                       .revents = 0});
  }
  if (::poll(waiting.data(), waiting.size(), kPollTimeoutMs) <= 0) {
    return false;
  }
  bool moved = false;
  for (std::size_t i = 0; i < waiting.size(); ++i) {
    auto& connection = connections_[i];
    const auto events = waiting[i].revents;
    if ((events & POLLOUT) != 0 && !Finished(connection)) {
      moved = SendSome(connection) || moved;
    }
    if ((events & (POLLIN | POLLERR | POLLHUP)) != 0) {
      moved = ReadSome(connection) || moved;
    }
  }
  return moved;
}

bool CallerCrowd::SendSome(Connection& connection) const {
  const auto& text = connection.head_sent_ ? script_.part_ : script_.head_;
  const auto sent =
      ::send(connection.descriptor_, text.data() + connection.offset_,
             text.size() - connection.offset_, MSG_NOSIGNAL);
  if (sent < 0) {
    // Reading shows whether the connection has ended.
    return false;
  }
  connection.offset_ += static_cast<std::size_t>(sent);
  if (connection.offset_ == text.size()) {
    connection.offset_ = 0;
    connection.parts_sent_ += connection.head_sent_ ? 1 : 0;
    connection.head_sent_ = true;
  }
  return true;
}

bool CallerCrowd::ReadSome(Connection& connection) const {
  std::array<char, 65536> buffer;
  const auto size = ::recv(connection.descriptor_, buffer.data(), buffer.size(),
                           MSG_DONTWAIT);
  if (size > 0) {
    return true;
  }
  connection.closed_ = size == 0 || (errno != EAGAIN && errno != EINTR);
  return connection.closed_;
}

std::size_t PeakResidentBytes(pid_t process) {
  return StatusBytes(process, "VmHWM:");
}

std::size_t ResidentBytes(pid_t process) {
  return StatusBytes(process, "VmRSS:");
}

std::size_t OpenDescriptors(pid_t process) {
  const std::filesystem::directory_iterator open(
      "/proc/" + std::to_string(process) + "/fd");
  return static_cast<std::size_t>(
      std::distance(begin(open), std::filesystem::directory_iterator{}));
}

}  // namespace chalkwell::platform_tests
