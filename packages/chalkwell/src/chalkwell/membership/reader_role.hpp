// Decides how often a process reads a published list itself from the
// configuration store. The first member in the priority order of each failure
// domain is the reader of the domain. The reader of the domain that comes first
// in an order known to all processes (see SetDomainsAhead()) reads the list for
// all and announces each read. The readers of the other domains postpone their
// reads while they receive announcements, and so do all other members. The load
// on the store does not grow with the deployment. Used for the endpoint list,
// which is polled; for the traffic rules, which are watched, see WatcherRole.
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
  /// Read interval of the other members while they receive announcements. These
  /// reads only matter if announcements are wrong or outdated without being
  /// noticed; a missed one is made up for by the next. 149 members make 1.2
  /// such calls per second in total; with an interval of 20 s they would make
  /// 7.5.
  core::Duration standby_interval_ = std::chrono::seconds(120);
  /// Without an announced read for this long, the next member in rank takes
  /// over. One and a half read intervals, since datagrams may be lost.
  core::Duration takeover_timeout_ = std::chrono::milliseconds(900);
  /// Delay per rank. A member of rank n takes over n - 1 delays after the
  /// member of rank 1 would; the reader of a domain with n domains ahead reads
  /// n delays later than the reader of the first domain.
  core::Duration rank_delay_ = std::chrono::milliseconds(150);
  /// Delay per rank while announced reads fail. Members take over one by one,
  /// because the store may refuse only some of them, and slowly, because all
  /// calls fail if it is unreachable: a domain has 7 readers after 8 s, the
  /// first one and (8 s - 0.9 s) / 1.2 s others.
  core::Duration failed_read_rank_delay_ = std::chrono::milliseconds(1200);
  /// A member whose newest known list is older than this becomes a reader at
  /// once, without waiting for its rank, because requests must not be sent to
  /// draining endpoints. It does not if the store is known to be unreachable.
  core::Duration max_age_ = std::chrono::milliseconds(1200);
};

/// @brief Decides whether one member is the designated reader.
class ReaderRole {
 public:
  ReaderRole(core::InstanceId self, ReaderRoleSettings settings);

  /// @brief Sets the members of the local failure domain that need the list,
  /// including this one. The first in rank reads for the domain.
  void SetMembers(std::span<const core::InstanceId> members);
  /// @param ahead number of failure domains whose readers read before this
  /// one's. The caller orders the domains, in the same way in all processes.
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
    list_age_base_ = std::max(list_age_base_.value_or(as_of), as_of);
  }
  /// @brief Another member of the local failure domain announced a failed read.
  void OnPeerReadFailed(core::TimePoint now) noexcept;
  /// @brief Whether this member reads for the others: it is the first in rank
  /// or knows of no read yet, or announcements have ceased, or the reads of
  /// others keep failing, or the newest announced read is too old. A member
  /// that knows no other one does not count as the first in rank until the
  /// takeover timeout has passed since its first read.
  [[nodiscard]] bool IsReader(core::TimePoint now) const noexcept;
  /// @brief Whether a snapshot is too old to be used and the store is not known
  /// to be unreachable.
  /// @param as_of when the store was queried for it.
  [[nodiscard]] bool IsStale(core::TimePoint as_of,
                             core::TimePoint now) const noexcept;
  /// @brief Time from this member's last read attempt to its next one, as of
  /// now.
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
  /// This member's last read attempt.
  std::optional<core::TimePoint> attempted_at_;
  /// This member's last failed read.
  std::optional<core::TimePoint> failed_at_;
  /// Time from which the takeover timeout and the age of the known list are
  /// counted; never decreases: when the store was queried for the newest
  /// announced read or, until a read is announced, the time of this member's
  /// first read or of the first announced failure.
  std::optional<core::TimePoint> list_age_base_;
  /// Last announced failure of a read.
  std::optional<core::TimePoint> peer_failed_at_;
};

}  // namespace chalkwell::membership
