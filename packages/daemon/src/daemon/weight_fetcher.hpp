// Fetches, verifies and stages the weights of one version at a time, and sends
// verified chunks to peers.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chalkwell/bundle/bundle.hpp"
#include "chalkwell/rollout/activation.hpp"
#include "chalkwell/swarm/assembly.hpp"
#include "chalkwell/swarm/pacer.hpp"
#include "chalkwell/swarm/planner.hpp"
#include "daemon/chunk_store.hpp"
#include "daemon/chunk_upload.hpp"
#include "daemon/engine_client.hpp"
#include "daemon/process.hpp"
#include "daemon/swarm_links.hpp"

namespace chalkwell::daemon {

/// @brief Fetches the weights of one agent's engine.
///
/// Performs the plan of a swarm::Planner: requests chunks from peers or from
/// the origin, verifies their digests and stages them at the engine. A weight
/// store, if configured, is tried before the origin.
class WeightFetcher {
 public:
  /// @param on_staged called with the manifest when its weights are complete,
  /// verified and staged.
  /// @param on_serving called when a member is known to serve a higher version
  /// than before.
  WeightFetcher(
      Process& process, EngineClient& engine,
      std::function<void(const core::Digest&)> on_staged,
      std::function<void(const core::InstanceId&, std::uint64_t)> on_serving);

  [[nodiscard]] SwarmLinks& links() noexcept { return links_; }
  /// @brief Rate limiter of the uplink, to which request traffic is reported.
  [[nodiscard]] swarm::Pacer& upload_pacer() noexcept {
    return upload_.pacer();
  }
  /// @brief Bytes fetched from the weight store and the origin so far.
  [[nodiscard]] std::uint64_t origin_bytes() const noexcept {
    return origin_bytes_;
  }
  /// @brief Numbers of staged chunks and of all chunks; zeros when no fetch is
  /// in progress.
  [[nodiscard]] std::pair<std::size_t, std::size_t> progress() const noexcept;

  /// @brief Starts a fetch; an earlier one in progress is abandoned.
  void Fetch(const rollout::Target& target);
  /// @brief Abandons the fetch of a manifest, if it is in progress, and deletes
  /// its staged chunks. Cached chunks are kept.
  void Abandon(const core::Digest& manifest);
  /// @brief To be called when the published list has changed.
  void UpdateMembers();
  /// @brief Handles a call of /v1/chunk; responds with status 404 if the chunk
  /// is not cached.
  /// @throws core::Error if the request is malformed.
  void HandleChunk(const PeerCallPtr& call);

 private:
  /// State of one fetch.
  struct Job {
    rollout::Target target_;
    std::string manifest_hex_;
    std::string manifest_text_;
    bundle::Manifest manifest_;
    swarm::Assembly assembly_;
    /// Chunks that the engine holds.
    swarm::ChunkSet staged_;
    /// Chunks being sent to the engine.
    std::set<std::size_t> staging_;
    std::unique_ptr<swarm::Planner> planner_;
    /// Whether the manifest is known and the engine has reported the chunks
    /// that it lacks.
    bool has_manifest_ = false;
    bool sealing_ = false;
    core::TimePoint started_;
    /// Requests in flight, by index: kManifestIndex, or i + 1 for chunk i.
    std::map<std::size_t, std::shared_ptr<HttpCall>> origin_fetches_;
    std::map<std::size_t, OutgoingCallPtr> peer_fetches_;
  };
  using JobPtr = std::shared_ptr<Job>;

  // Parameters named `index` are kManifestIndex for the manifest or i + 1 for
  // chunk i; those named `chunk` are i.

  /// Cancels requests past their timeout and sends those that are due.
  void SendRequests();
  void Request(const JobPtr& job, const swarm::FetchRequest& request);
  /// Also fetches from the weight store.
  /// @param from_store whether to try the weight store first; the origin is
  /// used if that fails.
  void FetchFromOrigin(const JobPtr& job, std::size_t index, bool from_store);
  void FetchFromPeer(const JobPtr& job, std::size_t index,
                     const core::InstanceId& peer);
  void OnReceived(const JobPtr& job, std::size_t index, std::string bytes,
                  const std::string& source);
  void OnFailed(const JobPtr& job, std::size_t index, const std::string& source,
                const std::string& reason);
  void OnManifest(const JobPtr& job, const std::string& text);
  void BeginStaging(const JobPtr& job);
  void StartChunks(const JobPtr& job, const std::vector<std::size_t>& missing);
  void Stage(const JobPtr& job, std::size_t chunk,
             const ChunkStore::Bytes& bytes);
  void SealIfComplete(const JobPtr& job);
  /// Announces the cached chunks of the current job, else of the completed one.
  void AnnounceChunks();
  void ApplyAnnouncement(const core::InstanceId& peer,
                         const std::set<std::uint32_t>& held);
  [[nodiscard]] swarm::PlannerSettings MakePlannerSettings() const;
  [[nodiscard]] core::Digest DigestOf(const Job& job, std::size_t index) const;
  [[nodiscard]] std::uint64_t SizeOf(const Job& job, std::size_t index) const;
  [[nodiscard]] bool IsCurrent(const JobPtr& job) const noexcept {
    return job == current_job_;
  }

  Process& process_;
  EngineClient& engine_;
  std::function<void(const core::Digest&)> on_staged_;
  std::optional<Address> weight_store_;
  Address origin_;
  ChunkStore chunks_;
  ChunkUpload upload_;
  swarm::Pacer download_;
  SwarmLinks links_;
  JobPtr current_job_;
  /// Last completed fetch; its chunks are still sent to peers.
  JobPtr completed_job_;
  /// Indexes of the chunks that each neighbour announced.
  std::map<core::InstanceId, std::set<std::uint32_t>> announced_chunks_;
  std::uint64_t origin_bytes_ = 0;
  Timer request_timer_;
};

}  // namespace chalkwell::daemon
