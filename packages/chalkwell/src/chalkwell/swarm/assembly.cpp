// Digest verification of chunks.
#include "chalkwell/swarm/assembly.hpp"

#include <utility>

namespace chalkwell::swarm {

bool MatchesChunk(const bundle::Chunk& chunk, std::string_view bytes) {
  return bytes.size() == chunk.size_ &&
         core::Digest::Of(bytes) == chunk.digest_;
}

Assembly::Assembly(std::vector<bundle::Chunk> chunks, AssemblyFaults faults)
    : chunks_(std::move(chunks)), faults_(faults), held_(chunks_.size()) {}

bool Assembly::complete() const noexcept {
  if (faults_.complete_too_early_) {
    return held_.count() + 1 >= held_.size();
  }
  return held_.full();
}

bool Assembly::VerifyAndAdd(std::size_t index, std::string_view bytes) {
  if (index >= chunks_.size()) {
    return false;
  }
  if (!faults_.skip_digest_check_ && !MatchesChunk(chunks_[index], bytes)) {
    return false;
  }
  held_.Add(index);
  return true;
}

void Assembly::MarkHeld(std::size_t index) { held_.Add(index); }

}  // namespace chalkwell::swarm
