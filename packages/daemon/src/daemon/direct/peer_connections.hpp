// Connections to peers for occasional calls. Each is closed when it was idle
// for some time, so that a process that queries many peers over time does not
// keep a connection to each.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>

#include "chalkwell/core/fwd.hpp"
#include "daemon/peer_connection.hpp"

namespace chalkwell::daemon::direct {

/// @brief Sends single calls to peers by address.
class PeerConnections {
 public:
  /// @brief Receives a response; see PeerConnection::Fetch().
  using Done = std::function<void(PeerEnd end, int status, std::string body)>;

  /// Longer than the time between two changes of a burst.
  static constexpr auto kIdleTime = std::chrono::seconds(5);

  /// @param idle_time after which an unused connection is closed.
  explicit PeerConnections(Loop& loop, core::Duration idle_time = kIdleTime)
      : loop_(loop), idle_time_(idle_time) {}

  /// @param address of the peer, "ip:port".
  void Fetch(const std::string& address, std::string path, std::string body,
             Done done);
  [[nodiscard]] std::size_t size() const noexcept {
    return connections_.size();
  }

 private:
  struct Connection {
    std::unique_ptr<PeerConnection> peer_;
    std::size_t calls_in_flight_ = 0;
    core::TimePoint last_used_;
  };

  void CloseWhenIdle(const std::string& address);

  Loop& loop_;
  core::Duration idle_time_;
  /// By address.
  std::map<std::string, Connection> connections_;
};

}  // namespace chalkwell::daemon::direct
