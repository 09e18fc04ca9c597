// Copies are made one by one as pieces are overwritten.
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
  bytes_ = 0;
}

bool OlderVersionChunks::NeedsCopy(std::size_t piece) const {
  return available_.Has(piece) && !copies_.contains(piece);
}

void OlderVersionChunks::SaveCopy(std::size_t piece, std::string bytes) {
  if (!NeedsCopy(piece)) {
    return;
  }
  if (bytes_ + bytes.size() > most_bytes_) {
    Remove(piece);
    return;
  }
  bytes_ += bytes.size();
  copies_.emplace(piece, std::move(bytes));
}

void OlderVersionChunks::Remove(std::size_t piece) {
  available_.Remove(piece);
  const auto copy = copies_.find(piece);
  if (copy != copies_.end()) {
    bytes_ -= copy->second.size();
    copies_.erase(copy);
  }
}

const std::string* OlderVersionChunks::FindCopy(std::size_t piece) const {
  const auto copy = copies_.find(piece);
  return copy == copies_.end() ? nullptr : &copy->second;
}

}  // namespace chalkwell::swarm
