// Connections to peers for occasional calls. Each is closed when it was idle
// for some time, so that a process that queries many peers over time does not
// keep a connection to each. One that brings no response is replaced, since an
// open connection may have gone silent without a reset.
#pragma once

#include <chrono>
#include <cstddef>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

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
  /// A call whose response has not begun after this time is silent.
  static constexpr auto kSilenceTimeout = std::chrono::milliseconds(500);

  /// @param idle_time after which an unused connection is closed.
  explicit PeerConnections(Loop& loop, core::Duration idle_time = kIdleTime)
      : loop_(loop), idle_time_(idle_time) {}

  /// @param address of the peer, "ip:port".
  /// @param on_silent called once if the response has not begun in time. The
  /// call goes on, and later ones to the address use a new connection.
  void Fetch(const std::string& address, std::string path, std::string body,
             Done done, std::function<void()> on_silent = nullptr);
  /// @brief Number of addresses with a connection that later calls may use.
  [[nodiscard]] std::size_t size() const noexcept {
    return connections_.size();
  }

 private:
  struct Connection {
    Connection(Loop& loop, const std::string& address)
        : peer_(loop, ParseAddress(address)) {}
    PeerConnection peer_;
    std::size_t calls_in_flight_ = 0;
    core::TimePoint last_used_;
  };
  using ConnectionPtr = std::shared_ptr<Connection>;
  struct Call {
    std::string address_;
    std::weak_ptr<Connection> connection_;
    Done done_;
    int status_ = 0;
    std::string body_;
    bool ended_ = false;
  };
  using CallPtr = std::shared_ptr<Call>;

  void OnEnd(const CallPtr& call, PeerEnd end);
  /// @brief Keeps the connection of a silent call for that call only.
  void Retire(const Call& call);
  void CloseRetired();
  void CloseWhenIdle(const std::string& address);

  Loop& loop_;
  core::Duration idle_time_;
  /// By address.
  std::map<std::string, ConnectionPtr> connections_;
  /// Connections with silent calls in flight.
  std::vector<ConnectionPtr> retired_;
};

}  // namespace chalkwell::daemon::direct
