// Copies are compared with their digests before they are kept, as far as those
// are known.
#include "daemon/direct/older_weights.hpp"

#include <set>
#include <utility>

namespace chalkwell::daemon::direct {
namespace {

/// Memory that an agent spends on pieces for others during a roll.
constexpr std::size_t kMostBytes = std::size_t{16} << 20;

}  // namespace

OlderWeights::OlderWeights() : pieces_(kMostBytes) {}

void OlderWeights::Start(std::uint64_t version,
                         std::optional<WeightsManifest> manifest,
                         swarm::ChunkSet staged) {
  manifest_ = std::move(manifest);
  pieces_.Start(version, std::move(staged));
}

void OlderWeights::Clear() {
  manifest_.reset();
  pieces_.Clear();
}

const WeightsManifest* OlderWeights::Manifest(std::uint64_t version) const {
  return manifest_ && manifest_->version_ == version ? &*manifest_ : nullptr;
}

bool OlderWeights::Holds(const PieceMessage& piece) const {
  return version() != 0 && piece.version_ == version() &&
         pieces_.available().Has(piece.piece_);
}

const std::string* OlderWeights::Copy(const PieceMessage& piece) const {
  return Holds(piece) ? pieces_.FindCopy(piece.piece_) : nullptr;
}

void OlderWeights::OnOverwritten(std::size_t piece,
                                 std::optional<std::string> bytes) {
  const bool spoilt =
      bytes && manifest_ && piece < manifest_->chunk_digests_.size() &&
      core::Digest::Sha256Of(*bytes) != manifest_->chunk_digests_[piece];
  if (!bytes || spoilt) {
    pieces_.Remove(piece);
    return;
  }
  pieces_.SaveCopy(piece, std::move(*bytes));
}

void OlderWeights::AddTo(HeldChunksMessage& held) const {
  if (version() == 0) {
    return;
  }
  held.older_version_ = version();
  held.older_bits_ = pieces_.available().ToBytes();
  held.has_older_manifest_ = manifest_.has_value();
}

bool OffersManifest(const HeldChunksMessage& held, std::uint64_t version) {
  return (held.has_manifest_ && held.version_ == version) ||
         (held.has_older_manifest_ && held.older_version_ == version);
}

swarm::ChunkSet OfferedPieces(const HeldChunksMessage& held,
                              std::uint64_t version, std::size_t size) {
  if (held.version_ == version) {
    return swarm::ChunkSet::FromBytes(held.bits_, size);
  }
  return held.older_version_ == version
             ? swarm::ChunkSet::FromBytes(held.older_bits_, size)
             : swarm::ChunkSet(size);
}

swarm::ChunkSet OfferedPieces(
    const std::map<core::InstanceId, PiecePeer>& peers, std::uint64_t version,
    std::size_t size) {
  swarm::ChunkSet offered(size);
  for (const auto& [id, peer] : peers) {
    const auto pieces = OfferedPieces(peer.held_, version, size);
    for (std::size_t piece = 0; piece < size; ++piece) {
      if (pieces.Has(piece)) {
        offered.Add(piece);
      }
    }
  }
  return offered;
}

std::optional<std::uint64_t> OfferedBelow(
    const std::map<core::InstanceId, PiecePeer>& peers, std::uint64_t version,
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
    if (size > 0 && OfferedPieces(peers, older, size).full()) {
      return older;
    }
  }
  return std::nullopt;
}

}  // namespace chalkwell::daemon::direct
