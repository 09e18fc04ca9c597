// Who is there, without a published list: rows with a beat that only their
// owner raises, passed on by chance; a row that stays behind its lease is lost.
// All members of the own failure domain are kept, and few of each other one:
// what a process keeps and tells does not grow with the number of domains'
// members.
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

/// @brief What a member is.
enum class MemberKind : std::uint8_t { kEntry, kAgent };

/// @brief One life of a process.
struct Member {
  core::InstanceId id_;
  /// Drawn at random at each start.
  std::uint64_t incarnation_ = 0;
  MemberKind kind_ = MemberKind::kEntry;
  core::FailureDomainId domain_;
  /// Where it hears others, "ip:port".
  std::string address_;
  /// Raised by the member itself; orders its rows.
  std::uint64_t heartbeat_ = 0;
  /// It is about to end and should be forgotten.
  bool leaving_ = false;
  /// Live members that it knows in its own failure domain, itself included; 0
  /// when it does not say.
  std::uint32_t local_members_ = 0;
};

/// @brief Settings of the table.
struct GossipSettings {
  /// A row whose beat does not rise for this long is lost. From half of it on
  /// the member is asked directly, so that none is lost by the chance of
  /// gossip alone.
  core::Duration lease_ = std::chrono::milliseconds(6000);
  /// How long a lost row is remembered, so that a late copy does not bring it
  /// back.
  core::Duration memory_ = std::chrono::seconds(60);
  /// Rows kept of each other failure domain, the first in rank of those heard
  /// of. The first two are the ones who pass news on there; the others stand by
  /// for when these are lost, which takes a lease to notice.
  std::size_t far_rows_ = 3;
};

/// @brief What a merge changed.
enum class MergeOutcome : std::uint8_t { kUnchanged, kUpdated, kJoined };

/// @brief Members known to one process.
class GossipTable {
 public:
  GossipTable(Member self, GossipSettings settings, std::uint64_t seed);

  [[nodiscard]] const Member& self() const noexcept { return self_; }
  /// @brief Raises the own beat.
  void RaiseHeartbeat();
  void SetLeaving() noexcept { self_.leaving_ = true; }
  /// @brief Takes a row heard from anyone.
  MergeOutcome Merge(const Member& member, core::TimePoint now);
  /// @brief Forgets members past their lease.
  /// @return those lost since the last call.
  std::vector<Member> Expire(core::TimePoint now);

  /// @brief Members of whom nothing was heard for half their lease, the longest
  /// silent first.
  /// @param most each is asked directly, which is to cost little.
  [[nodiscard]] std::vector<Member> Unresponsive(std::size_t most,
                                                 core::TimePoint now) const;
  /// @brief Live members, this one left out; one row an address.
  [[nodiscard]] std::vector<Member> Live() const;
  /// @brief Live members of the own failure domain, this one left out.
  [[nodiscard]] std::vector<Member> LocalMembers() const;
  /// @brief Live members of the whole deployment, this one included: those of
  /// other failure domains as these tell it.
  [[nodiscard]] std::size_t DeploymentSize() const;
  /// @brief Whether this member is one of those who pass news on between
  /// failure domains.
  [[nodiscard]] bool IsDelegate() const;
  /// @brief The own row and some others, those told least first; for a member
  /// of another failure domain those of its domain before all others, and of
  /// the own domain only the first in rank.
  [[nodiscard]] std::vector<Member> Sample(std::size_t most,
                                           const core::FailureDomainId& domain);
  /// @brief Members to tell next: some of the own failure domain by chance, and
  /// by delegates one of each other domain.
  [[nodiscard]] std::vector<Member> GossipTargets(std::size_t most);

 private:
  struct Key {
    core::InstanceId id_;
    std::uint64_t incarnation_ = 0;
    friend auto operator<=>(const Key&, const Key&) = default;
  };
  struct Row {
    Member member_;
    /// When its beat last rose here.
    core::TimePoint heard_;
    bool lost_ = false;
    /// How often it was passed on since its beat rose; those told least go
    /// first, so that no news wait long by chance.
    unsigned told_ = 0;
  };

  /// @brief Whether a row of another failure domain has a place; one that ranks
  /// behind it gives way.
  bool MakePlace(const Member& member);
  void Shuffle(std::vector<Member>& members);

  Member self_;
  GossipSettings settings_;
  std::mt19937_64 random_;
  std::map<Key, Row> rows_;
};

}  // namespace chalkwell::membership
