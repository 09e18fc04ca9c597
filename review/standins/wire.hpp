// HTTP/1.1 over blocking sockets, for the stand-ins of the review's scripts.
#pragma once

#include <atomic>
#include <chrono>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <thread>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

struct Address {
  std::string ip_;
  int port_ = 0;
  [[nodiscard]] std::string ToString() const;
};

/// @brief A request or a response.
struct Message {
  /// Request line or status line.
  std::string start_;
  /// By name in lower case.
  std::map<std::string, std::string> headers_;
  std::string body_;
  /// It ended as its framing says: by its length, its last chunk, or, without
  /// either, an orderly close of the connection.
  bool complete_ = false;
  bool close_delimited_ = false;

  [[nodiscard]] std::string Header(const std::string& name) const;
  [[nodiscard]] int Status() const;
  [[nodiscard]] std::string Method() const;
  /// @brief Path and query.
  [[nodiscard]] std::string Target() const;
  /// @brief A parameter of the query; empty if there is none.
  [[nodiscard]] std::string Parameter(const std::string& name) const;
};

enum class MessageKind { kRequest, kResponse };

/// @brief A TCP connection; the destructor closes it.
class Channel {
 public:
  explicit Channel(int descriptor) : descriptor_(descriptor) {}
  ~Channel();
  Channel(const Channel&) = delete;
  Channel& operator=(const Channel&) = delete;

  /// @return null if the connection is refused.
  [[nodiscard]] static std::shared_ptr<Channel> Connect(const Address& address,
                                                        int receive_buffer = 0,
                                                        int segment = 0);
  bool Send(const std::string& bytes);
  /// @brief Reads one message, or what arrives of it before the connection ends
  /// or the time has passed.
  /// @return nothing if not even a head arrived.
  [[nodiscard]] std::optional<Message> Read(MessageKind kind,
                                            Milliseconds limit);
  /// @brief Limits how fast Read() takes bytes; 0 for no limit.
  void SetBytesPerSecond(std::size_t rate) { bytes_per_second_ = rate; }
  /// @brief Wakes a thread that is reading; the connection is ended.
  void Shutdown() const;

 private:
  /// @return false when no further bytes will arrive in time.
  bool Fill(Clock::time_point until);
  bool ReadChunks(Message& message, Clock::time_point until);

  int descriptor_;
  std::string buffer_;
  /// The peer closed the connection in order.
  bool ended_ = false;
  std::size_t bytes_per_second_ = 0;
};

using ChannelPtr = std::shared_ptr<Channel>;

/// @brief Handles one request; false closes the connection.
using Handler =
    std::function<bool(const ChannelPtr& channel, const Message& request)>;

/// @brief A server with one thread per connection.
class Server {
 public:
  /// @param port 0 for a free one.
  Server(const std::string& ip, int port, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;
  [[nodiscard]] const Address& address() const noexcept { return address_; }

 private:
  void Accept();
  void Serve(const ChannelPtr& channel);

  Address address_;
  Handler handler_;
  int listener_ = -1;
  std::atomic<bool> stopping_ = false;
  std::mutex mutex_;
  std::list<ChannelPtr> channels_;
  std::list<std::thread> threads_;
  std::thread acceptor_;
};

/// @brief Returns a response with a length.
[[nodiscard]] std::string ResponseText(
    int status, const std::map<std::string, std::string>& headers,
    const std::string& body);

/// @brief Returns a port that is free at an address.
[[nodiscard]] int FreePort(const std::string& ip);

}  // namespace review
