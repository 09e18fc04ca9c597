// Plan of one fetch: which chunk to ask of whom, and who may draw a chunk from
// the origin. No coordinator: rendezvous ranks and what peers announce decide.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "chalkwell/bundle/bundle.hpp"
#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"
#include "chalkwell/swarm/chunk_set.hpp"
#include "chalkwell/swarm/fwd.hpp"

namespace chalkwell::swarm {

/// @brief Settings of the planner.
struct PlannerSettings {
  /// Members that may draw each chunk from the origin at once.
  std::size_t origin_copies_ = 1;
  /// Requests outstanding at one peer.
  std::size_t max_requests_per_peer_ = 2;
  /// Requests outstanding at all peers.
  std::size_t max_peer_requests_ = 8;
  /// Requests outstanding at the origin.
  std::size_t max_origin_requests_ = 2;
  /// Chunks in order that nobody is known to hold and that may be drawn at
  /// once, by all members together: the origin's link and connections are
  /// shared, and what it sent can spread while it sends the next. 0: any.
  std::size_t origin_window_ = 0;
  /// The next in rank draws when the swarm made no progress for this long, or
  /// when a chunk that may be drawn was overtaken by a whole window of others.
  core::Duration origin_takeover_timeout_ = std::chrono::seconds(2);
  /// A chunk request is given up after this.
  core::Duration chunk_timeout_ = std::chrono::seconds(5);
  /// Peers with this many failures in a row are left out for a while.
  unsigned max_failures_ = 3;
  /// A chunk that only other failure domains hold is asked for there by the
  /// first in rank of the own domain; the next one follows when the domain got
  /// nothing new for this time. Zero: anyone may ask at once.
  core::Duration import_takeover_timeout_{};
  /// It follows too when the chunk is known for this long: the first in rank
  /// may be gone while others go on.
  core::Duration import_patience_ = std::chrono::milliseconds(2500);
  core::Duration failure_rest_ = std::chrono::seconds(2);
};

/// @brief A member of the swarm.
struct SwarmMember {
  core::InstanceId id_;
  core::FailureDomainId domain_;
  /// Its link is narrowed: it comes last in rank, and what only such members
  /// hold is drawn by others. Chunks would fill its link for good, live answers
  /// wait behind them, and all others wait for what it draws.
  bool slow_ = false;

  friend bool operator==(const SwarmMember&, const SwarmMember&) = default;
};

/// @brief One chunk to fetch now.
struct FetchRequest {
  std::size_t chunk_ = 0;
  /// Absent: from weight store or origin.
  std::optional<core::InstanceId> peer_;
};

/// @brief Why a chunk was drawn from the origin.
enum class OriginFetchCause : std::uint8_t {
  /// This member is among the first in rank.
  kAssigned,
  /// Those ahead in rank were silent.
  kTakeover,
};

/// @brief Plans the fetch of one manifest's chunks by one member.
class Planner {
 public:
  Planner(SwarmMember self, PlannerSettings settings, std::uint64_t seed);

  [[nodiscard]] const ChunkSet& held() const noexcept { return held_; }
  [[nodiscard]] bool complete() const noexcept { return held_.full(); }
  [[nodiscard]] std::size_t outstanding() const noexcept {
    return outstanding_.size();
  }
  /// @brief Chunks that some member is known to hold.
  [[nodiscard]] std::size_t available_count() const noexcept {
    return seen_.count();
  }
  /// @brief Draws from the origin so far, by cause.
  [[nodiscard]] std::uint64_t origin_fetches(
      OriginFetchCause cause) const noexcept;

  /// @brief Begins a fetch; chunks already held are not asked again.
  void Start(std::vector<bundle::Chunk> chunks, const ChunkSet& held,
             core::TimePoint now);
  /// @brief Live members, this one included; they elect who draws, and tell
  /// which links are narrowed.
  void SetMembers(std::vector<SwarmMember> members);
  /// @brief Changes how many requests may be outstanding at all peers.
  void SetMaxPeerRequests(std::size_t most) noexcept {
    settings_.max_peer_requests_ = most;
  }
  /// @brief Whether the origin may be asked: not while it refuses.
  void SetOriginAvailable(bool open) noexcept { origin_open_ = open; }
  /// @brief A peer with an open stream announces what it holds.
  void OnAnnounced(const SwarmMember& peer, const ChunkSet& chunks,
                   core::TimePoint now);
  void OnPeerLost(const core::InstanceId& peer);
  /// @brief A verified chunk arrived.
  void OnChunkReceived(std::size_t chunk, core::TimePoint now);
  /// @brief A chunk that was held is gone; it is asked for again.
  void OnChunkLost(std::size_t chunk);
  /// @brief A request failed, timed out or gave a corrupt chunk. The peer does
  /// not count as its holder until it announces the chunk again.
  void OnRequestFailed(std::size_t chunk, core::TimePoint now);
  /// @brief Requests whose time is up; they count as failed.
  [[nodiscard]] std::vector<FetchRequest> ExpireRequests(core::TimePoint now);
  /// @brief What to ask for now.
  [[nodiscard]] std::vector<FetchRequest> Next(core::TimePoint now);

 private:
  struct Peer {
    SwarmMember member_;
    ChunkSet chunks_;
    std::size_t outstanding_ = 0;
    /// In a row; cleared by a good chunk.
    unsigned failures_ = 0;
    core::TimePoint rests_until_;
  };
  /// Peers known to hold a chunk: of the own failure domain, and all.
  struct HolderCount {
    std::size_t near_ = 0;
    std::size_t all_ = 0;
    std::size_t quick_ = 0;
  };
  struct Request {
    std::optional<core::InstanceId> peer_;
    core::TimePoint since_;
  };

  [[nodiscard]] std::vector<std::size_t> MissingRarestFirst();
  /// @param slow whether slow peers are looked at, or the others.
  [[nodiscard]] Peer* BestPeerFor(std::size_t chunk, bool slow,
                                  core::TimePoint now);
  /// @brief Whether a chunk that only slow peers hold has waited long enough
  /// for others to draw it.
  [[nodiscard]] bool MayAskSlow(std::size_t chunk, core::TimePoint now) const;
  /// @brief Members ahead of this one: quick ones first, then by score.
  [[nodiscard]] std::size_t Rank(std::size_t chunk, bool near) const;
  [[nodiscard]] std::optional<OriginFetchCause> MayDraw(
      std::size_t chunk, core::TimePoint now) const;
  [[nodiscard]] std::size_t DrawRank(std::size_t chunk) const;
  [[nodiscard]] const core::InstanceId& FirstInRank(std::size_t chunk) const;
  /// @brief Whether those ahead of this member seem to be gone.
  /// @param behind how many of them there are.
  [[nodiscard]] bool Overtaken(std::size_t chunk, std::size_t behind) const;
  /// @brief First chunk behind the draw window.
  [[nodiscard]] std::size_t WindowEnd() const;
  /// @brief Counts a chunk that was seen now against those ahead of it.
  void CountOvertaken(std::size_t chunk);
  [[nodiscard]] std::size_t ImportRank(std::size_t chunk) const;
  void ForgetRanks();
  [[nodiscard]] bool MayImport(std::size_t chunk, core::TimePoint now) const;
  void MarkSeen(std::size_t chunk, bool near, core::TimePoint now);
  [[nodiscard]] HolderCount Holders(std::size_t chunk) const;
  void TakeOutstanding(std::size_t chunk, bool good, core::TimePoint now);
  void Ask(std::size_t chunk, Peer* peer, core::TimePoint now,
           std::vector<FetchRequest>& orders);

  SwarmMember self_;
  PlannerSettings settings_;
  std::mt19937_64 random_;
  std::vector<bundle::Chunk> chunks_;
  ChunkSet held_;
  std::vector<SwarmMember> members_;
  /// Ranks of this member by chunk; emptied when members or chunks change.
  mutable std::vector<std::optional<std::size_t>> ranks_;
  /// The same among members of the own failure domain.
  mutable std::vector<std::optional<std::size_t>> near_ranks_;
  /// First in rank by chunk; emptied with the ranks.
  mutable std::vector<std::optional<core::InstanceId>> drawers_;
  std::map<core::InstanceId, Peer> peers_;
  /// By chunk; at most `in_flight_` plus `max_origin_requests_`.
  std::map<std::size_t, Request> outstanding_;
  std::size_t origin_outstanding_ = 0;
  bool origin_open_ = true;
  /// Chunks that some peer or this member is known to hold.
  ChunkSet seen_;
  /// Chunks that some member of the own failure domain is known to hold.
  ChunkSet near_seen_;
  /// When one of them came to it.
  core::TimePoint near_progress_;
  /// By chunk: later ones that were seen while it was in the draw window.
  std::vector<std::size_t> overtaken_;
  /// When each chunk of `seen_` was seen for the first time.
  std::vector<core::TimePoint> seen_at_;
  /// When a chunk was last seen for the first time, or the origin last failed:
  /// while it gives nothing to anyone, silence says nothing of those ahead.
  /// When it is back after 4 s it sends 1.08 copies in all; without this 1.11.
  core::TimePoint last_progress_;
  std::uint64_t elected_draws_ = 0;
  std::uint64_t silence_draws_ = 0;
};

}  // namespace chalkwell::swarm
