// Decides how often a process reads a published list itself from the
// configuration store. The first member in the priority order of each failure
// domain is the reader of the domain. The reader of the first domain reads the
// list for all and announces each read. The readers of the other domains
// postpone their reads while they receive announcements, and so do all other
// members. The load on the store does not grow with the deployment. Used for
// the endpoint list, which is polled; for the traffic rules, which are watched,
// see WatcherRole.
#pragma once

#include <algorithm>
#include <optional>
#include <span>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"

namespace chalkwell::membership {

struct ReaderRoleSettings {
  /// Read interval of the designated reader.
  core::Duration reader_interval_ = std::chrono::milliseconds(600);
  /// Read interval of the other members while they receive announcements. The
  /// next announcement makes up for a missed one, so these reads only guard
  /// against errors. 149 members make 1.2 such calls per second; with an
  /// interval of 20 s they would make 7.5.
  core::Duration standby_interval_ = std::chrono::seconds(120);
  /// Without an announced read for this long, the next member in rank takes
  /// over. One and a half read intervals, since datagrams may be lost.
  core::Duration takeover_timeout_ = std::chrono::milliseconds(900);
  /// Additional delay per rank within a failure domain before taking over, and
  /// per preceding failure domain before the first member of a domain reads.
  core::Duration rank_delay_ = std::chrono::milliseconds(150);
  /// Additional delay per rank while the reads of other members fail. The store
  /// may refuse the other members and serve this one, but when it is
  /// unreachable for all, further readers only add failing calls: after 8 s
  /// some 7 members of a failure domain read, not all.
  core::Duration failed_read_rank_delay_ = std::chrono::milliseconds(1200);
  /// If the newest announced read is older than this, a member reads the list
  /// itself, whatever its rank, unless the store is known to be unreachable:
  /// the list shows which endpoints are draining.
  core::Duration max_age_ = std::chrono::milliseconds(1200);
};

/// @brief Decides whether one member is the designated reader.
class ReaderRole {
 public:
  ReaderRole(core::InstanceId self, ReaderRoleSettings settings);

  /// @brief Sets the members of the local failure domain that need the list,
  /// including this one. The first in rank reads for the domain.
  void SetMembers(std::span<const core::InstanceId> members);
  /// @param ahead number of failure domains whose readers precede this one's.
  void SetDomainsAhead(std::size_t ahead) noexcept { domains_ahead_ = ahead; }
  /// @brief This member read the list from the store.
  void OnRead(core::TimePoint now) noexcept;
  /// @brief A read by this member failed.
  void OnReadFailed(core::TimePoint now) noexcept {
    attempted_at_ = now;
    failed_at_ = now;
  }
  /// @brief Another member announced a read.
  /// @param as_of when the store was queried; the announcement of an old read
  /// does not postpone the read of this member.
  void OnPeerRead(core::TimePoint as_of) noexcept {
    last_known_read_ = std::max(last_known_read_.value_or(as_of), as_of);
  }
  /// @brief Another member of the local failure domain announced a failed read.
  void OnPeerReadFailed(core::TimePoint now) noexcept;
  /// @brief Whether this member reads for the others: it is the first in rank
  /// or knows of no read yet, or announcements have ceased, or the reads of
  /// others keep failing, or the newest announced read is too old. A member
  /// that knows no other one is no reader before `discovery_until_` in the
  /// first two cases.
  [[nodiscard]] bool IsReader(core::TimePoint now) const noexcept;
  /// @brief Whether a snapshot is too old to be used and the store is not known
  /// to be unreachable.
  /// @param as_of when the store was queried for it.
  [[nodiscard]] bool IsStale(core::TimePoint as_of,
                             core::TimePoint now) const noexcept;
  /// @brief Time from the last own read attempt to the next one, as of now.
  [[nodiscard]] core::Duration Interval(core::TimePoint now) const noexcept;

 private:
  core::InstanceId self_;
  ReaderRoleSettings settings_;
  /// Number of members of the local failure domain that precede this one.
  std::size_t rank_ = 0;
  /// Whether no other member of the local failure domain is known.
  bool alone_ = true;
  /// Until when a member that knows no other one waits for others after its
  /// first read: after a power failure all members start at the same time.
  std::optional<core::TimePoint> discovery_until_;
  std::size_t domains_ahead_ = 0;
  /// Last own read attempt.
  std::optional<core::TimePoint> attempted_at_;
  /// Last failed one.
  std::optional<core::TimePoint> failed_at_;
  /// Time of the newest announced read; never decreases. Until a read is
  /// announced, the time of the first own read or announced failure, from which
  /// the takeover timeout counts.
  std::optional<core::TimePoint> last_known_read_;
  /// Last announced failure of a read.
  std::optional<core::TimePoint> peer_failed_at_;
};

}  // namespace chalkwell::membership
