// Requests to peers are sent rarest chunk first. Origin fetches are assigned by
// rank; the next member in the order takes over when there is no progress.
#include "chalkwell/swarm/planner.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "chalkwell/core/digest.hpp"

namespace chalkwell::swarm {
Planner::Planner(SwarmMember self, PlannerSettings settings, std::uint64_t seed)
    : self_(std::move(self)), settings_(settings), random_(seed) {}

std::uint64_t Planner::origin_fetches(OriginFetchCause cause) const noexcept {
  return cause == OriginFetchCause::kAssigned ? assigned_origin_fetches_
                                              : takeover_origin_fetches_;
}

void Planner::Start(std::vector<bundle::Chunk> chunks, const ChunkSet& held,
                    core::TimePoint now) {
  chunks_ = std::move(chunks);
  held_ = held;
  available_ = held;
  locally_available_ = held;
  last_local_progress_ = now;
  available_since_.assign(chunks_.size(), now);
  skip_counts_.assign(chunks_.size(), 0);
  outstanding_.clear();
  origin_outstanding_ = 0;
  for (auto& [id, peer] : peers_) {
    peer.chunks_ = ChunkSet(chunks_.size());
    peer.outstanding_ = 0;
  }
  ClearRanks();
  last_progress_ = now;
}

void Planner::ClearRanks() {
  origin_ranks_.assign(chunks_.size(), std::nullopt);
  import_ranks_.assign(chunks_.size(), std::nullopt);
  first_in_order_.assign(chunks_.size(), std::nullopt);
}

void Planner::SetMembers(std::vector<SwarmMember> members) {
  if (members == members_) {
    return;
  }
  members_ = std::move(members);
  ClearRanks();
  for (const auto& member : members_) {
    if (member.id_ == self_.id_) {
      self_.degraded_ = member.degraded_;
    } else if (const auto peer = peers_.find(member.id_);
               peer != peers_.end()) {
      peer->second.member_.degraded_ = member.degraded_;
    }
  }
}

void Planner::OnAnnounced(const SwarmMember& peer, const ChunkSet& chunks,
                          core::TimePoint now) {
  auto& known = peers_[peer.id_];
  const bool degraded = known.member_.degraded_;
  known.member_ = peer;
  known.member_.degraded_ = degraded;
  known.chunks_ = chunks;
  for (std::size_t chunk = 0; chunk < chunks.size(); ++chunk) {
    if (chunks.Has(chunk)) {
      MarkAvailable(chunk, peer.domain_ == self_.domain_, now);
    }
  }
}

void Planner::OnPeerLost(const core::InstanceId& peer) {
  peers_.erase(peer);
  std::erase_if(outstanding_, [&](const auto& request) {
    return request.second.peer_ == peer;
  });
}

void Planner::FinishRequest(std::size_t chunk, bool succeeded,
                            core::TimePoint now) {
  const auto request = outstanding_.find(chunk);
  if (request == outstanding_.end()) {
    return;
  }
  if (!request->second.peer_) {
    --origin_outstanding_;
    last_progress_ = succeeded ? last_progress_ : now;
  } else if (const auto peer = peers_.find(*request->second.peer_);
             peer != peers_.end()) {
    --peer->second.outstanding_;
    peer->second.failures_ = succeeded ? 0 : peer->second.failures_ + 1;
    if (!succeeded) {
      peer->second.chunks_.Remove(chunk);
    }
    if (peer->second.failures_ >= settings_.max_failures_) {
      peer->second.backoff_until_ = now + settings_.failure_backoff_;
      peer->second.failures_ = 0;
    }
  }
  outstanding_.erase(request);
}

void Planner::OnChunkReceived(std::size_t chunk, core::TimePoint now) {
  FinishRequest(chunk, true, now);
  held_.Add(chunk);
  MarkAvailable(chunk, true, now);
}

void Planner::MarkAvailable(std::size_t chunk, bool local,
                            core::TimePoint now) {
  if (local && chunk < available_since_.size() &&
      locally_available_.Add(chunk)) {
    last_local_progress_ = now;
  }
  if (chunk < available_since_.size() && available_.Add(chunk)) {
    available_since_[chunk] = now;
    last_progress_ = now;
    CountSkipped(chunk);
  }
}

std::size_t Planner::OriginWindowEnd() const {
  std::size_t unavailable = 0;
  std::size_t chunk = 0;
  for (; chunk < chunks_.size(); ++chunk) {
    const bool skipped = skip_counts_[chunk] >= settings_.origin_window_;
    if (available_.Has(chunk) || skipped) {
      continue;
    }
    if (++unavailable > settings_.origin_window_) {
      break;
    }
  }
  return chunk;
}

void Planner::CountSkipped(std::size_t chunk) {
  const auto end = std::min(chunk, OriginWindowEnd());
  for (std::size_t earlier = 0; earlier < end; ++earlier) {
    skip_counts_[earlier] += available_.Has(earlier) ? 0 : 1;
  }
}

void Planner::OnChunkLost(std::size_t chunk) { held_.Remove(chunk); }

void Planner::OnRequestFailed(std::size_t chunk, core::TimePoint now) {
  FinishRequest(chunk, false, now);
}

std::vector<FetchRequest> Planner::ExpireRequests(core::TimePoint now) {
  std::vector<FetchRequest> expired;
  for (const auto& [chunk, request] : outstanding_) {
    if (now - request.sent_at_ >= settings_.chunk_timeout_) {
      expired.push_back({chunk, request.peer_});
    }
  }
  for (const auto& request : expired) {
    OnRequestFailed(request.chunk_, now);
  }
  return expired;
}

Planner::HolderCount Planner::CountHolders(std::size_t chunk) const {
  HolderCount count;
  for (const auto& [id, peer] : peers_) {
    if (peer.chunks_.Has(chunk)) {
      ++count.total_;
      count.local_ += peer.member_.domain_ == self_.domain_ ? 1 : 0;
      count.healthy_ += peer.member_.degraded_ ? 0 : 1;
    }
  }
  return count;
}

std::vector<std::size_t> Planner::MissingRarestFirst() {
  struct Candidate {
    HolderCount holders_;
    std::uint64_t tie_breaker_;
    std::size_t chunk_;
  };
  std::vector<Candidate> candidates;
  for (std::size_t chunk = 0; chunk < chunks_.size(); ++chunk) {
    if (!held_.Has(chunk) && !outstanding_.contains(chunk)) {
      const auto holders = CountHolders(chunk);
      // Chunks fetched from the origin follow the order of the origin window.
      const bool in_order = settings_.origin_window_ > 0 && holders.total_ == 0;
      candidates.push_back({holders, in_order ? chunk : random_(), chunk});
    }
  }
  std::ranges::sort(candidates, {}, [](const Candidate& candidate) {
    // Chunks that no local member holds come first: the other local members
    // wait for their import.
    return std::tuple(candidate.holders_.local_, candidate.holders_.total_,
                      candidate.tie_breaker_);
  });
  std::vector<std::size_t> missing;
  missing.reserve(candidates.size());
  for (const auto& candidate : candidates) {
    missing.push_back(candidate.chunk_);
  }
  return missing;
}

Planner::Peer* Planner::BestPeerFor(std::size_t chunk, bool degraded,
                                    core::TimePoint now) {
  Peer* best = nullptr;
  const auto cost = [this](const Peer& peer) {
    const bool remote = peer.member_.domain_ != self_.domain_;
    return std::pair(remote, peer.outstanding_);
  };
  const bool may_import = MayImport(chunk, now);
  for (auto& [id, peer] : peers_) {
    const bool local = peer.member_.domain_ == self_.domain_;
    const bool usable = peer.chunks_.Has(chunk) && (local || may_import) &&
                        peer.member_.degraded_ == degraded &&
                        peer.outstanding_ < settings_.max_requests_per_peer_ &&
                        now >= peer.backoff_until_;
    if (usable && (best == nullptr || cost(peer) < cost(*best))) {
      best = &peer;
    }
  }
  return best;
}

bool Planner::MayImport(std::size_t chunk, core::TimePoint now) const {
  if (settings_.import_takeover_timeout_ == core::Duration{}) {
    return true;
  }
  const auto ahead = static_cast<int>(ImportRank(chunk));
  const auto available_for = now - available_since_[chunk];
  const auto idle = std::min(available_for, now - last_local_progress_);
  return idle >= settings_.import_takeover_timeout_ * ahead ||
         available_for >= settings_.import_max_wait_ * ahead;
}

std::size_t Planner::Rank(std::size_t chunk, bool local_only) const {
  const auto item = chunks_[chunk].digest_.ToHex();
  const auto key = [&](const SwarmMember& member) {
    return std::pair(!member.degraded_,
                     core::RendezvousScore(item, member.id_.value()));
  };
  const auto own = key(self_);
  return static_cast<std::size_t>(
      std::ranges::count_if(members_, [&](const SwarmMember& member) {
        return (!local_only || member.domain_ == self_.domain_) &&
               key(member) > own;
      }));
}

std::size_t Planner::OriginRank(std::size_t chunk) const {
  auto& rank = origin_ranks_[chunk];
  if (!rank) {
    rank = Rank(chunk, false);
  }
  return *rank;
}

const core::InstanceId& Planner::FirstInOrder(std::size_t chunk) const {
  auto& first = first_in_order_[chunk];
  if (!first) {
    const auto item = chunks_[chunk].digest_.ToHex();
    first = std::ranges::max(members_, {}, [&](const SwarmMember& member) {
              return std::pair(!member.degraded_,
                               core::RendezvousScore(item, member.id_.value()));
            }).id_;
  }
  return *first;
}

std::size_t Planner::ImportRank(std::size_t chunk) const {
  auto& rank = import_ranks_[chunk];
  if (!rank) {
    rank = Rank(chunk, true);
  }
  return *rank;
}

bool Planner::MembersAheadPresumedLost(std::size_t chunk,
                                       std::size_t ahead) const {
  if (settings_.origin_window_ == 0 ||
      skip_counts_[chunk] < settings_.origin_window_ * ahead) {
    return false;
  }
  // A member that has earlier chunks to fetch from the origin is busy, not
  // lost.
  const auto first = FirstInOrder(chunk);
  for (std::size_t earlier = 0; earlier < chunk; ++earlier) {
    if (!available_.Has(earlier) && FirstInOrder(earlier) == first) {
      return false;
    }
  }
  return true;
}

std::optional<OriginFetchCause> Planner::MayFetchFromOrigin(
    std::size_t chunk, core::TimePoint now) const {
  const auto rank = OriginRank(chunk);
  if (rank < settings_.origin_copies_) {
    return OriginFetchCause::kAssigned;
  }
  const auto ahead = rank - settings_.origin_copies_ + 1;
  if (MembersAheadPresumedLost(chunk, ahead) &&
      CountHolders(chunk).healthy_ == 0) {
    return OriginFetchCause::kTakeover;
  }
  const auto idle = now - last_progress_;
  if (CountHolders(chunk).healthy_ == 0 &&
      idle >= settings_.origin_takeover_timeout_ * static_cast<int>(ahead)) {
    return OriginFetchCause::kTakeover;
  }
  return std::nullopt;
}

void Planner::AddRequest(std::size_t chunk, Peer* peer, core::TimePoint now,
                         std::vector<FetchRequest>& requests) {
  FetchRequest request{.chunk_ = chunk, .peer_ = std::nullopt};
  if (peer != nullptr) {
    request.peer_ = peer->member_.id_;
    ++peer->outstanding_;
  } else {
    ++origin_outstanding_;
  }
  outstanding_[chunk] = {request.peer_, now};
  requests.push_back(std::move(request));
}

std::vector<FetchRequest> Planner::Next(core::TimePoint now) {
  std::vector<FetchRequest> requests;
  const auto window_end =
      settings_.origin_window_ == 0 ? chunks_.size() : OriginWindowEnd();
  for (const auto chunk : MissingRarestFirst()) {
    const auto from_peers = outstanding_.size() - origin_outstanding_;
    if (from_peers < settings_.max_peer_requests_) {
      if (auto* peer = BestPeerFor(chunk, false, now); peer != nullptr) {
        AddRequest(chunk, peer, now, requests);
        continue;
      }
      auto* degraded = MayUseDegradedPeers(chunk, now)
                           ? BestPeerFor(chunk, true, now)
                           : nullptr;
      if (degraded != nullptr) {
        AddRequest(chunk, degraded, now, requests);
        continue;
      }
    }
    if (!origin_available_ || chunk >= window_end ||
        origin_outstanding_ >= settings_.max_origin_requests_) {
      continue;
    }
    const auto cause = MayFetchFromOrigin(chunk, now);
    if (cause && CountHolders(chunk).healthy_ == 0) {
      ++(*cause == OriginFetchCause::kAssigned ? assigned_origin_fetches_
                                               : takeover_origin_fetches_);
      AddRequest(chunk, nullptr, now, requests);
    }
  }
  return requests;
}

bool Planner::MayUseDegradedPeers(std::size_t chunk,
                                  core::TimePoint now) const {
  return CountHolders(chunk).healthy_ == 0 &&
         now - available_since_[chunk] >= settings_.origin_takeover_timeout_;
}

}  // namespace chalkwell::swarm
