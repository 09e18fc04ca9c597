// Fetches, verifies and stages one version of the weights at a time, and
// serves verified chunks to peers.
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

/// @brief Weights of one agent.
class WeightFetcher {
 public:
  /// @param on_staged called when weights are whole, verified and staged.
  /// @param on_serving called when a member is heard to serve a version.
  WeightFetcher(
      Process& process, EngineClient& engine,
      std::function<void(const core::Digest&)> on_staged,
      std::function<void(const core::InstanceId&, std::uint64_t)> on_serving);

  [[nodiscard]] SwarmLinks& links() noexcept { return links_; }
  [[nodiscard]] swarm::Pacer& upload() noexcept { return upload_.pacer(); }
  /// @brief Bytes drawn from weight store and origin so far.
  [[nodiscard]] std::uint64_t drawn_bytes() const noexcept {
    return drawn_bytes_;
  }
  /// @brief Chunks staged and chunks in all; zeros when nothing is fetched.
  [[nodiscard]] std::pair<std::size_t, std::size_t> progress() const noexcept;

  /// @brief Begins to fetch; what was fetched before is given up.
  void Fetch(const rollout::Target& target);
  void Abandon(const core::Digest& manifest);
  /// @brief The published list changed.
  void UpdateMembers();
  /// @brief Answers /v1/chunk.
  void HandleChunk(const PeerCallPtr& call);

 private:
  /// One fetch under way; dropped as a whole when it is given up.
  struct Job {
    rollout::Target target_;
    std::string manifest_hex_;
    std::string manifest_text_;
    bundle::Manifest manifest_;
    swarm::Assembly assembly_;
    /// Chunks that the engine holds, by index in the manifest.
    swarm::ChunkSet staged_;
    std::set<std::size_t> staging_;
    std::unique_ptr<swarm::Planner> planner_;
    /// True once the manifest is known and the engine has said what it lacks.
    bool has_manifest_ = false;
    bool sealing_ = false;
    core::TimePoint started_;
    std::map<std::size_t, std::shared_ptr<HttpCall>> draws_;
    std::map<std::size_t, OutgoingCallPtr> calls_;
  };
  using JobPtr = std::shared_ptr<Job>;

  void Pump();
  void Request(const JobPtr& job, const swarm::FetchRequest& order);
  void Draw(const JobPtr& job, std::size_t index, bool from_store);
  void AskPeer(const JobPtr& job, std::size_t index,
               const core::InstanceId& peer);
  void OnBytes(const JobPtr& job, std::size_t index, std::string bytes,
               const std::string& source);
  void OnFailed(const JobPtr& job, std::size_t index, const std::string& source,
                const std::string& reason);
  void OnManifest(const JobPtr& job, const std::string& text);
  void BeginStaging(const JobPtr& job);
  void StartChunks(const JobPtr& job, const std::vector<std::size_t>& missing);
  void Stage(const JobPtr& job, std::size_t chunk,
             const ChunkStore::Bytes& bytes);
  void SealIfWhole(const JobPtr& job);
  void AnnounceHeld();
  void ApplyHeld(const core::InstanceId& peer,
                 const std::set<std::uint32_t>& held);
  [[nodiscard]] swarm::PlannerSettings PlannerSettingsFor() const;
  [[nodiscard]] core::Digest DigestOf(const Job& job, std::size_t index) const;
  [[nodiscard]] std::uint64_t SizeOf(const Job& job, std::size_t index) const;
  [[nodiscard]] bool IsCurrent(const JobPtr& job) const noexcept {
    return job == job_;
  }

  Process& process_;
  EngineClient& engine_;
  std::function<void(const core::Digest&)> on_staged_;
  std::optional<Address> store_address_;
  Address origin_;
  ChunkStore store_;
  ChunkUpload upload_;
  swarm::Pacer download_;
  SwarmLinks links_;
  JobPtr job_;
  /// Target last whole; its chunks are still served to peers.
  JobPtr finished_;
  std::map<core::InstanceId, std::set<std::uint32_t>> peer_held_;
  std::uint64_t drawn_bytes_ = 0;
  Timer pump_;
};

}  // namespace chalkwell::daemon
