// Pieces of the weights that an engine serves, while newer ones overwrite them
// in its staging: engines that start in the middle of a roll can have them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <string>

#include "chalkwell/swarm/chunk_set.hpp"

namespace chalkwell::swarm {

/// @brief Pieces of one older version: staged ones, and copies of those that
/// were overwritten.
class OlderVersionChunks {
 public:
  /// @param most_bytes of all copies together.
  explicit OlderVersionChunks(std::size_t most_bytes)
      : most_bytes_(most_bytes) {}

  /// @brief Begins with what is staged of a version; forgets any other.
  void Start(std::uint64_t version, ChunkSet staged);
  void Clear();

  /// @brief 0 while there is none.
  [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
  /// @brief Pieces that can be given.
  [[nodiscard]] const ChunkSet& available() const noexcept {
    return available_;
  }
  /// @brief Whether a piece would be lost if it were overwritten now.
  [[nodiscard]] bool NeedsCopy(std::size_t piece) const;
  /// @brief Keeps a copy of a staged piece. It is lost once it is overwritten
  /// when there is no room for it.
  void SaveCopy(std::size_t piece, std::string bytes);
  /// @brief A piece can no longer be read.
  void Remove(std::size_t piece);
  /// @return null when there is no copy of the piece.
  [[nodiscard]] const std::string* FindCopy(std::size_t piece) const;

 private:
  std::size_t most_bytes_;
  std::uint64_t version_ = 0;
  ChunkSet available_;
  /// All of them are available.
  std::map<std::size_t, std::string> copies_;
  /// Of the copies; at most `most_bytes_`.
  std::size_t bytes_ = 0;
};

}  // namespace chalkwell::swarm
