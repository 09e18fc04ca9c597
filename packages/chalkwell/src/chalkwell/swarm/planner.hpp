// Plans the fetch of one manifest: which chunk to request from which peer, and
// which member fetches a chunk from the origin, a server that has all chunks
// and is no member. There is no coordinator: the decisions follow from
// rendezvous hashing and from the peers' announcements.
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

struct PlannerSettings {
  /// Number of members assigned to fetch each chunk from the origin.
  std::size_t origin_copies_ = 1;
  /// Maximum number of outstanding requests to one peer.
  std::size_t max_requests_per_peer_ = 2;
  /// Maximum number of outstanding requests to all peers.
  std::size_t max_peer_requests_ = 8;
  /// Maximum number of outstanding requests to the origin.
  std::size_t max_origin_requests_ = 2;
  /// Size n of the origin window: only chunks before the (n + 1)-th missing
  /// one, in index order, may be fetched from the origin; missing are chunks
  /// that no member is known to hold. A missing chunk is not counted any more
  /// once n later chunks became available, so that chunks that are not fetched
  /// do not stop the window. The window applies to the fetches by all members
  /// together, because the members share the origin's link and connections, and
  /// chunks that it has sent can spread while it sends the next ones. 0 means
  /// no limit.
  std::size_t origin_window_ = 0;
  /// The n-th member after the assigned ones in the priority order of a chunk
  /// fetches it from the origin in their place in two cases: (a) for n times
  /// this long no chunk became available and no origin request of this member
  /// failed; (b) n times `origin_window_` later chunks became available while
  /// this one did not (see MembersAheadPresumedLost()).
  core::Duration origin_takeover_timeout_ = std::chrono::seconds(2);
  /// Timeout of a chunk request.
  core::Duration chunk_timeout_ = std::chrono::seconds(5);
  /// Consecutive failures after which a peer is not used for
  /// `failure_backoff_`.
  unsigned max_failures_ = 3;
  /// A chunk that no local member holds is imported, that is, fetched from a
  /// remote failure domain, by the first member in the priority order of the
  /// local domain. The next member takes over when no chunk became available in
  /// the domain for this long. Zero: every member may import at once.
  core::Duration import_takeover_timeout_{};
  /// The next member also takes over when some member of the deployment has
  /// held the chunk for this long: the first one may be lost while others make
  /// progress.
  core::Duration import_max_wait_ = std::chrono::milliseconds(2500);
  core::Duration failure_backoff_ = std::chrono::seconds(2);
};

/// @brief A member of the swarm.
struct SwarmMember {
  core::InstanceId id_;
  core::FailureDomainId domain_;
  /// Its link is degraded. The member comes last in the priority order, and
  /// others avoid fetching chunks from it: a chunk that only degraded members
  /// hold is fetched from the origin, or from one of them once
  /// `origin_takeover_timeout_` has passed since it became available. Otherwise
  /// chunks would saturate the link, the responses of the member to requests
  /// would wait behind them, and all members would wait for the chunks that it
  /// fetches.
  bool degraded_ = false;

  friend bool operator==(const SwarmMember&, const SwarmMember&) = default;
};

/// @brief A chunk to request now.
struct FetchRequest {
  std::size_t chunk_ = 0;
  /// None for the origin; the caller may try a weight store first.
  std::optional<core::InstanceId> peer_;
};

/// @brief Why this member fetches a chunk from the origin.
enum class OriginFetchCause : std::uint8_t {
  /// This member is among the first in the chunk's priority order.
  kAssigned,
  /// The members ahead in the priority order made no progress.
  kTakeover,
};

/// @brief Plans the fetch of one manifest's chunks by one member.
class Planner {
 public:
  Planner(SwarmMember self, PlannerSettings settings, std::uint64_t seed);

  [[nodiscard]] const ChunkSet& held() const noexcept { return held_; }
  /// @brief Whether every chunk is held; true before Start().
  [[nodiscard]] bool complete() const noexcept { return held_.full(); }
  [[nodiscard]] std::size_t outstanding() const noexcept {
    return outstanding_.size();
  }
  /// @brief Number of chunks that some member is known to hold.
  [[nodiscard]] std::size_t available_count() const noexcept {
    return available_.count();
  }
  /// @brief Number of origin fetches so far, by cause.
  [[nodiscard]] std::uint64_t origin_fetches(
      OriginFetchCause cause) const noexcept;

  /// @brief Starts a fetch; chunks in `held` are not requested.
  void Start(std::vector<bundle::Chunk> chunks, const ChunkSet& held,
             core::TimePoint now);
  /// @brief Sets the live members, including this one. They determine the
  /// priority orders and which links are degraded.
  void SetMembers(std::vector<SwarmMember> members);
  /// @brief Changes the maximum number of outstanding requests to all peers.
  void SetMaxPeerRequests(std::size_t max_count) noexcept {
    settings_.max_peer_requests_ = max_count;
  }
  /// @brief Sets whether requests may be sent to the origin; false while it
  /// refuses them.
  void SetOriginAvailable(bool available) noexcept {
    origin_available_ = available;
  }
  /// @brief Records the chunks that a connected peer announces.
  /// @param peer its `degraded_` is ignored; SetMembers() sets it.
  void OnAnnounced(const SwarmMember& peer, const ChunkSet& chunks,
                   core::TimePoint now);
  void OnPeerLost(const core::InstanceId& peer);
  /// @brief Records a received and verified chunk.
  void OnChunkReceived(std::size_t chunk, core::TimePoint now);
  /// @brief Records the loss of a held chunk, which is then requested again.
  void OnChunkLost(std::size_t chunk);
  /// @brief Records a request that failed, timed out or returned a corrupt
  /// chunk. The peer does not count as a holder until it announces the chunk
  /// again.
  void OnRequestFailed(std::size_t chunk, core::TimePoint now);
  /// @brief Removes and returns the requests past their timeout, which count as
  /// failed.
  [[nodiscard]] std::vector<FetchRequest> ExpireRequests(core::TimePoint now);
  /// @brief Returns the requests to send now and records them as outstanding.
  [[nodiscard]] std::vector<FetchRequest> Next(core::TimePoint now);

 private:
  struct Peer {
    SwarmMember member_;
    ChunkSet chunks_;
    std::size_t outstanding_ = 0;
    /// Consecutive failures; reset by a verified chunk.
    unsigned failures_ = 0;
    core::TimePoint backoff_until_;
  };
  /// Number of peers known to hold a chunk.
  struct HolderCount {
    /// In the local failure domain.
    std::size_t local_ = 0;
    std::size_t total_ = 0;
    /// Peers whose links are not degraded.
    std::size_t healthy_ = 0;
  };
  struct Request {
    std::optional<core::InstanceId> peer_;
    core::TimePoint sent_at_;
  };

  /// @brief Chunks neither held nor requested, rarest first.
  [[nodiscard]] std::vector<std::size_t> MissingRarestFirst();
  /// @param degraded whether to choose among the peers on degraded links, or
  /// among the others.
  [[nodiscard]] Peer* BestPeerFor(std::size_t chunk, bool degraded,
                                  core::TimePoint now);
  /// @brief Whether a chunk that only peers on degraded links hold has waited
  /// long enough for others to fetch it from the origin.
  [[nodiscard]] bool MayUseDegradedPeers(std::size_t chunk,
                                         core::TimePoint now) const;
  /// @brief Number of members ahead of this one in the priority order of a
  /// chunk: members without degraded links first, then by rendezvous score.
  /// @param local_only whether to count only members of the local failure
  /// domain.
  [[nodiscard]] std::size_t Rank(std::size_t chunk, bool local_only) const;
  /// @return none when this member must not fetch the chunk from the origin
  /// now.
  [[nodiscard]] std::optional<OriginFetchCause> MayFetchFromOrigin(
      std::size_t chunk, core::TimePoint now) const;
  [[nodiscard]] std::size_t OriginRank(std::size_t chunk) const;
  /// @brief First member in the priority order of a chunk.
  [[nodiscard]] const core::InstanceId& FirstInOrder(std::size_t chunk) const;
  /// @brief Whether the skip count of the chunk is at least `origin_window_ *
  /// ahead` and the first member in its priority order is not busy with an
  /// earlier missing chunk.
  /// @param ahead n, if this member is the n-th after the assigned ones in that
  /// order.
  [[nodiscard]] bool MembersAheadPresumedLost(std::size_t chunk,
                                              std::size_t ahead) const;
  /// @brief First chunk after the origin window.
  [[nodiscard]] std::size_t OriginWindowEnd() const;
  /// @brief Increments the skip count of each unavailable chunk before this one
  /// in the origin window.
  void CountSkipped(std::size_t chunk);
  [[nodiscard]] std::size_t ImportRank(std::size_t chunk) const;
  void ClearRanks();
  [[nodiscard]] bool MayImport(std::size_t chunk, core::TimePoint now) const;
  /// @param local whether a member of the local failure domain holds the chunk.
  void MarkAvailable(std::size_t chunk, bool local, core::TimePoint now);
  [[nodiscard]] HolderCount CountHolders(std::size_t chunk) const;
  void FinishRequest(std::size_t chunk, bool succeeded, core::TimePoint now);
  /// @param peer null for the origin.
  void AddRequest(std::size_t chunk, Peer* peer, core::TimePoint now,
                  std::vector<FetchRequest>& requests);

  SwarmMember self_;
  PlannerSettings settings_;
  std::mt19937_64 random_;
  std::vector<bundle::Chunk> chunks_;
  ChunkSet held_;
  std::vector<SwarmMember> members_;
  /// Cached ranks of this member by chunk; cleared when members or chunks
  /// change.
  mutable std::vector<std::optional<std::size_t>> origin_ranks_;
  /// Cached ranks among the members of the local failure domain.
  mutable std::vector<std::optional<std::size_t>> import_ranks_;
  /// Cached first members in the priority order by chunk.
  mutable std::vector<std::optional<core::InstanceId>> first_in_order_;
  std::map<core::InstanceId, Peer> peers_;
  /// By chunk; at most `max_peer_requests_` plus `max_origin_requests_`.
  std::map<std::size_t, Request> outstanding_;
  std::size_t origin_outstanding_ = 0;
  bool origin_available_ = true;
  /// Chunks that some peer or this member is known to hold.
  ChunkSet available_;
  /// Chunks that some member of the local failure domain is known to hold.
  ChunkSet locally_available_;
  /// When a chunk was last added to `locally_available_`.
  core::TimePoint last_local_progress_;
  /// By chunk: number of later chunks that became available while it was in the
  /// origin window.
  std::vector<std::size_t> skip_counts_;
  /// By chunk: when it was added to `available_`, or the start of the fetch.
  std::vector<core::TimePoint> available_since_;
  /// When a chunk was last added to `available_`, or a request to the origin
  /// last failed: while the origin serves nobody, a lack of progress does not
  /// mean that the members ahead are lost. Counting failures lowers how often
  /// the origin sends a chunk after an outage of 4 s from 1.11 to 1.08 times on
  /// average.
  core::TimePoint last_progress_;
  std::uint64_t assigned_origin_fetches_ = 0;
  std::uint64_t takeover_origin_fetches_ = 0;
};

}  // namespace chalkwell::swarm
