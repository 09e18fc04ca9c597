// Assembly of one version's weights from chunks of any source. A chunk counts
// only after its digest has been verified.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "chalkwell/bundle/bundle.hpp"
#include "chalkwell/swarm/chunk_set.hpp"
#include "chalkwell/swarm/fwd.hpp"

namespace chalkwell::swarm {

/// @brief Faults that mutation tests inject to show that the checks detect
/// them.
struct AssemblyFaults {
  bool skip_digest_check_ = false;
  bool complete_too_early_ = false;
};

/// @brief Whether the bytes have the size and the digest of the chunk.
[[nodiscard]] bool MatchesChunk(const bundle::Chunk& chunk,
                                std::string_view bytes);

/// @brief Tracks which chunks of one manifest are verified.
class Assembly {
 public:
  Assembly() = default;
  explicit Assembly(std::vector<bundle::Chunk> chunks,
                    AssemblyFaults faults = {});

  [[nodiscard]] const std::vector<bundle::Chunk>& chunks() const noexcept {
    return chunks_;
  }
  [[nodiscard]] const ChunkSet& held() const noexcept { return held_; }
  /// @brief Whether every chunk is verified.
  [[nodiscard]] bool complete() const noexcept;

  /// @brief Verifies the bytes of a chunk and adds it.
  /// @return false if the index is out of range, or the size or the digest does
  /// not match; the caller must discard the bytes.
  [[nodiscard]] bool VerifyAndAdd(std::size_t index, std::string_view bytes);
  /// @brief Adds a chunk that the engine reports as present and verified.
  void MarkHeld(std::size_t index);

 private:
  std::vector<bundle::Chunk> chunks_;
  AssemblyFaults faults_;
  /// Chunks whose digest was verified, here or by the engine.
  ChunkSet held_;
};

}  // namespace chalkwell::swarm
