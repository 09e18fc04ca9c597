// Keeps one engine on the target version of its weights: fetches the chunks
// from peers or the origin, stages and verifies them at the engine, and orders
// the switch when a rollout slot is free.
#pragma once

#include <cstdint>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chalkwell/core/backoff.hpp"
#include "chalkwell/rollout/rollout_slots.hpp"
#include "chalkwell/rollout/staging_guard.hpp"
#include "chalkwell/rollout/staging_verification.hpp"
#include "chalkwell/rollout/version_bound.hpp"
#include "chalkwell/swarm/availability_forecast.hpp"
#include "chalkwell/swarm/chunk_set.hpp"
#include "chalkwell/swarm/fetch_window.hpp"
#include "chalkwell/swarm/manifest_search.hpp"
#include "chalkwell/swarm/planner.hpp"
#include "daemon/direct/adapter.hpp"
#include "daemon/direct/chunk_exchange.hpp"
#include "daemon/direct/mesh_node.hpp"
#include "daemon/direct/older_weights.hpp"
#include "daemon/process_base.hpp"

namespace chalkwell::daemon::direct {

/// @brief Manages the weights of one engine.
class WeightsManager {
 public:
  WeightsManager(ProcessBase& process, const WeightsClient& client,
                 MeshNode& mesh);

  /// @param chunks number of chunks of its weights according to the rules; 0
  /// when not known.
  void SetModel(const std::string& model, std::size_t chunks);
  void SetOrigin(const Address& origin) { origin_ = origin; }
  /// @brief Handles a publication, read from the store or received from a
  /// member. Versions older than the target are ignored.
  void OnVersionPublished(const TargetVersion& weights);
  /// @brief Sets the agents of the service, including this one.
  void SetAgents(const AgentAddresses& agents);
  [[nodiscard]] bool KnowsAgents() const noexcept {
    return exchange_.knows_agents();
  }
  void OnHeld(const membership::Member& sender, const HeldChunksMessage& held);
  void OnReport(const EngineReport& report);
  /// @brief The engine did not report.
  void OnEngineLost();

  [[nodiscard]] bool NeedsOrigin() const noexcept { return !origin_; }
  [[nodiscard]] const TargetVersion& target() const noexcept { return target_; }
  [[nodiscard]] std::uint64_t serving() const noexcept { return serving_; }
  /// @brief Whether no fetch or switch is in progress.
  [[nodiscard]] bool idle() const noexcept { return phase_ == Phase::kIdle; }
  /// @brief Whether the engine is switching versions or about to be ordered to.
  [[nodiscard]] bool switching() const noexcept { return switching_; }
  /// @brief Estimated queueing delay of incoming chunks on the local link.
  [[nodiscard]] core::Duration LinkDelay(core::TimePoint now) const {
    return window_.QueueingDelay(now);
  }
  [[nodiscard]] const swarm::ChunkSet& held() const noexcept { return held_; }
  /// @brief Time since the oldest order was sent that the engine may still
  /// take; none if there is no such order.
  [[nodiscard]] std::optional<core::Duration> OrderUnresolvedFor(
      core::TimePoint now) const;

 private:
  enum class Phase : std::uint8_t {
    /// No fetch or switch is in progress. Unless the engine serves the target
    /// version, the next tick starts a fetch.
    kIdle,
    kManifest,
    kFetching,
    /// All chunks are staged; waits for a rollout slot.
    kStaged,
    /// Staged chunks are compared with their digests before the order.
    kVerifying,
    kOrdered,
  };

  void Tick();
  /// @brief Handles a change of the version that the engine serves; 0 for none.
  void OnServing(std::uint64_t version, bool restarted);
  /// @brief Starts to fetch the target version.
  void StartTargetFetch();
  /// @brief Starts to fetch a version and drops the state of any earlier fetch.
  void StartFetch(const TargetVersion& fetch_target);
  /// @brief Retains the version that the engine serves for peers before the
  /// staging is overwritten.
  void RetainServedVersion();
  /// @brief Switches to fetching an older version if an engine without weights
  /// would serve sooner with it.
  void ConsiderOlderVersion(core::TimePoint now);
  /// @brief Whether an older version than the target is being fetched for an
  /// engine that has no weights.
  [[nodiscard]] bool fetching_older() const noexcept {
    return phase_ != Phase::kIdle && fetch_target_.version_ < target_.version_;
  }
  /// @brief Drops a retained older version, or abandons the fetch of one, once
  /// its use expires or the fetch takes too long.
  void DropExpired(core::TimePoint now);
  [[nodiscard]] std::optional<core::TimePoint> ExpiryOf(
      std::uint64_t version) const;
  /// @brief Estimated transfer time of chunks on the idle local link.
  [[nodiscard]] core::Duration TransferTime(std::size_t chunks) const;
  /// @brief Version whose chunks are in `held_`.
  [[nodiscard]] std::uint64_t HeldVersion() const noexcept {
    return manifest_ ? manifest_->version_ : serving_;
  }
  /// @brief Returns the callbacks through which `exchange_` serves chunks and
  /// manifests of this agent.
  [[nodiscard]] ChunkProvider MakeChunkProvider();
  void RequestManifest();
  void OnManifest(const std::optional<WeightsManifest>& manifest);
  void ApplyManifest(const WeightsManifest& manifest);
  /// @brief Reads the staged chunks that are due.
  void ReadStagedChunks();
  void OnStagedChunkRead(std::size_t chunk, const StagedChunk& read);
  /// @brief Reads all chunks that were staged before a restart.
  void StartScan();
  void ContinueScan(std::size_t chunk, const StagedChunk& read);
  /// @brief Handles a staged chunk that is missing or differs from its digest.
  void DropStagedChunk(std::size_t chunk);
  void RequestChunks();
  void FetchChunk(const swarm::FetchRequest& request);
  /// @brief Records whether a request to the origin succeeded.
  /// @param what kind of request, for the log.
  void OnOriginResult(bool succeeded, const std::string& what);
  void OnChunkFetched(std::size_t chunk,
                      const std::optional<std::string>& bytes,
                      const std::string& source);
  void StageChunk(std::size_t chunk, std::string bytes);
  void WriteStaged(std::size_t chunk, std::string bytes);
  void OnChunkWritten(std::size_t chunk, bool accepted);
  void OnChunkUnreadable(const ChunkRequest& chunk);
  void TryStartSwitch();
  /// @brief Whether the version that the engine serves expires too soon to wait
  /// for a rollout slot.
  [[nodiscard]] bool IsUrgent(core::TimePoint now) const;
  void StartPlanner();
  void CheckStagedAtStart();
  /// @brief Peers that announced the manifest.
  [[nodiscard]] std::vector<swarm::SwarmMember> ManifestHolders() const;
  void RequestPeerManifest(const core::InstanceId& peer);
  void RequestOriginManifest();
  void FetchFromPeer(const swarm::FetchRequest& request);
  void FetchFromOrigin(std::size_t chunk);
  void Verify();
  void ContinueVerification();
  void OnVerificationTimedOut();
  void SendActivationOrder();
  void OnOrderEnded(rollout::StagingGuard::Id order, OrderOutcome outcome,
                    std::uint64_t fetch_id);
  void OnOrderRefused();
  /// @brief No order can be taken anymore: goes on with what waited for that.
  void OnOrderResolved(rollout::OrderResolution resolution);
  /// @brief Ends the fetch or switch of a version that is no longer the target,
  /// once no order for it is unresolved.
  void AbandonFetch();
  void SetPhase(Phase phase);
  /// @brief Announces the held chunks to neighbours and importers.
  /// @param repeat whether nothing has changed since the last announcement.
  void Announce(bool repeat);
  [[nodiscard]] HeldChunksMessage MakeHeldMessage(core::TimePoint now) const;
  /// @brief Recipients of announcements: the neighbours, and the importers of
  /// chunks that this agent fetched from the origin.
  [[nodiscard]] std::set<core::InstanceId> AnnounceTargets() const;
  void RemoveUnresponsivePeers(core::TimePoint now);
  /// @brief Members that lack the fetched version, including this one.
  [[nodiscard]] std::vector<swarm::SwarmMember> MembersLacking() const;
  [[nodiscard]] std::size_t ManifestRank() const;
  [[nodiscard]] bool IsCurrentFetch(std::uint64_t fetch_id) const noexcept {
    return fetch_id == fetch_id_;
  }

  ProcessBase& process_;
  const WeightsClient& client_;
  MeshNode& mesh_;
  std::string model_;
  std::size_t model_chunks_ = 0;
  std::optional<Address> origin_;
  /// Newest version published, as far as this agent knows.
  TargetVersion target_;
  /// Version that is fetched or was fetched last: `target_`, or an older one
  /// that an engine without weights loads first. Its version is 0 while no
  /// target version is known: the newest is fetched then, and its manifest
  /// states the version.
  TargetVersion fetch_target_;
  OlderWeights older_;
  swarm::AvailabilityForecast progress_;
  /// When an older version was last considered.
  core::TimePoint older_considered_at_;
  /// Whether the engine refused an older version or its fetch took too long;
  /// reset when the engine restarts.
  bool older_refused_ = false;
  /// Size of the last chunk received; 0 until one arrived.
  std::size_t chunk_bytes_ = 0;
  /// Publication times of versions, which bound how long each may be used.
  rollout::VersionBound version_bound_;
  /// 0 while the engine serves no complete version.
  std::uint64_t serving_ = 0;
  /// Activation orders and start time in the engine's last report.
  std::uint64_t last_activation_count_ = 0;
  std::optional<core::StartTime> last_started_;
  bool engine_reported_ = false;
  Phase phase_ = Phase::kIdle;
  core::TimePoint phase_since_;
  bool switching_ = false;
  /// Whether the fetch is to be abandoned as soon as no order is unresolved.
  bool abandon_when_resolved_ = false;
  /// Incremented when a fetch starts or ends; replies to earlier fetches are
  /// dropped.
  std::uint64_t fetch_id_ = 0;
  std::optional<WeightsManifest> manifest_;
  /// Chunks that are verified and staged at the engine.
  swarm::ChunkSet held_;
  /// Comparisons of the staged chunks with the digests of `manifest_`.
  rollout::StagingVerification verification_;
  ChunkExchange exchange_;
  swarm::ManifestSearch manifest_search_;
  swarm::Planner planner_;
  /// Chunks whose request to the origin has ended during this fetch, also those
  /// that failed: only held ones are announced to importers.
  std::set<std::size_t> origin_chunks_;
  /// Backoff of switches whose verification timed out.
  core::Backoff verification_backoff_;
  /// Backoff of origin requests while they fail.
  core::Backoff origin_backoff_;
  swarm::FetchWindow window_;
  rollout::RolloutSlots rollout_slots_;
  /// Which versions may be written to the staging and ordered.
  rollout::StagingGuard staging_guard_;
  /// When the oldest of the orders that are unresolved, or were resolved last,
  /// was sent, and their version.
  core::TimePoint ordered_at_;
  std::uint64_t ordered_version_ = 0;
  core::TimePoint announced_at_;
  bool announce_due_ = false;
  /// Whether the staging was checked for a version that the engine served from
  /// the start.
  bool staged_checked_ = false;
  /// Whether the chunks that were staged before a restart are being read.
  bool scanning_ = false;
  Timer tick_;
};

}  // namespace chalkwell::daemon::direct
