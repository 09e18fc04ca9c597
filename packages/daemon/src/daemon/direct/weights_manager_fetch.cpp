// What is missing of a version, from peers or the source.
#include <algorithm>
#include <utility>

#include "daemon/direct/weights_manager.hpp"

namespace chalkwell::daemon::direct {
namespace {

using std::chrono::milliseconds;

}  // namespace

std::vector<swarm::SwarmMember> WeightsKeeper::Lacking() const {
  return peers_.Lacking(goal_.version_,
                        window_.LinkDegraded(process_.loop().Now()));
}

std::size_t WeightsKeeper::ManifestRank() const {
  const auto item = model_ + ":" + std::to_string(goal_.version_);
  const auto own = core::RendezvousScore(item, peers_.self().value());
  const auto members = Lacking();
  // One of each failure domain asks at once: who has it is announced to
  // neighbours only.
  return static_cast<std::size_t>(
      std::ranges::count_if(members, [&](const swarm::SwarmMember& member) {
        return member.domain_ == process_.domain() &&
               core::RendezvousScore(item, member.id_.value()) > own;
      }));
}

std::vector<swarm::SwarmMember> WeightsKeeper::ManifestHolders() const {
  std::vector<swarm::SwarmMember> holders;
  for (const auto& [id, peer] : peers_.peers()) {
    const bool any = goal_.version_ == 0 && peer.held_.has_manifest_;
    const bool has = peer.held_.model_ == model_ &&
                     (any || OffersManifest(peer.held_, goal_.version_));
    if (has) {
      holders.push_back({id, peer.member_.domain_});
    }
  }
  return holders;
}

void WeightsKeeper::AskManifest() {
  const auto now = process_.loop().Now();
  std::optional<std::size_t> rank;
  if (origin_ && peers_.knows_agents() && source_.IsReady(now) &&
      !older_first()) {
    rank = ManifestRank();
  }
  const auto source = search_.Next(ManifestHolders(), rank, now);
  if (!source) {
    return;
  }
  if (source->peer_) {
    AskPeerManifest(*source->peer_);
  } else {
    AskOriginManifest();
  }
}

void WeightsKeeper::AskPeerManifest(const core::InstanceId& peer) {
  peers_.AskManifest(
      peer, {model_, goal_.version_, 0},
      [this, job = job_](const std::optional<WeightsManifest>& manifest) {
        if (Current(job)) {
          OnManifest(manifest);
        }
      });
}

void WeightsKeeper::FetchFromPeer(const swarm::FetchRequest& order) {
  const PieceMessage ask{model_, goal_.version_,
                         static_cast<std::uint32_t>(order.chunk_)};
  peers_.AskPiece(
      *order.peer_, ask,
      [this, job = job_, piece = order.chunk_,
       peer = *order.peer_](const std::optional<ReceivedPiece>& received) {
        if (!Current(job)) {
          return;
        }
        if (!received) {
          OnPiece(piece, std::nullopt, peer.value());
          return;
        }
        window_.OnChunkReceived(received->transfer_, received->bytes_.size(),
                                process_.loop().Now());
        OnPiece(piece, received->bytes_, peer.value());
      });
}

void WeightsKeeper::OnHeld(const membership::Member& sender,
                           const HeldChunksMessage& held) {
  const auto id = peers_.OnHeld(sender, held, process_.loop().Now());
  // It lacks what is held here, and may be no neighbour.
  const bool lacks =
      held.serving_ < serving_ && (held_.count() > 0 || older_.version() != 0);
  if (lacks && peers_.MayTell(id, process_.loop().Now())) {
    peers_.Tell(id, Held(process_.loop().Now()));
  }
  const bool wanted = phase_ == Phase::kFetching && manifest_ &&
                      held.model_ == model_ &&
                      (held.version_ == goal_.version_ ||
                       held.older_version_ == goal_.version_);
  if (wanted) {
    const auto seen = planner_.available_count();
    planner_.OnAnnounced({id, sender.domain_},
                         OfferedPieces(held, goal_.version_, held_.size()),
                         process_.loop().Now());
    if (planner_.available_count() > seen) {
      // Someone drew what nobody had: the source answers again.
      source_.OnSuccess();
    }
  }
}

void WeightsKeeper::ForgetSilentPeers(core::TimePoint now) {
  for (const auto& lost : peers_.TakeSilent(now)) {
    planner_.OnPeerLost(lost);
  }
}

void WeightsKeeper::AskOriginManifest() {
  process_.metrics().Count("origin_manifests_total", {});
  client_.fetch_manifest_(
      *origin_, model_, goal_.version_,
      [this, job = job_](const std::optional<WeightsManifest>& manifest) {
        OnSource(manifest.has_value(), "manifest");
        if (Current(job)) {
          OnManifest(manifest);
        }
      });
}

void WeightsKeeper::OnSource(bool answered, const std::string& what) {
  if (answered) {
    source_.OnSuccess();
    return;
  }
  const auto pause = source_.OnFailure(process_.loop().Now());
  process_.log().Write(
      core::EventNumber::kChunkFailed,
      {{"what", what},
       {"source", "origin"},
       {"again_in_ms",
        std::to_string(
            std::chrono::duration_cast<milliseconds>(pause).count())}});
}

void WeightsKeeper::OnManifest(const std::optional<WeightsManifest>& manifest) {
  if (manifest) {
    TakeManifest(*manifest);
  } else {
    search_.OnRequestFailed();
  }
}

void WeightsKeeper::TakeManifest(const WeightsManifest& manifest) {
  if (phase_ != Phase::kManifest || manifest.model_ != model_ ||
      manifest.chunk_digests_.empty() ||
      (goal_.version_ != 0 && manifest.version_ != goal_.version_)) {
    return;
  }
  if (goal_.version_ == 0) {
    wanted_ = {model_, manifest.version_};
    goal_ = wanted_;
    named_.OnVersionPublished(manifest.version_, process_.loop().Now());
  }
  manifest_ = manifest;
  held_ = swarm::ChunkSet(manifest.chunk_digests_.size());
  SetPhase(Phase::kFetching);
  announce_due_ = true;
  if (serving_ == 0) {
    // What was staged before a restart may still be there.
    staging_ = 1;
    ReadStaged(0);
  } else {
    StartPlanner();
  }
}

void WeightsKeeper::StartPlanner() {
  std::vector<bundle::Chunk> chunks;
  for (const auto& digest : manifest_->chunk_digests_) {
    chunks.push_back({digest, 1});
  }
  const auto now = process_.loop().Now();
  planner_.Start(std::move(chunks), held_, now);
  window_.Start();
  for (const auto& [id, peer] : peers_.peers()) {
    planner_.OnAnnounced(
        {id, peer.member_.domain_},
        OfferedPieces(peer.held_, goal_.version_, held_.size()), now);
  }
  announce_due_ = true;
  Pump();
}

void WeightsKeeper::Pump() {
  if (staging_ > 0 && !planner_.outstanding() && held_.count() == 0) {
    return;
  }
  const auto now = process_.loop().Now();
  for (const auto& late : planner_.ExpireRequests(now)) {
    peers_.CancelPiece(late.chunk_);
    process_.log().Write(
        core::EventNumber::kChunkFailed,
        {{"piece", std::to_string(late.chunk_)},
         {"source", late.peer_ ? late.peer_->value() : "origin"},
         {"reason", "timeout"}});
  }
  planner_.SetMembers(Lacking());
  planner_.SetMaxPeerRequests(window_.size());
  // Not knowing the others, each would draw everything.
  planner_.SetOriginAvailable(source_.IsReady(now) && peers_.knows_agents() &&
                              !older_first());
  for (const auto& order : planner_.Next(now)) {
    Fetch(order);
  }
  if (held_.full()) {
    process_.log().Write(
        core::EventNumber::kFetchFinished,
        {{"version", std::to_string(goal_.version_)},
         {"elected_draws", std::to_string(planner_.origin_fetches(
                               swarm::OriginFetchCause::kAssigned))},
         {"silence_draws", std::to_string(planner_.origin_fetches(
                               swarm::OriginFetchCause::kTakeover))}});
    turns_.StartRollout(goal_.version_, now);
    SetPhase(Phase::kStaged);
  }
}

void WeightsKeeper::Fetch(const swarm::FetchRequest& order) {
  if (order.peer_) {
    FetchFromPeer(order);
  } else {
    FetchFromOrigin(order.chunk_);
  }
}

void WeightsKeeper::FetchFromOrigin(std::size_t piece) {
  if (!origin_) {
    planner_.OnRequestFailed(piece, process_.loop().Now());
    return;
  }
  process_.log().Write(core::EventNumber::kOriginDrawn,
                       {{"piece", std::to_string(piece)}});
  process_.metrics().Count("origin_pieces_total", {});
  client_.fetch_chunk_(
      *origin_, model_, goal_.version_, piece,
      [this, job = job_, piece](const std::optional<std::string>& bytes) {
        OnSource(bytes.has_value(), "piece");
        if (Current(job)) {
          drawn_.insert(piece);
          OnPiece(piece, bytes, "origin");
        }
      });
}

void WeightsKeeper::OnPiece(std::size_t piece,
                            const std::optional<std::string>& bytes,
                            const std::string& source) {
  const auto now = process_.loop().Now();
  const bool good = bytes && core::Digest::Sha256Of(*bytes) ==
                                 manifest_->chunk_digests_.at(piece);
  if (!good) {
    planner_.OnRequestFailed(piece, now);
    process_.log().Write(
        bytes ? core::EventNumber::kChunkCorrupt
              : core::EventNumber::kChunkFailed,
        {{"piece", std::to_string(piece)}, {"source", source}});
    return;
  }
  piece_bytes_ = bytes->size();
  if (!held_.Has(piece)) {
    Stage(piece, *bytes);
  }
}

}  // namespace chalkwell::daemon::direct
