// Eviction in order of insertion.
#include "daemon/chunk_store.hpp"

#include <utility>

namespace chalkwell::daemon {

ChunkStore::Bytes ChunkStore::Find(const core::Digest& digest) const {
  const auto found = chunks_.find(digest);
  return found == chunks_.end() ? nullptr : found->second.bytes_;
}

void ChunkStore::Insert(const core::Digest& digest, Bytes bytes) {
  if (chunks_.contains(digest)) {
    return;
  }
  size_bytes_ += bytes->size();
  const auto position = insertion_order_.insert(insertion_order_.end(), digest);
  chunks_.emplace(digest, Entry{std::move(bytes), position});
  while (size_bytes_ > limit_bytes_ && chunks_.size() > 1) {
    const auto oldest = chunks_.find(insertion_order_.front());
    size_bytes_ -= oldest->second.bytes_->size();
    chunks_.erase(oldest);
    insertion_order_.pop_front();
  }
}

}  // namespace chalkwell::daemon
