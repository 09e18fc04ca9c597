// Assembly of one version's weights from chunks of any source: a chunk counts
// only when its digest is right.
#pragma once

#include <cstddef>
#include <string_view>
#include <vector>

#include "chalkwell/bundle/bundle.hpp"
#include "chalkwell/swarm/chunk_set.hpp"
#include "chalkwell/swarm/fwd.hpp"

namespace chalkwell::swarm {

/// @brief Faults that tests seed to show that the proofs can fail.
struct AssemblyFaults {
  bool skip_digest_check_ = false;
  bool complete_too_early_ = false;
};

/// @brief Whether the bytes are the chunk.
[[nodiscard]] bool MatchesChunk(const bundle::Chunk& chunk,
                                std::string_view bytes);

/// @brief The verified chunks of one manifest.
class Assembly {
 public:
  Assembly() = default;
  explicit Assembly(std::vector<bundle::Chunk> chunks,
                    AssemblyFaults faults = {});

  [[nodiscard]] const std::vector<bundle::Chunk>& chunks() const noexcept {
    return chunks_;
  }
  [[nodiscard]] const ChunkSet& held() const noexcept { return held_; }
  /// @brief Whether every chunk is there.
  [[nodiscard]] bool complete() const noexcept;

  /// @brief Takes the bytes of a chunk.
  /// @return false when they are not that chunk; they must be dropped.
  [[nodiscard]] bool VerifyAndAdd(std::size_t index, std::string_view bytes);
  /// @brief The engine itself says that it holds the chunk.
  void MarkHeld(std::size_t index);

 private:
  std::vector<bundle::Chunk> chunks_;
  AssemblyFaults faults_;
  /// Only chunks whose digest was checked, here or by the engine.
  ChunkSet held_;
};

}  // namespace chalkwell::swarm
