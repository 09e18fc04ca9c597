// Bit operations and the wire encoding.
#include "chalkwell/swarm/chunk_set.hpp"

namespace chalkwell::swarm {
namespace {

constexpr std::size_t kBitsPerByte = 8;

}  // namespace

bool ChunkSet::Add(std::size_t index) {
  if (index >= bits_.size() || bits_[index]) {
    return false;
  }
  bits_[index] = true;
  ++count_;
  return true;
}

void ChunkSet::Remove(std::size_t index) {
  if (Has(index)) {
    bits_[index] = false;
    --count_;
  }
}

std::string ChunkSet::ToBytes() const {
  std::string bytes((bits_.size() + kBitsPerByte - 1) / kBitsPerByte, '\0');
  for (std::size_t index = 0; index < bits_.size(); ++index) {
    if (bits_[index]) {
      auto& byte = bytes[index / kBitsPerByte];
      byte = static_cast<char>(static_cast<unsigned char>(byte) |
                               (1U << (index % kBitsPerByte)));
    }
  }
  return bytes;
}

ChunkSet ChunkSet::FromBytes(std::string_view bytes, std::size_t size) {
  ChunkSet set(size);
  for (std::size_t index = 0; index < size; ++index) {
    const auto position = index / kBitsPerByte;
    if (position >= bytes.size()) {
      break;
    }
    const auto byte = static_cast<unsigned char>(bytes[position]);
    if ((byte >> (index % kBitsPerByte) & 1U) != 0) {
      set.Add(index);
    }
  }
  return set;
}

}  // namespace chalkwell::swarm
