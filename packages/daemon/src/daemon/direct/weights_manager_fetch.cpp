// Fetches the manifest and the missing chunks of a version from peers or the
// origin.
#include <algorithm>
#include <utility>

#include "daemon/direct/weights_manager.hpp"

namespace chalkwell::daemon::direct {
namespace {

using std::chrono::milliseconds;

}  // namespace

std::vector<swarm::SwarmMember> WeightsManager::MembersLacking() const {
  return exchange_.MembersLacking(fetch_target_.version_,
                                  window_.LinkDegraded(process_.loop().Now()));
}

std::size_t WeightsManager::ManifestRank() const {
  const auto item = model_ + ":" + std::to_string(fetch_target_.version_);
  const auto own = core::RendezvousScore(item, exchange_.self().value());
  const auto members = MembersLacking();
  // Ranked within the local failure domain, so that in each domain one member
  // requests the manifest from the origin without waiting for other domains:
  // holders announce to neighbours only.
  return static_cast<std::size_t>(
      std::ranges::count_if(members, [&](const swarm::SwarmMember& member) {
        return member.domain_ == process_.domain() &&
               core::RendezvousScore(item, member.id_.value()) > own;
      }));
}

std::vector<swarm::SwarmMember> WeightsManager::ManifestHolders() const {
  std::vector<swarm::SwarmMember> holders;
  for (const auto& [id, peer] : exchange_.peers()) {
    const bool any = fetch_target_.version_ == 0 && peer.held_.has_manifest_;
    const bool has =
        peer.held_.model_ == model_ &&
        (any || OffersManifest(peer.held_, fetch_target_.version_));
    if (has) {
      holders.push_back({id, peer.member_.domain_});
    }
  }
  return holders;
}

void WeightsManager::RequestManifest() {
  const auto now = process_.loop().Now();
  std::optional<std::size_t> rank;
  if (origin_ && exchange_.knows_agents() && origin_backoff_.IsReady(now) &&
      !fetching_older()) {
    rank = ManifestRank();
  }
  const auto source = manifest_search_.Next(ManifestHolders(), rank, now);
  if (!source) {
    return;
  }
  if (source->peer_) {
    RequestPeerManifest(*source->peer_);
  } else {
    RequestOriginManifest();
  }
}

void WeightsManager::RequestPeerManifest(const core::InstanceId& peer) {
  exchange_.RequestManifest(
      peer, {model_, fetch_target_.version_, 0},
      [this,
       fetch_id = fetch_id_](const std::optional<WeightsManifest>& manifest) {
        if (IsCurrentFetch(fetch_id)) {
          OnManifest(manifest);
        }
      });
}

void WeightsManager::FetchFromPeer(const swarm::FetchRequest& request) {
  const ChunkRequest message{model_, fetch_target_.version_,
                             static_cast<std::uint32_t>(request.chunk_)};
  exchange_.RequestChunk(
      *request.peer_, message,
      [this, fetch_id = fetch_id_, chunk = request.chunk_,
       peer = *request.peer_](const std::optional<ReceivedChunk>& received) {
        if (!IsCurrentFetch(fetch_id)) {
          return;
        }
        if (!received) {
          OnChunkFetched(chunk, std::nullopt, peer.value());
          return;
        }
        window_.OnChunkReceived(received->transfer_, received->bytes_.size(),
                                process_.loop().Now());
        OnChunkFetched(chunk, received->bytes_, peer.value());
      });
}

void WeightsManager::OnHeld(const membership::Member& sender,
                            const HeldChunksMessage& held) {
  const auto id = exchange_.OnHeld(sender, held, process_.loop().Now());
  // The sender lacks chunks that are held here and may not be a neighbour.
  const bool lacks =
      held.serving_ < serving_ && (held_.count() > 0 || older_.version() != 0);
  if (lacks && exchange_.MayAnnounceTo(id, process_.loop().Now())) {
    exchange_.AnnounceTo(id, MakeHeldMessage(process_.loop().Now()));
  }
  const bool relevant = phase_ == Phase::kFetching && manifest_ &&
                        held.model_ == model_ &&
                        (held.version_ == fetch_target_.version_ ||
                         held.older_version_ == fetch_target_.version_);
  if (relevant) {
    const auto known_before = planner_.available_count();
    planner_.OnAnnounced(
        {id, sender.domain_},
        OfferedChunks(held, fetch_target_.version_, held_.size()),
        process_.loop().Now());
    if (planner_.available_count() > known_before) {
      // A peer fetched a chunk that no member held, so the origin is available
      // again.
      origin_backoff_.OnSuccess();
    }
  }
}

void WeightsManager::RemoveUnresponsivePeers(core::TimePoint now) {
  for (const auto& lost : exchange_.RemoveUnresponsive(now)) {
    planner_.OnPeerLost(lost);
  }
}

void WeightsManager::RequestOriginManifest() {
  process_.metrics().Count("origin_manifests_total", {});
  client_.fetch_manifest_(*origin_, model_, fetch_target_.version_,
                          [this, fetch_id = fetch_id_](
                              const std::optional<WeightsManifest>& manifest) {
                            OnOriginResult(manifest.has_value(), "manifest");
                            if (IsCurrentFetch(fetch_id)) {
                              OnManifest(manifest);
                            }
                          });
}

void WeightsManager::OnOriginResult(bool succeeded, const std::string& what) {
  if (succeeded) {
    origin_backoff_.OnSuccess();
    return;
  }
  const auto pause = origin_backoff_.OnFailure(process_.loop().Now());
  process_.log().Write(
      core::EventNumber::kChunkFailed,
      {{"what", what},
       {"source", "origin"},
       {"again_in_ms",
        std::to_string(
            std::chrono::duration_cast<milliseconds>(pause).count())}});
}

void WeightsManager::OnManifest(
    const std::optional<WeightsManifest>& manifest) {
  if (manifest) {
    ApplyManifest(*manifest);
  } else {
    manifest_search_.OnRequestFailed();
  }
}

void WeightsManager::ApplyManifest(const WeightsManifest& manifest) {
  if (phase_ != Phase::kManifest || manifest.model_ != model_ ||
      manifest.chunk_digests_.empty() ||
      (fetch_target_.version_ != 0 &&
       manifest.version_ != fetch_target_.version_)) {
    return;
  }
  if (fetch_target_.version_ == 0) {
    target_ = {model_, manifest.version_};
    fetch_target_ = target_;
    version_bound_.OnVersionPublished(manifest.version_, process_.loop().Now());
  }
  manifest_ = manifest;
  held_ = swarm::ChunkSet(manifest.chunk_digests_.size());
  verification_.Reset(held_.size());
  SetPhase(Phase::kFetching);
  announce_due_ = true;
  if (serving_ == 0 || staging_guard_.predecessor_unknown()) {
    // Chunks staged before a restart of the engine or of this process may still
    // be there.
    StartScan();
  } else {
    StartPlanner();
  }
}

void WeightsManager::StartPlanner() {
  std::vector<bundle::Chunk> chunks;
  for (const auto& digest : manifest_->chunk_digests_) {
    // The planner does not use the size, which the manifest does not state.
    chunks.push_back({digest, 1});
  }
  const auto now = process_.loop().Now();
  planner_.Start(std::move(chunks), held_, now);
  window_.Start();
  for (const auto& [id, peer] : exchange_.peers()) {
    planner_.OnAnnounced(
        {id, peer.member_.domain_},
        OfferedChunks(peer.held_, fetch_target_.version_, held_.size()), now);
  }
  announce_due_ = true;
  RequestChunks();
}

void WeightsManager::RequestChunks() {
  if (scanning_) {
    ReadStagedChunks();
    return;
  }
  const auto now = process_.loop().Now();
  for (const auto& expired : planner_.ExpireRequests(now)) {
    exchange_.CancelChunk(expired.chunk_);
    process_.log().Write(
        core::EventNumber::kChunkFailed,
        {{"piece", std::to_string(expired.chunk_)},
         {"source", expired.peer_ ? expired.peer_->value() : "origin"},
         {"reason", "timeout"}});
  }
  planner_.SetMembers(MembersLacking());
  planner_.SetMaxPeerRequests(window_.size());
  // Without the list of agents, each agent would fetch every chunk from the
  // origin.
  planner_.SetOriginAvailable(origin_backoff_.IsReady(now) &&
                              exchange_.knows_agents() && !fetching_older());
  if (staging_guard_.MayWrite(fetch_target_.version_)) {
    for (const auto& request : planner_.Next(now)) {
      FetchChunk(request);
    }
  }
  if (held_.full()) {
    // Operators' tools read these fields: origin fetches that were assigned to
    // this agent, and those that it took over.
    process_.log().Write(
        core::EventNumber::kFetchFinished,
        {{"version", std::to_string(fetch_target_.version_)},
         {"elected_draws", std::to_string(planner_.origin_fetches(
                               swarm::OriginFetchCause::kAssigned))},
         {"silence_draws", std::to_string(planner_.origin_fetches(
                               swarm::OriginFetchCause::kTakeover))}});
    rollout_slots_.StartRollout(fetch_target_.version_, now);
    SetPhase(Phase::kStaged);
  }
}

void WeightsManager::FetchChunk(const swarm::FetchRequest& request) {
  if (request.peer_) {
    FetchFromPeer(request);
  } else {
    FetchFromOrigin(request.chunk_);
  }
}

void WeightsManager::FetchFromOrigin(std::size_t chunk) {
  if (!origin_) {
    planner_.OnRequestFailed(chunk, process_.loop().Now());
    return;
  }
  // Logged when the request is sent.
  process_.log().Write(core::EventNumber::kOriginFetchStarted,
                       {{"piece", std::to_string(chunk)}});
  process_.metrics().Count("origin_pieces_total", {});
  client_.fetch_chunk_(*origin_, model_, fetch_target_.version_, chunk,
                       [this, fetch_id = fetch_id_,
                        chunk](const std::optional<std::string>& bytes) {
                         OnOriginResult(bytes.has_value(), "piece");
                         if (IsCurrentFetch(fetch_id)) {
                           origin_chunks_.insert(chunk);
                           OnChunkFetched(chunk, bytes, "origin");
                         }
                       });
}

void WeightsManager::OnChunkFetched(std::size_t chunk,
                                    const std::optional<std::string>& bytes,
                                    const std::string& source) {
  const auto now = process_.loop().Now();
  const bool good = bytes && core::Digest::Sha256Of(*bytes) ==
                                 manifest_->chunk_digests_.at(chunk);
  if (!good) {
    planner_.OnRequestFailed(chunk, now);
    process_.log().Write(
        bytes ? core::EventNumber::kChunkCorrupt
              : core::EventNumber::kChunkFailed,
        {{"piece", std::to_string(chunk)}, {"source", source}});
    return;
  }
  chunk_bytes_ = bytes->size();
  if (!held_.Has(chunk)) {
    StageChunk(chunk, *bytes);
  }
}

}  // namespace chalkwell::daemon::direct
