// What an agent needs to know of its engine's service, and of the other agents
// of it. It asks an entry for both: the rules may be a megabyte, and a hundred
// agents may start at once.
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

/// @brief Agents of one service by failure domain, as addresses.
using AgentAddresses = std::map<std::string, std::vector<std::string>>;

/// @brief Facts of one service's engines and their weights.
struct EngineFacts {
  std::string model_;
  /// Pieces of its weights; 0 when not known.
  std::uint32_t pieces_ = 0;
  /// Where an engine answers whether it is well.
  std::string health_path_;
  /// Source of the weights, "ip:port".
  std::string origin_;
  /// Empty when the asker has them, or when they are not known.
  AgentAddresses agents_;
  /// Names what the agents are; 0 when they are not known.
  std::uint64_t agents_digest_ = 0;
  MSGPACK_DEFINE(model_, pieces_, health_path_, origin_, agents_,
                 agents_digest_)
};

/// @brief Finds the facts of a service.
/// @return nothing when the rules know no such service; no source while they
/// name none.
[[nodiscard]] std::optional<EngineFacts> FactsOf(
    const config::TrafficRules& rules, const std::string& service);

/// @brief Agents beside the endpoints of a service.
[[nodiscard]] AgentAddresses AgentsOf(
    const std::vector<routing::EndpointRow>& rows, const std::string& service,
    const MeshNode& mesh);

/// @brief Answers an agent's call.
/// @param rows endpoints of all services.
/// @return false when the call is not for facts.
bool HandleFactsCall(const PeerCallPtr& call, const config::TrafficRules& rules,
                     const std::vector<routing::EndpointRow>& rows,
                     const MeshNode& mesh);

/// @brief Asks entries until one knows, the own failure domain's first.
class FactsAsker {
 public:
  using Done = std::function<void(const EngineFacts& facts)>;

  FactsAsker(Loop& loop, MeshNode& mesh, std::string service, Done done);

  /// @brief Asks one entry now, unless an answer is awaited or none is known.
  /// @return whether an ask is under way.
  bool Ask();

 private:
  [[nodiscard]] std::optional<membership::Member> NextEntry();

  Loop& loop_;
  MeshNode& mesh_;
  std::string service_;
  Done done_;
  /// By address.
  std::map<std::string, std::unique_ptr<PeerConnection>> connections_;
  OutgoingCallPtr call_;
  /// Of the agents that were told last.
  std::uint64_t agents_digest_ = 0;
  core::TimePoint asked_at_;
  /// Entries asked so far: each ask goes to the next.
  std::size_t turn_ = 0;
};

}  // namespace chalkwell::daemon::direct
