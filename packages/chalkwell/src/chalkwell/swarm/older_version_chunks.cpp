// Chunks are copied one by one as they are overwritten.
#include "chalkwell/swarm/older_version_chunks.hpp"

#include <utility>

namespace chalkwell::swarm {

void OlderVersionChunks::Start(std::uint64_t version, ChunkSet staged) {
  Clear();
  version_ = version;
  available_ = std::move(staged);
}

void OlderVersionChunks::Clear() {
  version_ = 0;
  available_ = {};
  copies_.clear();
  copied_bytes_ = 0;
}

bool OlderVersionChunks::NeedsCopy(std::size_t chunk) const {
  return available_.Has(chunk) && !copies_.contains(chunk);
}

void OlderVersionChunks::SaveCopy(std::size_t chunk, std::string bytes) {
  if (!NeedsCopy(chunk)) {
    return;
  }
  if (copied_bytes_ + bytes.size() > max_bytes_) {
    Remove(chunk);
    return;
  }
  copied_bytes_ += bytes.size();
  copies_.emplace(chunk, std::move(bytes));
}

void OlderVersionChunks::Remove(std::size_t chunk) {
  available_.Remove(chunk);
  const auto copy = copies_.find(chunk);
  if (copy != copies_.end()) {
    copied_bytes_ -= copy->second.size();
    copies_.erase(copy);
  }
}

const std::string* OlderVersionChunks::FindCopy(std::size_t chunk) const {
  const auto copy = copies_.find(chunk);
  return copy == copies_.end() ? nullptr : &copy->second;
}

}  // namespace chalkwell::swarm
