// Membership by gossip, without a published list: each member owns a row whose
// heartbeat counter only it raises, and rows are exchanged with random members.
// A row whose counter does not rise within the lease is lost. All members of
// the local failure domain are kept, and a few of each remote one, so that the
// state and the traffic of a process do not grow with the size of remote
// domains.
#pragma once

#include <cstdint>
#include <map>
#include <random>
#include <string>
#include <vector>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"
#include "chalkwell/membership/fwd.hpp"

namespace chalkwell::membership {

/// @brief Kind of process: an entry, or the agent process of an endpoint.
enum class MemberKind : std::uint8_t { kEntry, kAgent };

/// @brief One incarnation of a process.
struct Member {
  core::InstanceId id_;
  /// Random, chosen at each start; incarnations are not ordered.
  std::uint64_t incarnation_ = 0;
  MemberKind kind_ = MemberKind::kEntry;
  core::FailureDomainId domain_;
  /// Address at which it receives datagrams, "ip:port".
  std::string address_;
  /// Heartbeat counter, raised only by the member itself; orders its rows.
  std::uint64_t heartbeat_ = 0;
  /// The member is shutting down and is to be removed.
  bool leaving_ = false;
  /// Live members that it knows in its own failure domain, including itself; 0
  /// if it does not report them.
  std::uint32_t local_members_ = 0;
};

struct GossipSettings {
  /// A row whose heartbeat counter does not rise for this long is lost. After
  /// half of the lease the member is probed directly, so that no member is lost
  /// only because random gossip did not reach it.
  core::Duration lease_ = std::chrono::milliseconds(6000);
  /// How long a lost row is kept as a tombstone, so that a delayed copy does
  /// not restore it; counted from its last heartbeat.
  core::Duration tombstone_retention_ = std::chrono::seconds(60);
  /// Rows kept of each remote failure domain: of the received ones, those with
  /// the highest WatcherScore(). The first two members are the delegates of
  /// that domain, which forward changes between domains; the third is a spare
  /// for the lease that it takes to detect the loss of a delegate.
  std::size_t remote_rows_per_domain_ = 3;
};

/// @brief Outcome of merging a received row.
enum class MergeOutcome : std::uint8_t {
  /// The row is this member's own or not newer, or it was not added: its member
  /// is leaving, or ranks behind the rows kept of its remote failure domain.
  kUnchanged,
  kUpdated,
  /// The row was added, or its member is live again after it was lost.
  kJoined
};

/// @brief Membership as known to one process.
class GossipTable {
 public:
  GossipTable(Member self, GossipSettings settings, std::uint64_t seed);

  [[nodiscard]] const Member& self() const noexcept { return self_; }
  /// @brief Raises this member's heartbeat counter.
  void RaiseHeartbeat();
  void SetLeaving() noexcept { self_.leaving_ = true; }
  /// @brief Merges a row received from any member.
  MergeOutcome Merge(const Member& member, core::TimePoint now);
  /// @brief Marks members past their lease as lost and drops old tombstones.
  /// @return the members newly past their lease; members that announced that
  /// they are leaving are not included.
  std::vector<Member> Expire(core::TimePoint now);

  /// @brief Members whose heartbeat counter did not rise for half of the lease,
  /// in the order of their last heartbeats.
  /// @param limit largest number returned; each of them costs a probe.
  [[nodiscard]] std::vector<Member> Unresponsive(std::size_t limit,
                                                 core::TimePoint now) const;
  /// @brief Live members without this one. Of several rows with one address
  /// only the one whose heartbeat counter rose last is returned: after a
  /// restart the row of the earlier incarnation remains until its lease ends.
  [[nodiscard]] std::vector<Member> Live() const;
  /// @brief Live members of the local failure domain, without this one.
  [[nodiscard]] std::vector<Member> LocalMembers() const;
  /// @brief Number of live members of the whole deployment, including this one;
  /// for each remote failure domain the largest number that a known member of
  /// it reports, but at least the number of its known members.
  [[nodiscard]] std::size_t DeploymentSize() const;
  /// @brief Whether this member is a delegate, which forwards changes between
  /// failure domains.
  [[nodiscard]] bool IsDelegate() const;
  /// @brief This member's row and at most `limit` others, those sent least
  /// often first. A receiver in a remote failure domain gets the rows of its
  /// own domain first, and of the sender's domain only the rows that it would
  /// keep (`remote_rows_per_domain_`).
  /// @param domain failure domain of the receiver.
  [[nodiscard]] std::vector<Member> Sample(std::size_t limit,
                                           const core::FailureDomainId& domain);
  /// @brief Receivers of the next gossip round: random members of the local
  /// failure domain and, on delegates, one member of each remote domain.
  /// @param limit largest number of local receivers.
  [[nodiscard]] std::vector<Member> GossipTargets(std::size_t limit);

 private:
  struct Key {
    core::InstanceId id_;
    std::uint64_t incarnation_ = 0;
    friend auto operator<=>(const Key&, const Key&) = default;
  };
  struct Row {
    Member member_;
    /// When its heartbeat counter last rose here.
    core::TimePoint last_heartbeat_;
    bool lost_ = false;
    /// How often it was sent since its heartbeat counter rose. The least often
    /// sent rows go first, so that random choice delays no update for long.
    unsigned times_sent_ = 0;
  };

  /// @brief Makes room for a row of a remote failure domain, if necessary by
  /// removing the last row of that domain in the priority order.
  /// @return whether there is room.
  bool MakeRoom(const Member& member);
  void Shuffle(std::vector<Member>& members);

  Member self_;
  GossipSettings settings_;
  std::mt19937_64 random_;
  std::map<Key, Row> rows_;
};

}  // namespace chalkwell::membership
