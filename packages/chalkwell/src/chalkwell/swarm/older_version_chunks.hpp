// Chunks of the version that an engine serves, kept while a newer version
// overwrites them in the engine's staging area: engines that start during a
// rollout can fetch them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "chalkwell/swarm/chunk_set.hpp"

namespace chalkwell::swarm {

/// @brief Chunks of one older version: those still staged, and copies of those
/// that were overwritten.
class OlderVersionChunks {
 public:
  /// @param max_bytes limit of the total size of all copies.
  explicit OlderVersionChunks(std::size_t max_bytes) : max_bytes_(max_bytes) {}

  /// @brief Starts with the staged chunks of a version and discards any other
  /// version.
  void Start(std::uint64_t version, ChunkSet staged);
  void Clear();

  /// @brief 0 when no version is kept.
  [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
  /// @brief Chunks that can be sent to peers.
  [[nodiscard]] const ChunkSet& available() const noexcept {
    return available_;
  }
  /// @brief Whether a chunk would be lost if it were overwritten now.
  [[nodiscard]] bool NeedsCopy(std::size_t chunk) const;
  /// @brief Keeps a copy of a staged chunk that is about to be overwritten. If
  /// the copies would exceed the limit, none is kept of this chunk and it is no
  /// longer available.
  void SaveCopy(std::size_t chunk, std::string bytes);
  /// @brief Removes a chunk that can no longer be read, with its copy.
  void Remove(std::size_t chunk);
  /// @return null when there is no copy of the chunk.
  [[nodiscard]] const std::string* FindCopy(std::size_t chunk) const;

 private:
  std::size_t max_bytes_;
  std::uint64_t version_ = 0;
  ChunkSet available_;
  /// By chunk index; every chunk with a copy is also in `available_`.
  std::map<std::size_t, std::string> copies_;
  /// Total size of the copies; at most `max_bytes_`.
  std::size_t copied_bytes_ = 0;
};

}  // namespace chalkwell::swarm
