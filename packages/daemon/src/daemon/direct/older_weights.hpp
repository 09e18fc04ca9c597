// The weights that engines serve while newer ones are fetched: what this agent
// can give of them, and what others offer to an engine that holds none.
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

/// @brief Older weights of this agent's engine.
class OlderWeights {
 public:
  OlderWeights();

  /// @brief Newer weights begin to overwrite what is staged.
  /// @param manifest of the version, where it is known.
  /// @param staged pieces of it.
  void Start(std::uint64_t version, std::optional<WeightsManifest> manifest,
             swarm::ChunkSet staged);
  void Clear();

  [[nodiscard]] std::uint64_t version() const noexcept {
    return pieces_.version();
  }
  /// @return null unless it is the manifest of this version.
  [[nodiscard]] const WeightsManifest* Manifest(std::uint64_t version) const;
  [[nodiscard]] bool Holds(const PieceMessage& piece) const;
  [[nodiscard]] const std::string* Copy(const PieceMessage& piece) const;
  [[nodiscard]] bool NeedsCopy(std::size_t piece) const {
    return pieces_.NeedsCopy(piece);
  }
  /// @param bytes as staged; none when they could not be read.
  void OnOverwritten(std::size_t piece, std::optional<std::string> bytes);
  void Lose(std::size_t piece) { pieces_.Remove(piece); }
  /// @brief Adds what can be given to what this agent announces.
  void AddTo(HeldChunksMessage& held) const;

 private:
  std::optional<WeightsManifest> manifest_;
  swarm::OlderVersionChunks pieces_;
};

/// @brief Whether a peer announced that it can give a manifest.
[[nodiscard]] bool OffersManifest(const HeldChunksMessage& held,
                                  std::uint64_t version);
/// @brief Pieces of a version that a peer announced.
/// @param size pieces of the version.
[[nodiscard]] swarm::ChunkSet OfferedPieces(const HeldChunksMessage& held,
                                            std::uint64_t version,
                                            std::size_t size);
/// @brief Pieces of a version that some peer announced.
[[nodiscard]] swarm::ChunkSet OfferedPieces(
    const std::map<core::InstanceId, PiecePeer>& peers, std::uint64_t version,
    std::size_t size);
/// @brief Newest version below a given one of which peers together offer all
/// pieces and the manifest; none when there is none.
[[nodiscard]] std::optional<std::uint64_t> OfferedBelow(
    const std::map<core::InstanceId, PiecePeer>& peers, std::uint64_t version,
    std::size_t size);

}  // namespace chalkwell::daemon::direct
