// Rarest first among peers; origin draws by rank, then by silence.
#include "chalkwell/swarm/planner.hpp"

#include <algorithm>
#include <tuple>
#include <utility>

#include "chalkwell/core/digest.hpp"

namespace chalkwell::swarm {
Planner::Planner(SwarmMember self, PlannerSettings settings, std::uint64_t seed)
    : self_(std::move(self)), settings_(settings), random_(seed) {}

std::uint64_t Planner::origin_fetches(OriginFetchCause cause) const noexcept {
  return cause == OriginFetchCause::kAssigned ? elected_draws_ : silence_draws_;
}

void Planner::Start(std::vector<bundle::Chunk> chunks, const ChunkSet& held,
                    core::TimePoint now) {
  chunks_ = std::move(chunks);
  held_ = held;
  seen_ = held;
  near_seen_ = held;
  near_progress_ = now;
  seen_at_.assign(chunks_.size(), now);
  overtaken_.assign(chunks_.size(), 0);
  outstanding_.clear();
  origin_outstanding_ = 0;
  for (auto& [id, peer] : peers_) {
    peer.chunks_ = ChunkSet(chunks_.size());
    peer.outstanding_ = 0;
  }
  ForgetRanks();
  last_progress_ = now;
}

void Planner::ForgetRanks() {
  ranks_.assign(chunks_.size(), std::nullopt);
  near_ranks_.assign(chunks_.size(), std::nullopt);
  drawers_.assign(chunks_.size(), std::nullopt);
}

void Planner::SetMembers(std::vector<SwarmMember> members) {
  if (members == members_) {
    return;
  }
  members_ = std::move(members);
  ForgetRanks();
  for (const auto& member : members_) {
    if (member.id_ == self_.id_) {
      self_.slow_ = member.slow_;
    } else if (const auto peer = peers_.find(member.id_);
               peer != peers_.end()) {
      peer->second.member_.slow_ = member.slow_;
    }
  }
}

void Planner::OnAnnounced(const SwarmMember& peer, const ChunkSet& chunks,
                          core::TimePoint now) {
  auto& known = peers_[peer.id_];
  const bool slow = known.member_.slow_;
  known.member_ = peer;
  known.member_.slow_ = slow;
  known.chunks_ = chunks;
  for (std::size_t chunk = 0; chunk < chunks.size(); ++chunk) {
    if (chunks.Has(chunk)) {
      MarkSeen(chunk, peer.domain_ == self_.domain_, now);
    }
  }
}

void Planner::OnPeerLost(const core::InstanceId& peer) {
  peers_.erase(peer);
  std::erase_if(outstanding_, [&](const auto& request) {
    return request.second.peer_ == peer;
  });
}

void Planner::TakeOutstanding(std::size_t chunk, bool good,
                              core::TimePoint now) {
  const auto request = outstanding_.find(chunk);
  if (request == outstanding_.end()) {
    return;
  }
  if (!request->second.peer_) {
    --origin_outstanding_;
    last_progress_ = good ? last_progress_ : now;
  } else if (const auto peer = peers_.find(*request->second.peer_);
             peer != peers_.end()) {
    --peer->second.outstanding_;
    peer->second.failures_ = good ? 0 : peer->second.failures_ + 1;
    if (!good) {
      peer->second.chunks_.Remove(chunk);
    }
    if (peer->second.failures_ >= settings_.max_failures_) {
      peer->second.rests_until_ = now + settings_.failure_rest_;
      peer->second.failures_ = 0;
    }
  }
  outstanding_.erase(request);
}

void Planner::OnChunkReceived(std::size_t chunk, core::TimePoint now) {
  TakeOutstanding(chunk, true, now);
  held_.Add(chunk);
  MarkSeen(chunk, true, now);
}

void Planner::MarkSeen(std::size_t chunk, bool near, core::TimePoint now) {
  if (near && chunk < seen_at_.size() && near_seen_.Add(chunk)) {
    near_progress_ = now;
  }
  if (chunk < seen_at_.size() && seen_.Add(chunk)) {
    seen_at_[chunk] = now;
    last_progress_ = now;
    CountOvertaken(chunk);
  }
}

std::size_t Planner::WindowEnd() const {
  std::size_t open = 0;
  std::size_t chunk = 0;
  for (; chunk < chunks_.size(); ++chunk) {
    const bool lost = overtaken_[chunk] >= settings_.origin_window_;
    if (seen_.Has(chunk) || lost) {
      continue;
    }
    if (++open > settings_.origin_window_) {
      break;
    }
  }
  return chunk;
}

void Planner::CountOvertaken(std::size_t chunk) {
  const auto end = std::min(chunk, WindowEnd());
  for (std::size_t ahead = 0; ahead < end; ++ahead) {
    overtaken_[ahead] += seen_.Has(ahead) ? 0 : 1;
  }
}

void Planner::OnChunkLost(std::size_t chunk) { held_.Remove(chunk); }

void Planner::OnRequestFailed(std::size_t chunk, core::TimePoint now) {
  TakeOutstanding(chunk, false, now);
}

std::vector<FetchRequest> Planner::ExpireRequests(core::TimePoint now) {
  std::vector<FetchRequest> late;
  for (const auto& [chunk, request] : outstanding_) {
    if (now - request.since_ >= settings_.chunk_timeout_) {
      late.push_back({chunk, request.peer_});
    }
  }
  for (const auto& order : late) {
    OnRequestFailed(order.chunk_, now);
  }
  return late;
}

Planner::HolderCount Planner::Holders(std::size_t chunk) const {
  HolderCount count;
  for (const auto& [id, peer] : peers_) {
    if (peer.chunks_.Has(chunk)) {
      ++count.all_;
      count.near_ += peer.member_.domain_ == self_.domain_ ? 1 : 0;
      count.quick_ += peer.member_.slow_ ? 0 : 1;
    }
  }
  return count;
}

std::vector<std::size_t> Planner::MissingRarestFirst() {
  struct Ranked {
    HolderCount holders_;
    std::uint64_t tie_;
    std::size_t chunk_;
  };
  std::vector<Ranked> ranked;
  for (std::size_t chunk = 0; chunk < chunks_.size(); ++chunk) {
    if (!held_.Has(chunk) && !outstanding_.contains(chunk)) {
      const auto holders = Holders(chunk);
      // What is drawn goes by the order that the window has.
      const bool in_order = settings_.origin_window_ > 0 && holders.all_ == 0;
      ranked.push_back({holders, in_order ? chunk : random_(), chunk});
    }
  }
  std::ranges::sort(ranked, {}, [](const Ranked& entry) {
    // What no neighbour holds comes first: they wait for its import.
    return std::tuple(entry.holders_.near_, entry.holders_.all_, entry.tie_);
  });
  std::vector<std::size_t> missing;
  missing.reserve(ranked.size());
  for (const auto& entry : ranked) {
    missing.push_back(entry.chunk_);
  }
  return missing;
}

Planner::Peer* Planner::BestPeerFor(std::size_t chunk, bool slow,
                                    core::TimePoint now) {
  Peer* best = nullptr;
  const auto cost = [this](const Peer& peer) {
    const bool foreign = peer.member_.domain_ != self_.domain_;
    return std::pair(foreign, peer.outstanding_);
  };
  const bool may_import = MayImport(chunk, now);
  for (auto& [id, peer] : peers_) {
    const bool near = peer.member_.domain_ == self_.domain_;
    const bool usable = peer.chunks_.Has(chunk) && (near || may_import) &&
                        peer.member_.slow_ == slow &&
                        peer.outstanding_ < settings_.max_requests_per_peer_ &&
                        now >= peer.rests_until_;
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
  const auto known = now - seen_at_[chunk];
  const auto silence = std::min(known, now - near_progress_);
  return silence >= settings_.import_takeover_timeout_ * ahead ||
         known >= settings_.import_patience_ * ahead;
}

std::size_t Planner::Rank(std::size_t chunk, bool near) const {
  const auto item = chunks_[chunk].digest_.ToHex();
  const auto key = [&](const SwarmMember& member) {
    return std::pair(!member.slow_,
                     core::RendezvousScore(item, member.id_.value()));
  };
  const auto own = key(self_);
  return static_cast<std::size_t>(
      std::ranges::count_if(members_, [&](const SwarmMember& member) {
        return (!near || member.domain_ == self_.domain_) && key(member) > own;
      }));
}

std::size_t Planner::DrawRank(std::size_t chunk) const {
  auto& rank = ranks_[chunk];
  if (!rank) {
    rank = Rank(chunk, false);
  }
  return *rank;
}

const core::InstanceId& Planner::FirstInRank(std::size_t chunk) const {
  auto& first = drawers_[chunk];
  if (!first) {
    const auto item = chunks_[chunk].digest_.ToHex();
    first = std::ranges::max(members_, {}, [&](const SwarmMember& member) {
              return std::pair(!member.slow_,
                               core::RendezvousScore(item, member.id_.value()));
            }).id_;
  }
  return *first;
}

std::size_t Planner::ImportRank(std::size_t chunk) const {
  auto& rank = near_ranks_[chunk];
  if (!rank) {
    rank = Rank(chunk, true);
  }
  return *rank;
}

bool Planner::Overtaken(std::size_t chunk, std::size_t behind) const {
  if (settings_.origin_window_ == 0 ||
      overtaken_[chunk] < settings_.origin_window_ * behind) {
    return false;
  }
  // One that has several to draw is busy, not gone.
  const auto drawer = FirstInRank(chunk);
  for (std::size_t ahead = 0; ahead < chunk; ++ahead) {
    if (!seen_.Has(ahead) && FirstInRank(ahead) == drawer) {
      return false;
    }
  }
  return true;
}

std::optional<OriginFetchCause> Planner::MayDraw(std::size_t chunk,
                                                 core::TimePoint now) const {
  const auto rank = DrawRank(chunk);
  if (rank < settings_.origin_copies_) {
    return OriginFetchCause::kAssigned;
  }
  const auto behind = rank - settings_.origin_copies_ + 1;
  if (Overtaken(chunk, behind) && Holders(chunk).quick_ == 0) {
    return OriginFetchCause::kTakeover;
  }
  const auto silence = now - last_progress_;
  if (Holders(chunk).quick_ == 0 &&
      silence >=
          settings_.origin_takeover_timeout_ * static_cast<int>(behind)) {
    return OriginFetchCause::kTakeover;
  }
  return std::nullopt;
}

void Planner::Ask(std::size_t chunk, Peer* peer, core::TimePoint now,
                  std::vector<FetchRequest>& orders) {
  FetchRequest order{.chunk_ = chunk, .peer_ = std::nullopt};
  if (peer != nullptr) {
    order.peer_ = peer->member_.id_;
    ++peer->outstanding_;
  } else {
    ++origin_outstanding_;
  }
  outstanding_[chunk] = {order.peer_, now};
  orders.push_back(std::move(order));
}

std::vector<FetchRequest> Planner::Next(core::TimePoint now) {
  std::vector<FetchRequest> orders;
  const auto window_end =
      settings_.origin_window_ == 0 ? chunks_.size() : WindowEnd();
  for (const auto chunk : MissingRarestFirst()) {
    const auto from_peers = outstanding_.size() - origin_outstanding_;
    if (from_peers < settings_.max_peer_requests_) {
      if (auto* peer = BestPeerFor(chunk, false, now); peer != nullptr) {
        Ask(chunk, peer, now, orders);
        continue;
      }
      auto* slow =
          MayAskSlow(chunk, now) ? BestPeerFor(chunk, true, now) : nullptr;
      if (slow != nullptr) {
        Ask(chunk, slow, now, orders);
        continue;
      }
    }
    if (!origin_open_ || chunk >= window_end ||
        origin_outstanding_ >= settings_.max_origin_requests_) {
      continue;
    }
    const auto cause = MayDraw(chunk, now);
    if (cause && Holders(chunk).quick_ == 0) {
      ++(*cause == OriginFetchCause::kAssigned ? elected_draws_
                                               : silence_draws_);
      Ask(chunk, nullptr, now, orders);
    }
  }
  return orders;
}

bool Planner::MayAskSlow(std::size_t chunk, core::TimePoint now) const {
  return Holders(chunk).quick_ == 0 &&
         now - seen_at_[chunk] >= settings_.origin_takeover_timeout_;
}

}  // namespace chalkwell::swarm
