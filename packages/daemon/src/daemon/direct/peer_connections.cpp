// A connection is closed by a task of its own, never within its own callback.
#include "daemon/direct/peer_connections.hpp"

#include <string_view>
#include <utility>

namespace chalkwell::daemon::direct {

void PeerConnections::Fetch(const std::string& address, std::string path,
                            std::string body, Done done,
                            std::function<void()> on_silent) {
  auto& connection = connections_[address];
  if (connection == nullptr) {
    connection = std::make_shared<Connection>(loop_, address);
  }
  ++connection->calls_in_flight_;
  const auto call = std::make_shared<Call>();
  call->address_ = address;
  call->connection_ = connection;
  call->done_ = std::move(done);
  PeerCallbacks callbacks;
  callbacks.on_headers_ = [call](int status) { call->status_ = status; };
  callbacks.on_data_ = [call](std::string_view bytes) {
    call->body_.append(bytes);
  };
  callbacks.on_end_ = [this, call](PeerEnd end) { OnEnd(call, end); };
  loop_.After(kSilenceTimeout, [this, weak = std::weak_ptr(call),
                                on_silent = std::move(on_silent)] {
    const auto pending = weak.lock();
    if (pending == nullptr || pending->ended_ || pending->status_ != 0) {
      return;
    }
    Retire(*pending);
    if (on_silent) {
      on_silent();
    }
  });
  connection->peer_.Call(std::move(path), std::move(body),
                         std::move(callbacks));
}

void PeerConnections::OnEnd(const CallPtr& call, PeerEnd end) {
  call->ended_ = true;
  if (const auto connection = call->connection_.lock()) {
    --connection->calls_in_flight_;
    connection->last_used_ = loop_.Now();
  }
  loop_.After(idle_time_,
              [this, address = call->address_] { CloseWhenIdle(address); });
  loop_.Post([this] { CloseRetired(); });
  call->done_(end, call->status_, std::move(call->body_));
}

void PeerConnections::Retire(const Call& call) {
  const auto connection = call.connection_.lock();
  const auto found = connections_.find(call.address_);
  if (connection != nullptr && found != connections_.end() &&
      found->second == connection) {
    retired_.push_back(connection);
    connections_.erase(found);
  }
}

void PeerConnections::CloseRetired() {
  std::erase_if(retired_, [](const ConnectionPtr& connection) {
    return connection->calls_in_flight_ == 0;
  });
}

void PeerConnections::CloseWhenIdle(const std::string& address) {
  const auto found = connections_.find(address);
  if (found == connections_.end()) {
    return;
  }
  const auto& connection = *found->second;
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
