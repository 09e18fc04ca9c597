// Pieces and manifests between agents: who holds what, asking for it, and
// giving it at a pace that leaves room for answers on the link.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <msgpack.hpp>
#include <optional>
#include <string>
#include <vector>

#include "chalkwell/swarm/pacer.hpp"
#include "chalkwell/swarm/planner.hpp"
#include "daemon/direct/adapter.hpp"
#include "daemon/direct/engine_facts.hpp"
#include "daemon/direct/mesh_node.hpp"
#include "daemon/peer_connection.hpp"
#include "daemon/peer_server.hpp"
#include "daemon/process_base.hpp"

namespace chalkwell::daemon::direct {

/// @brief Request for a version's manifest or one of its pieces.
struct PieceMessage {
  std::string model_;
  std::uint64_t version_ = 0;
  std::uint32_t piece_ = 0;
  MSGPACK_DEFINE(model_, version_, piece_)
};

/// @brief A piece, with how long it waited for its sender's own pace: what else
/// its way took is the links' doing.
struct PieceAnswer {
  std::uint32_t waited_ms_ = 0;
  std::string bytes_;
  MSGPACK_DEFINE(waited_ms_, bytes_)
};

/// @brief A piece that arrived.
struct ReceivedPiece {
  std::string bytes_;
  /// From the request to the last byte, less the wait at the sender.
  core::Duration transfer_{};
};

/// @brief A manifest between agents.
struct ManifestMessage {
  std::string model_;
  std::uint64_t version_ = 0;
  /// 32 bytes each.
  std::vector<std::string> digests_;
  MSGPACK_DEFINE(model_, version_, digests_)
};

/// @brief What this agent can give.
struct PieceSource {
  std::function<bool(const PieceMessage& piece)> holds_;
  /// Manifest of a version, 0 for any; null while there is none.
  std::function<const WeightsManifest*(std::uint64_t version)> manifest_;
  /// Copy of a piece that is no longer staged; null when there is none.
  std::function<const std::string*(const PieceMessage& piece)> copy_;
  /// A piece that was held can no longer be read whole.
  std::function<void(const PieceMessage& piece)> on_missing_;
};

/// @brief Another agent of the same service as it announced itself.
struct PiecePeer {
  membership::Member member_;
  HeldChunksMessage held_;
  core::TimePoint heard_at_;
};

/// @brief The agent among its neighbours.
class PieceExchange {
 public:
  PieceExchange(ProcessBase& process, const WeightsClient& client,
                MeshNode& mesh, PieceSource source);

  /// @brief Agents are named by where they listen: lists of endpoints tell no
  /// more of them.
  [[nodiscard]] const core::InstanceId& self() const noexcept { return self_; }
  /// @brief The agents of the service, this one included.
  void SetAgents(const AgentAddresses& agents);
  [[nodiscard]] const std::vector<swarm::SwarmMember>& agents() const noexcept {
    return agents_;
  }
  /// @brief Agents that are told whatever is held here.
  [[nodiscard]] const std::vector<core::InstanceId>& neighbours()
      const noexcept {
    return neighbours_;
  }
  /// @brief Whether the agents were told: this one may not be the only one.
  [[nodiscard]] bool knows_agents() const noexcept { return !agents_.empty(); }

  /// @return name of the sender among the agents.
  core::InstanceId OnHeld(const membership::Member& sender,
                          const HeldChunksMessage& held, core::TimePoint now);
  /// @brief Peers that announced nothing for long; they are forgotten.
  std::vector<core::InstanceId> TakeSilent(core::TimePoint now);
  /// @brief Whether a peer that announced itself may be answered: not each time
  /// that it does.
  [[nodiscard]] bool MayTell(const core::InstanceId& agent,
                             core::TimePoint now) const;
  /// @brief Tells an agent what is held here.
  void Tell(const core::InstanceId& agent, const HeldChunksMessage& held);
  [[nodiscard]] const std::map<core::InstanceId, PiecePeer>& peers()
      const noexcept {
    return peers_;
  }
  /// @brief Agents that do not serve a version yet as far as is known, this one
  /// included: of most others nothing is heard.
  /// @param version 0 for any: then those that serve none.
  /// @param self_narrowed whether the own link is narrowed.
  [[nodiscard]] std::vector<swarm::SwarmMember> Lacking(
      std::uint64_t version, bool self_narrowed) const;

  /// @brief Asks a peer for a piece; nothing when it does not give it.
  void AskPiece(const core::InstanceId& peer, const PieceMessage& ask,
                std::function<void(std::optional<ReceivedPiece>)> done);
  /// @brief Gives up a piece that was asked for: what is left of it does not
  /// fill the link.
  void CancelPiece(std::size_t piece);
  /// @brief Gives up all that were asked for.
  void CancelPieces();
  /// @brief Asks a peer for a manifest. One that has none is not asked again
  /// before it announces one.
  void AskManifest(const core::InstanceId& peer, const PieceMessage& ask,
                   std::function<void(std::optional<WeightsManifest>)> done);

 private:
  void OnCall(const PeerCallPtr& call);
  void AnswerPiece(const PeerCallPtr& call, const PieceMessage& message);
  /// @param bytes none when they could not be read.
  void GivePiece(const PeerCallPtr& call, const PieceMessage& message,
                 std::optional<std::string> bytes);
  [[nodiscard]] bool Whole(const PieceMessage& message,
                           const std::optional<std::string>& bytes) const;
  void AnswerManifest(const PeerCallPtr& call, const PieceMessage& message);
  [[nodiscard]] std::shared_ptr<PeerConnection> ConnectionTo(
      const core::InstanceId& peer);

  ProcessBase& process_;
  const WeightsClient& client_;
  MeshNode& mesh_;
  PieceSource source_;
  core::InstanceId self_;
  std::vector<swarm::SwarmMember> agents_;
  std::vector<core::InstanceId> neighbours_;
  /// When agents were told what is held here.
  std::map<core::InstanceId, core::TimePoint> told_at_;
  swarm::Pacer upload_;
  std::map<core::InstanceId, PiecePeer> peers_;
  /// By address; kept, since a call may be under way on it.
  std::map<std::string, std::shared_ptr<PeerConnection>> connections_;
  /// By piece.
  std::map<std::size_t, OutgoingCallPtr> asked_;
  std::unique_ptr<PeerServer> server_;
};

}  // namespace chalkwell::daemon::direct
