// Exchange of chunks and manifests between agents: tracks which agent holds
// what, requests chunks, and sends them at a rate that leaves room for
// responses on the link.
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

/// @brief Request for the manifest of a version or one of its chunks.
struct ChunkRequest {
  std::string model_;
  std::uint64_t version_ = 0;
  std::uint32_t chunk_ = 0;
  MSGPACK_DEFINE(model_, version_, chunk_)
};

/// @brief A chunk, with the delay by its sender's pacer. The rest of the
/// transfer time is due to the links.
struct ChunkResponse {
  std::uint32_t pacing_ms_ = 0;
  std::string bytes_;
  MSGPACK_DEFINE(pacing_ms_, bytes_)
};

/// @brief A chunk received from a peer.
struct ReceivedChunk {
  std::string bytes_;
  /// From the request to the last byte, less the pacing delay at the sender.
  core::Duration transfer_{};
};

/// @brief Wire form of a manifest.
struct ManifestMessage {
  std::string model_;
  std::uint64_t version_ = 0;
  /// 32 bytes each.
  std::vector<std::string> digests_;
  MSGPACK_DEFINE(model_, version_, digests_)
};

/// @brief Callbacks that look up the chunks and manifests of this agent.
struct ChunkProvider {
  std::function<bool(const ChunkRequest& chunk)> holds_;
  /// Manifest of a version, 0 for any; null when there is none.
  std::function<const WeightsManifest*(std::uint64_t version)> manifest_;
  /// Copy of a chunk that is no longer staged; null when there is none.
  std::function<const std::string*(const ChunkRequest& chunk)> find_copy_;
  /// Called when a held chunk can't be read or does not match its digest.
  std::function<void(const ChunkRequest& chunk)> on_unreadable_;
};

/// @brief Another agent of the same service, as last announced.
struct ChunkPeer {
  membership::Member member_;
  HeldChunksMessage held_;
  core::TimePoint last_received_;
};

/// @brief Exchanges chunks with the agent's peers.
class ChunkExchange {
 public:
  ChunkExchange(ProcessBase& process, const WeightsClient& client,
                MeshNode& mesh, ChunkProvider provider);

  /// @brief Id of this agent: agents are identified by their listen address,
  /// since endpoint lists contain nothing else about them.
  [[nodiscard]] const core::InstanceId& self() const noexcept { return self_; }
  /// @brief Sets the agents of the service, including this one.
  void SetAgents(const AgentAddresses& agents);
  [[nodiscard]] const std::vector<swarm::SwarmMember>& agents() const noexcept {
    return agents_;
  }
  /// @brief Agents that receive all announcements of this one.
  [[nodiscard]] const std::vector<core::InstanceId>& neighbours()
      const noexcept {
    return neighbours_;
  }
  /// @brief Whether the agents of the service are known; until then this one
  /// can't assume that it is the only one.
  [[nodiscard]] bool knows_agents() const noexcept { return !agents_.empty(); }

  /// @brief Records what a peer announced.
  /// @return id of the sender among the agents.
  core::InstanceId OnHeld(const membership::Member& sender,
                          const HeldChunksMessage& held, core::TimePoint now);
  /// @brief Removes peers that announced nothing for a while and returns them.
  std::vector<core::InstanceId> RemoveUnresponsive(core::TimePoint now);
  /// @brief Whether an announcement may be sent in reply to a peer's: replies
  /// are rate-limited.
  [[nodiscard]] bool MayAnnounceTo(const core::InstanceId& agent,
                                   core::TimePoint now) const;
  /// @brief Announces the held chunks to an agent.
  void AnnounceTo(const core::InstanceId& agent, const HeldChunksMessage& held);
  [[nodiscard]] const std::map<core::InstanceId, ChunkPeer>& peers()
      const noexcept {
    return peers_;
  }
  /// @brief Agents that may still need a version: this one, and all others
  /// except those known to serve it or a newer one. Agents that are not
  /// neighbours announce nothing to this one and so count as needing it.
  /// @param version 0 for agents that are not known to serve any version.
  /// @param self_degraded whether the local link is degraded.
  [[nodiscard]] std::vector<swarm::SwarmMember> MembersLacking(
      std::uint64_t version, bool self_degraded) const;

  /// @brief Requests a chunk from a peer.
  /// @param done receives nothing when the peer does not provide it.
  void RequestChunk(const core::InstanceId& peer, const ChunkRequest& request,
                    std::function<void(std::optional<ReceivedChunk>)> done);
  /// @brief Cancels the request for a chunk, so that the rest of it does not
  /// take up the link.
  void CancelChunk(std::size_t chunk);
  /// @brief Cancels all chunk requests.
  void CancelChunks();
  /// @brief Requests a manifest from a peer. A peer without it is not
  /// queried again until it announces one.
  void RequestManifest(
      const core::InstanceId& peer, const ChunkRequest& request,
      std::function<void(std::optional<WeightsManifest>)> done);

 private:
  void OnCall(const PeerCallPtr& call);
  void HandleChunkRequest(const PeerCallPtr& call, const ChunkRequest& message);
  /// @brief Sends a chunk after its pacing delay, unless it does not match its
  /// digest.
  /// @param bytes none when they could not be read.
  void SendChunk(const PeerCallPtr& call, const ChunkRequest& message,
                 std::optional<std::string> bytes);
  [[nodiscard]] bool IsIntact(const ChunkRequest& message,
                              const std::optional<std::string>& bytes) const;
  void HandleManifestRequest(const PeerCallPtr& call,
                             const ChunkRequest& message);
  [[nodiscard]] std::shared_ptr<PeerConnection> ConnectionTo(
      const core::InstanceId& peer);

  ProcessBase& process_;
  const WeightsClient& client_;
  MeshNode& mesh_;
  ChunkProvider provider_;
  core::InstanceId self_;
  std::vector<swarm::SwarmMember> agents_;
  std::vector<core::InstanceId> neighbours_;
  /// When the held chunks were last announced to each agent.
  std::map<core::InstanceId, core::TimePoint> announced_at_;
  swarm::Pacer upload_pacer_;
  std::map<core::InstanceId, ChunkPeer> peers_;
  /// By address; never removed, since a call may be in flight.
  std::map<std::string, std::shared_ptr<PeerConnection>> connections_;
  /// Requests in flight, by chunk.
  std::map<std::size_t, OutgoingCallPtr> requests_;
  std::unique_ptr<PeerServer> server_;
};

}  // namespace chalkwell::daemon::direct
