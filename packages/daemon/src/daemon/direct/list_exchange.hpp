// Exchange of the full endpoint list between entries, for an entry that missed
// a change, and for changes that are too large for a datagram.
#pragma once

#include <functional>
#include <optional>
#include <string>

#include "daemon/direct/mesh_messages.hpp"
#include "daemon/direct/peer_connections.hpp"
#include "daemon/peer_server.hpp"

namespace chalkwell::daemon::direct {

/// @brief Serves the endpoint list to other entries and fetches it from them.
class ListExchange {
 public:
  /// @brief Receives the list of a peer; none if the call failed or its
  /// response was invalid.
  /// @param requested_at when the peer was queried.
  using Done = std::function<void(std::optional<EndpointListMessage> list,
                                  core::TimePoint requested_at)>;

  explicit ListExchange(Loop& loop) : loop_(loop), connections_(loop) {}

  /// @brief Responds to a peer's call with the full list.
  /// @return false when the call is not a request for the list.
  bool HandleCall(const PeerCallPtr& call,
                  const std::function<EndpointListMessage()>& list) const;
  /// @brief Fetches the list from a peer, unless a call is in flight.
  /// @param address of the peer, "ip:port".
  void Fetch(const std::string& address, Done done);

 private:
  Loop& loop_;
  PeerConnections connections_;
  bool call_pending_ = false;
};

}  // namespace chalkwell::daemon::direct
