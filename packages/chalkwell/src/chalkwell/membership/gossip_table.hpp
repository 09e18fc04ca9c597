// Who is there, without a published list: rows with a beat that only their
// owner raises, passed on by chance; a row that stays behind its lease is lost.
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
  /// Service of the endpoint beside it; agents only.
  std::string service_;
  /// Raised by the member itself; orders its rows.
  std::uint64_t beat_ = 0;
  /// It is about to end and should be forgotten.
  bool leaving_ = false;
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
};

/// @brief What a merge changed.
enum class MergeEnd : std::uint8_t { kKnown, kNews, kJoined };

/// @brief Members known to one process.
class GossipTable {
 public:
  GossipTable(Member self, GossipSettings settings, std::uint64_t seed);

  [[nodiscard]] const Member& self() const noexcept { return self_; }
  /// @brief Raises the own beat.
  void Beat() noexcept { ++self_.beat_; }
  void Leave() noexcept { self_.leaving_ = true; }
  /// @brief Takes a row heard from anyone.
  MergeEnd Merge(const Member& member, core::TimePoint now);
  /// @brief Forgets members past their lease.
  /// @return those lost since the last call.
  std::vector<Member> Expire(core::TimePoint now);

  /// @brief Members of whom nothing was heard for half their lease.
  [[nodiscard]] std::vector<Member> Silent(core::TimePoint now) const;
  /// @brief Live members, this one left out; one row an address.
  [[nodiscard]] std::vector<Member> Live() const;
  /// @brief The own row and some others, those told least first.
  [[nodiscard]] std::vector<Member> Sample(std::size_t most);
  /// @brief Members to tell next: one of the own failure domain first, the
  /// others by chance.
  [[nodiscard]] std::vector<Member> Targets(std::size_t most);

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

  void Shuffle(std::vector<Member>& members);

  Member self_;
  GossipSettings settings_;
  std::mt19937_64 random_;
  std::map<Key, Row> rows_;
};

}  // namespace chalkwell::membership
