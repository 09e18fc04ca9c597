// The version that an engine serves while a newer one is fetched: which of its
// chunks this agent can provide, and which versions peers offer to an engine
// without weights.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>

#include "chalkwell/swarm/chunk_set.hpp"
#include "chalkwell/swarm/older_version_chunks.hpp"
#include "daemon/direct/adapter.hpp"
#include "daemon/direct/chunk_exchange.hpp"
#include "daemon/direct/mesh_messages.hpp"

namespace chalkwell::daemon::direct {

/// @brief Chunks of the version that this agent's engine serves while a newer
/// one overwrites its staging.
class OlderWeights {
 public:
  OlderWeights();

  /// @brief Starts to track a version whose staging is about to be overwritten.
  /// @param manifest manifest of the version, if known.
  /// @param staged chunks of the version that are staged.
  void Start(std::uint64_t version, std::optional<WeightsManifest> manifest,
             swarm::ChunkSet staged);
  void Clear();

  [[nodiscard]] std::uint64_t version() const noexcept {
    return chunks_.version();
  }
  /// @return the manifest, or null when it is not known or belongs to another
  /// version.
  [[nodiscard]] const WeightsManifest* Manifest(std::uint64_t version) const;
  [[nodiscard]] bool Holds(const ChunkRequest& chunk) const;
  [[nodiscard]] const std::string* FindCopy(const ChunkRequest& chunk) const;
  [[nodiscard]] bool NeedsCopy(std::size_t chunk) const {
    return chunks_.NeedsCopy(chunk);
  }
  /// @brief Saves a copy of a chunk before its staging is overwritten.
  /// @param bytes staged bytes; none when they could not be read.
  void OnOverwritten(std::size_t chunk, std::optional<std::string> bytes);
  void RemoveChunk(std::size_t chunk) { chunks_.Remove(chunk); }
  /// @brief Adds the version and its available chunks to an announcement.
  void AddTo(HeldChunksMessage& held) const;

 private:
  std::optional<WeightsManifest> manifest_;
  swarm::OlderVersionChunks chunks_;
};

/// @brief Whether a peer announced the manifest of a version.
[[nodiscard]] bool OffersManifest(const HeldChunksMessage& held,
                                  std::uint64_t version);
/// @brief Chunks of a version that a peer announced.
/// @param size number of chunks of the version.
[[nodiscard]] swarm::ChunkSet OfferedChunks(const HeldChunksMessage& held,
                                            std::uint64_t version,
                                            std::size_t size);
/// @brief Chunks of a version that at least one peer announced.
[[nodiscard]] swarm::ChunkSet OfferedChunks(
    const std::map<core::InstanceId, ChunkPeer>& peers, std::uint64_t version,
    std::size_t size);
/// @brief Newest version below the given one of which the peers together offer
/// all chunks and the manifest; none if there is none.
[[nodiscard]] std::optional<std::uint64_t> NewestOfferedBelow(
    const std::map<core::InstanceId, ChunkPeer>& peers, std::uint64_t version,
    std::size_t size);

}  // namespace chalkwell::daemon::direct
