// Set of chunk indexes of one manifest.
#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chalkwell/swarm/fwd.hpp"

namespace chalkwell::swarm {

/// @brief Bit set whose size is fixed at run time, with a compact wire
/// encoding.
class ChunkSet {
 public:
  ChunkSet() = default;
  explicit ChunkSet(std::size_t size) : bits_(size, false) {}

  [[nodiscard]] std::size_t size() const noexcept { return bits_.size(); }
  [[nodiscard]] std::size_t count() const noexcept { return count_; }
  [[nodiscard]] bool full() const noexcept { return count_ == bits_.size(); }
  [[nodiscard]] bool Has(std::size_t index) const {
    return index < bits_.size() && bits_[index];
  }

  /// @return true when the chunk was not in the set before.
  bool Add(std::size_t index);
  void Remove(std::size_t index);

  /// @brief Encodes one bit per chunk, least significant bit first.
  [[nodiscard]] std::string ToBytes() const;
  /// @brief Decodes `ToBytes`; missing bits are clear, surplus bits are
  /// ignored.
  /// @param size number of chunks.
  [[nodiscard]] static ChunkSet FromBytes(std::string_view bytes,
                                          std::size_t size);

 private:
  std::vector<bool> bits_;
  std::size_t count_ = 0;
};

}  // namespace chalkwell::swarm
