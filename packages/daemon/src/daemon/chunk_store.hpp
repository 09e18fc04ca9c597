// Size-bounded in-memory cache of verified chunks, by digest.
#pragma once

#include <cstdint>
#include <list>
#include <map>
#include <memory>
#include <string>

#include "chalkwell/core/digest.hpp"

namespace chalkwell::daemon {

/// @brief Cache of verified chunks, evicted in order of insertion.
class ChunkStore {
 public:
  using Bytes = std::shared_ptr<const std::string>;

  /// @param limit maximum total size of the chunks in bytes; a single larger
  /// chunk is kept all the same.
  explicit ChunkStore(std::uint64_t limit_bytes) : limit_bytes_(limit_bytes) {}

  /// @return null if the chunk is not cached.
  [[nodiscard]] Bytes Find(const core::Digest& digest) const;
  /// @brief Total size of the cached chunks in bytes.
  [[nodiscard]] std::uint64_t size_bytes() const noexcept {
    return size_bytes_;
  }

  /// @brief Adds a chunk whose digest was verified and evicts the oldest chunks
  /// above the limit.
  void Insert(const core::Digest& digest, Bytes bytes);

 private:
  struct Entry {
    Bytes bytes_;
    /// Position in `insertion_order_`.
    std::list<core::Digest>::iterator position_;
  };

  std::uint64_t limit_bytes_;
  /// At most `limit_bytes_`, unless a single chunk is larger.
  std::uint64_t size_bytes_ = 0;
  std::map<core::Digest, Entry> chunks_;
  /// Oldest first.
  std::list<core::Digest> insertion_order_;
};

}  // namespace chalkwell::daemon
