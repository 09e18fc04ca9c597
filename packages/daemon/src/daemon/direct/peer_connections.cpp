// A connection is closed by a task of its own, never within its own callback.
#include "daemon/direct/peer_connections.hpp"

#include <utility>

namespace chalkwell::daemon::direct {

void PeerConnections::Fetch(const std::string& address, std::string path,
                            std::string body, Done done) {
  auto& connection = connections_[address];
  if (connection.peer_ == nullptr) {
    connection.peer_ =
        std::make_unique<PeerConnection>(loop_, ParseAddress(address));
  }
  ++connection.calls_in_flight_;
  connection.peer_->Fetch(
      std::move(path), std::move(body),
      [this, address, done = std::move(done)](PeerEnd end, int status,
                                              std::string response) {
        auto& used = connections_.at(address);
        --used.calls_in_flight_;
        used.last_used_ = loop_.Now();
        loop_.After(idle_time_, [this, address] { CloseWhenIdle(address); });
        done(end, status, std::move(response));
      });
}

void PeerConnections::CloseWhenIdle(const std::string& address) {
  const auto found = connections_.find(address);
  if (found == connections_.end()) {
    return;
  }
  const auto& connection = found->second;
  if (connection.calls_in_flight_ > 0) {
    return;
  }
  const auto idle = loop_.Now() - connection.last_used_;
  if (idle >= idle_time_) {
    connections_.erase(found);
    return;
  }
  // Timers have a resolution of a millisecond and may fire early.
  loop_.After(idle_time_ - idle, [this, address] { CloseWhenIdle(address); });
}

}  // namespace chalkwell::daemon::direct
