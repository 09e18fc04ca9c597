// Copies are verified before they are saved if the version's digests are known.
#include "daemon/direct/older_weights.hpp"

#include <set>
#include <utility>

namespace chalkwell::daemon::direct {
namespace {

/// Maximum memory for copies of older chunks that an agent keeps for peers
/// during a rollout.
constexpr std::size_t kMaxCopyBytes = std::size_t{16} << 20;

}  // namespace

OlderWeights::OlderWeights() : chunks_(kMaxCopyBytes) {}

void OlderWeights::Start(std::uint64_t version,
                         std::optional<WeightsManifest> manifest,
                         swarm::ChunkSet staged) {
  manifest_ = std::move(manifest);
  chunks_.Start(version, std::move(staged));
}

void OlderWeights::Clear() {
  manifest_.reset();
  chunks_.Clear();
}

const WeightsManifest* OlderWeights::Manifest(std::uint64_t version) const {
  return manifest_ && manifest_->version_ == version ? &*manifest_ : nullptr;
}

bool OlderWeights::Holds(const ChunkRequest& chunk) const {
  return version() != 0 && chunk.version_ == version() &&
         chunks_.available().Has(chunk.chunk_);
}

const std::string* OlderWeights::FindCopy(const ChunkRequest& chunk) const {
  return Holds(chunk) ? chunks_.FindCopy(chunk.chunk_) : nullptr;
}

void OlderWeights::OnOverwritten(std::size_t chunk,
                                 std::optional<std::string> bytes) {
  const bool corrupt =
      bytes && manifest_ && chunk < manifest_->chunk_digests_.size() &&
      core::Digest::Sha256Of(*bytes) != manifest_->chunk_digests_[chunk];
  if (!bytes || corrupt) {
    chunks_.Remove(chunk);
    return;
  }
  chunks_.SaveCopy(chunk, std::move(*bytes));
}

void OlderWeights::AddTo(HeldChunksMessage& held) const {
  if (version() == 0) {
    return;
  }
  held.older_version_ = version();
  held.older_bits_ = chunks_.available().ToBytes();
  held.has_older_manifest_ = manifest_.has_value();
}

bool OffersManifest(const HeldChunksMessage& held, std::uint64_t version) {
  return (held.has_manifest_ && held.version_ == version) ||
         (held.has_older_manifest_ && held.older_version_ == version);
}

swarm::ChunkSet OfferedChunks(const HeldChunksMessage& held,
                              std::uint64_t version, std::size_t size) {
  if (held.version_ == version) {
    return swarm::ChunkSet::FromBytes(held.bits_, size);
  }
  return held.older_version_ == version
             ? swarm::ChunkSet::FromBytes(held.older_bits_, size)
             : swarm::ChunkSet(size);
}

swarm::ChunkSet OfferedChunks(
    const std::map<core::InstanceId, ChunkPeer>& peers, std::uint64_t version,
    std::size_t size) {
  swarm::ChunkSet offered(size);
  for (const auto& [id, peer] : peers) {
    const auto chunks = OfferedChunks(peer.held_, version, size);
    for (std::size_t chunk = 0; chunk < size; ++chunk) {
      if (chunks.Has(chunk)) {
        offered.Add(chunk);
      }
    }
  }
  return offered;
}

std::optional<std::uint64_t> NewestOfferedBelow(
    const std::map<core::InstanceId, ChunkPeer>& peers, std::uint64_t version,
    std::size_t size) {
  std::set<std::uint64_t, std::greater<>> versions;
  for (const auto& [id, peer] : peers) {
    for (const auto held : {peer.held_.version_, peer.held_.older_version_}) {
      const bool older = held != 0 && held < version;
      if (older && OffersManifest(peer.held_, held)) {
        versions.insert(held);
      }
    }
  }
  for (const auto older : versions) {
    if (size > 0 && OfferedChunks(peers, older, size).full()) {
      return older;
    }
  }
  return std::nullopt;
}

}  // namespace chalkwell::daemon::direct
