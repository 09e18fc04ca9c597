// What an agent needs to know of its engine's service. It asks an entry for it:
// the rules that hold it may be a megabyte, and a hundred agents may start at
// once.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <msgpack.hpp>
#include <optional>
#include <string>

#include "chalkwell/config/traffic_rules.hpp"
#include "chalkwell/core/backoff.hpp"
#include "daemon/direct/mesh_node.hpp"
#include "daemon/peer_connection.hpp"
#include "daemon/peer_server.hpp"

namespace chalkwell::daemon::direct {

/// @brief Facts of one service's engines and their weights.
struct EngineFacts {
  std::string model_;
  /// Pieces of its weights; 0 when not known.
  std::uint32_t pieces_ = 0;
  /// Where an engine answers whether it is well.
  std::string health_path_;
  /// Source of the weights, "ip:port".
  std::string origin_;
  std::string origin_domain_;
  MSGPACK_DEFINE(model_, pieces_, health_path_, origin_, origin_domain_)
};

/// @brief Finds the facts of a service.
/// @return nothing when the rules know no such service; no source while they
/// name none.
[[nodiscard]] std::optional<EngineFacts> FactsOf(
    const config::TrafficRules& rules, const std::string& service);

/// @brief Answers an agent's call.
/// @return false when the call is not for facts.
bool AnswerFactsCall(const PeerCallPtr& call,
                     const config::TrafficRules& rules);

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
  core::TimePoint asked_at_;
  /// Entries asked so far: each ask goes to the next.
  std::size_t turn_ = 0;
};

}  // namespace chalkwell::daemon::direct
