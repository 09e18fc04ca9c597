// Keeps one engine on the newest weights: fetches their pieces from peers or
// the source, stages and verifies them, and orders the switch in its turn.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chalkwell/core/backoff.hpp"
#include "chalkwell/rollout/rollout_slots.hpp"
#include "chalkwell/rollout/version_bound.hpp"
#include "chalkwell/swarm/chunk_set.hpp"
#include "chalkwell/swarm/fetch_window.hpp"
#include "chalkwell/swarm/manifest_search.hpp"
#include "chalkwell/swarm/origin_progress.hpp"
#include "chalkwell/swarm/planner.hpp"
#include "daemon/direct/adapter.hpp"
#include "daemon/direct/chunk_exchange.hpp"
#include "daemon/direct/mesh_node.hpp"
#include "daemon/direct/older_weights.hpp"
#include "daemon/process_base.hpp"

namespace chalkwell::daemon::direct {

/// @brief Weights of one engine.
class WeightsKeeper {
 public:
  WeightsKeeper(ProcessBase& process, const WeightsClient& client,
                MeshNode& mesh);

  /// @param pieces of its weights, as published; 0 when not known.
  void SetModel(const std::string& model, std::size_t pieces);
  void SetOrigin(const Address& origin) { origin_ = origin; }
  /// @brief A version was published or heard of.
  void OnNamed(const TargetVersion& weights);
  /// @brief The agents of the service, this one included.
  void SetAgents(const AgentAddresses& agents);
  [[nodiscard]] bool KnowsAgents() const noexcept {
    return peers_.knows_agents();
  }
  void OnHeld(const membership::Member& sender, const HeldChunksMessage& held);
  void OnReport(const EngineReport& report);
  void OnEngineLost();

  [[nodiscard]] bool NeedsOrigin() const noexcept { return !origin_; }
  [[nodiscard]] const TargetVersion& wanted() const noexcept { return wanted_; }
  [[nodiscard]] std::uint64_t serving() const noexcept { return serving_; }
  /// @brief Whether the engine serves what is wanted.
  [[nodiscard]] bool settled() const noexcept {
    return phase_ == Phase::kSettled;
  }
  /// @brief Whether the engine is changing its weights or about to.
  [[nodiscard]] bool switching() const noexcept { return switching_; }
  /// @brief How long pieces that arrive wait on the own link.
  [[nodiscard]] core::Duration LinkDelay(core::TimePoint now) const {
    return window_.QueueingDelay(now);
  }
  [[nodiscard]] const swarm::ChunkSet& held() const noexcept { return held_; }

 private:
  enum class Phase : std::uint8_t {
    /// The engine serves what is wanted.
    kSettled,
    kManifest,
    kFetching,
    /// All pieces are staged; it waits for its turn.
    kStaged,
    /// Staged pieces are compared with their digests once more.
    kVerifying,
    kOrdered,
  };

  void Tick();
  /// @brief The engine serves another version than before; 0 for none.
  void OnServing(std::uint64_t version, bool restarted);
  /// @brief Begins with the newest version.
  void Begin();
  /// @brief Begins to fetch a version.
  void BeginWith(const TargetVersion& goal);
  /// @brief Keeps what is served for others, before it is overwritten.
  void KeepServed();
  /// @brief Turns to older weights where they serve sooner.
  void ConsiderOlder(core::TimePoint now);
  /// @brief Whether an older version is fetched, for an engine without any.
  [[nodiscard]] bool older_first() const noexcept {
    return phase_ != Phase::kSettled && goal_.version_ < wanted_.version_;
  }
  /// @brief Ends with the time in which older weights may be used.
  void DropOutdated(core::TimePoint now);
  [[nodiscard]] std::optional<core::TimePoint> EndOf(
      std::uint64_t version) const;
  /// @brief Time of pieces on the own link.
  [[nodiscard]] core::Duration LinkTime(std::size_t pieces) const;
  /// @brief Version whose pieces are in `held_`.
  [[nodiscard]] std::uint64_t HeldVersion() const noexcept {
    return manifest_ ? manifest_->version_ : serving_;
  }
  /// @brief What this agent gives to others.
  [[nodiscard]] PieceSource Source();
  void AskManifest();
  void OnManifest(const std::optional<WeightsManifest>& manifest);
  void TakeManifest(const WeightsManifest& manifest);
  void ReadStaged(std::size_t piece);
  void Pump();
  void Fetch(const swarm::FetchRequest& order);
  /// @brief The source answered, or did not.
  void OnSource(bool answered, const std::string& what);
  void OnPiece(std::size_t piece, const std::optional<std::string>& bytes,
               const std::string& source);
  void Stage(std::size_t piece, std::string bytes);
  void PutStaged(std::size_t piece, std::string bytes);
  void OnMissing(const PieceMessage& piece);
  void TakeTurn();
  /// @brief Whether the switch cannot wait for its turn.
  [[nodiscard]] bool Urgent(core::TimePoint now) const;
  void StartPlanner();
  void CheckStagedAtStart();
  /// @brief Peers that can give the manifest.
  [[nodiscard]] std::vector<swarm::SwarmMember> ManifestHolders() const;
  void AskPeerManifest(const core::InstanceId& peer);
  void AskOriginManifest();
  void FetchFromPeer(const swarm::FetchRequest& order);
  void FetchFromOrigin(std::size_t piece);
  void Verify();
  void VerifyNext(std::size_t piece);
  void Order();
  void SetPhase(Phase phase);
  /// @brief Tells whoever may want pieces what is held here.
  void Announce(bool repeat);
  [[nodiscard]] HeldChunksMessage Held(core::TimePoint now) const;
  /// @brief Agents to tell: neighbours, and the importers of pieces that were
  /// drawn here.
  [[nodiscard]] std::set<core::InstanceId> Audience() const;
  void ForgetSilentPeers(core::TimePoint now);
  /// @brief Members that want the version too, this one included.
  [[nodiscard]] std::vector<swarm::SwarmMember> Lacking() const;
  [[nodiscard]] std::size_t ManifestRank() const;
  [[nodiscard]] bool Current(std::uint64_t job) const noexcept {
    return job == job_;
  }

  ProcessBase& process_;
  const WeightsClient& client_;
  MeshNode& mesh_;
  std::string model_;
  std::size_t usual_pieces_ = 0;
  std::optional<Address> origin_;
  /// The newest version.
  TargetVersion wanted_;
  /// What is fetched, or was last: `wanted_`, or older weights first.
  TargetVersion goal_;
  OlderWeights older_;
  swarm::OriginProgress progress_;
  core::TimePoint considered_at_;
  /// The engine refused older weights, or they took too long; until it
  /// restarts.
  bool older_refused_ = false;
  /// Of a piece; 0 until one arrived.
  std::size_t piece_bytes_ = 0;
  /// Versions heard of, with their times.
  rollout::VersionBound named_;
  /// 0 while the engine serves no whole weights.
  std::uint64_t serving_ = 0;
  std::uint64_t orders_seen_ = 0;
  std::optional<core::StartTime> started_seen_;
  bool heard_engine_ = false;
  Phase phase_ = Phase::kSettled;
  core::TimePoint phase_since_;
  bool switching_ = false;
  /// Rises with each fetch; answers of earlier ones are dropped.
  std::uint64_t job_ = 0;
  std::optional<WeightsManifest> manifest_;
  /// Pieces verified and staged at the engine.
  swarm::ChunkSet held_;
  std::size_t staging_ = 0;
  PieceExchange peers_;
  swarm::ManifestSearch search_;
  swarm::Planner planner_;
  /// Pieces that this agent drew from the source in this fetch.
  std::set<std::size_t> drawn_;
  /// Pauses between asks of the source while it fails.
  core::Backoff source_;
  swarm::FetchWindow window_;
  rollout::RolloutSlots turns_;
  core::TimePoint announced_at_;
  bool announce_due_ = false;
  /// Whether the staging of a served version was looked at.
  bool staged_checked_ = false;
  /// Whether all of the staging was right when it was last read.
  bool verified_all_ = false;
  std::size_t spoilt_ = 0;
  /// When the staging was last read whole.
  core::TimePoint verified_at_;
  Timer tick_;
};

}  // namespace chalkwell::daemon::direct
