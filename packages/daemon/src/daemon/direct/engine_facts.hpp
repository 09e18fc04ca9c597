// Facts about an engine's service and the list of its other agents. An agent
// requests both from an entry instead of reading the rules: these may be a
// megabyte, and a hundred agents may start at once.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

#include "chalkwell/config/traffic_rules.hpp"
#include "chalkwell/core/backoff.hpp"
#include "daemon/direct/mesh_node.hpp"
#include "daemon/peer_connection.hpp"
#include "daemon/peer_server.hpp"

namespace chalkwell::daemon::direct {

/// @brief Addresses of the agents of one service, by failure domain.
using AgentAddresses = std::map<std::string, std::vector<std::string>>;

/// @brief Facts about the engines of one service and their weights.
struct EngineFacts {
  std::string model_;
  /// Number of chunks of its weights; 0 when not known.
  std::uint32_t chunks_ = 0;
  /// Path of the engine's health check.
  std::string health_path_;
  /// Address of the origin of the weights, "ip:port"; empty when not known.
  std::string origin_;
  /// Empty when the requester has them already or when they are not known.
  AgentAddresses agents_;
  /// Digest of the full list of agents; 0 when they are not known.
  std::uint64_t agents_digest_ = 0;
  MSGPACK_DEFINE(model_, chunks_, health_path_, origin_, agents_,
                 agents_digest_)
};

/// @brief Finds the facts of a service in the rules.
/// @return nothing when the rules have no such service; `origin_` is empty when
/// they name no origin.
[[nodiscard]] std::optional<EngineFacts> FindEngineFacts(
    const config::TrafficRules& rules, const std::string& service);

/// @brief Addresses of the agents that run beside the endpoints of a service.
[[nodiscard]] AgentAddresses AgentAddressesOf(
    const std::vector<routing::EndpointRow>& rows, const std::string& service,
    const MeshNode& mesh);

/// @brief Responds to an agent's request for facts.
/// @param rows endpoints of all services.
/// @return false when the call is not a request for facts.
bool HandleFactsCall(const PeerCallPtr& call, const config::TrafficRules& rules,
                     const std::vector<routing::EndpointRow>& rows,
                     const MeshNode& mesh);

/// @brief Requests facts from entries in turn, local ones first, until one
/// responds.
class FactsClient {
 public:
  using Done = std::function<void(const EngineFacts& facts)>;

  FactsClient(Loop& loop, MeshNode& mesh, std::string service, Done done);

  /// @brief Sends a request to one entry, unless one is in flight or no entry
  /// is known.
  /// @return whether a request is in flight.
  bool Request();

 private:
  [[nodiscard]] std::optional<membership::Member> NextEntry();

  Loop& loop_;
  MeshNode& mesh_;
  std::string service_;
  Done done_;
  /// By address.
  std::map<std::string, std::unique_ptr<PeerConnection>> connections_;
  OutgoingCallPtr call_;
  /// Digest of the agents received last.
  std::uint64_t agents_digest_ = 0;
  core::TimePoint requested_at_;
  /// Number of requests sent; each goes to the next entry.
  std::size_t next_entry_ = 0;
};

}  // namespace chalkwell::daemon::direct
