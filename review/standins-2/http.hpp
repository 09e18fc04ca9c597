// Small HTTP/1.1 server and client of the stand-ins: blocking sockets, a thread
// a connection.
#pragma once

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;
using Headers = std::vector<std::pair<std::string, std::string>>;

/// @brief A request; names of headers are in lower case.
struct Request {
  std::string method_;
  std::string target_;
  std::map<std::string, std::string> headers_;
  std::string body_;

  /// @brief Value of a header; empty if it is missing.
  [[nodiscard]] std::string Header(const std::string& name) const;
  /// @brief Target without its query.
  [[nodiscard]] std::string Path() const;
  /// @brief Value of a parameter of the query, undecoded; empty if missing.
  [[nodiscard]] std::string Query(const std::string& name) const;
};

/// @brief A connection of a server, used by the thread that serves it.
class Connection {
 public:
  explicit Connection(int descriptor) : descriptor_(descriptor) {}
  ~Connection();
  Connection(const Connection&) = delete;
  Connection& operator=(const Connection&) = delete;

  /// @return false if the peer has closed it.
  bool Send(const std::string& bytes);
  /// @brief Sends a response with a length.
  bool Respond(int status, const Headers& headers, const std::string& body);
  /// @brief Whether the peer has closed or reset it.
  [[nodiscard]] bool PeerClosed() const;
  /// @brief Reads the next request.
  /// @return false if there is none.
  bool Read(Request& request);
  /// @brief Ends reading and sending; safe from any thread.
  void ShutDown() const;
  /// @brief From now on closing it sends a reset.
  void ResetOnClose() const;

 private:
  [[nodiscard]] bool Fill();

  int descriptor_;
  std::string input_;
};

/// @brief Handles a request; returns whether the connection is kept.
using Handler = std::function<bool(const Request&, Connection&)>;

/// @brief Listens on an address until it is stopped.
class Server {
 public:
  Server(std::string ip, std::uint16_t port, Handler handler);
  ~Server();
  Server(const Server&) = delete;
  Server& operator=(const Server&) = delete;

  void Start();
  /// @brief Closes the listener and all connections, as the end of a process
  /// does, and waits for their threads.
  void Stop();
  [[nodiscard]] std::string address() const {
    return ip_ + ":" + std::to_string(port_);
  }

 private:
  void Accept();
  void Serve(const std::shared_ptr<Connection>& connection);

  std::string ip_;
  std::uint16_t port_;
  Handler handler_;
  std::atomic<int> listener_{-1};
  std::thread acceptor_;
  std::mutex mutex_;
  std::set<std::shared_ptr<Connection>> connections_;
  std::vector<std::thread> threads_;
};

/// @brief An answer as a client has received it.
struct Answer {
  /// 0 if no whole head arrived.
  int status_ = 0;
  std::map<std::string, std::string> headers_;
  /// Body without its framing.
  std::string body_;
  /// The framing shows the end of the answer, or it has no length and its
  /// connection was closed.
  bool complete_ = false;
};

/// @brief Sends a request on a new connection and reads its answer.
/// @param text request as on the wire; it should ask to close the connection.
[[nodiscard]] Answer Call(const std::string& ip, std::uint16_t port,
                          const std::string& text, Milliseconds limit);

}  // namespace review
