// How often a process reads a published list itself, when one reads it for all:
// the first of each failure domain stands by, those of different domains in an
// order, and whoever is told of a read does not read itself meanwhile. What
// this costs the publisher does not grow with the deployment.
#pragma once

#include <algorithm>
#include <optional>
#include <span>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"

namespace chalkwell::membership {

/// @brief Settings of a duty.
struct ReaderRoleSettings {
  /// Between two reads of the member whose duty it is.
  core::Duration reader_interval_ = std::chrono::milliseconds(600);
  /// Between two reads of the others while they are told: a gap in what they
  /// are told shows at the next telling, so this only guards against errors.
  /// With 20 s, 149 members make 7.5 calls a second of it; now 1.2.
  core::Duration standby_interval_ = std::chrono::seconds(120);
  /// Told of no read for this long, the next member reads itself: one and a
  /// half intervals, since a datagram is lost now and then.
  core::Duration takeover_timeout_ = std::chrono::milliseconds(900);
  /// What each rank within a failure domain waits beyond the one before it, and
  /// what the first of each domain waits beyond that of the domain before.
  core::Duration rank_delay_ = std::chrono::milliseconds(150);
  /// What each rank waits beyond the one before it while others try and fail.
  /// The publisher may turn those away and serve this one, but when it is away
  /// for all, each further reader only asks in vain: some 7 of a failure domain
  /// read after 8 s, not all.
  core::Duration failed_read_rank_delay_ = std::chrono::milliseconds(1200);
  /// Whoever believes an older list reads itself, whatever its rank, unless the
  /// publisher is known to be away: endpoints that leave are told by the list.
  core::Duration max_age_ = std::chrono::milliseconds(1200);
};

/// @brief The duty of one member.
class ReaderRole {
 public:
  ReaderRole(core::InstanceId self, ReaderRoleSettings settings);

  /// @brief Members of the own failure domain that read the list, this one
  /// included; the first in rank has the duty.
  void SetMembers(std::span<const core::InstanceId> members);
  /// @param ahead other failure domains whose first reads before this one's.
  void SetDomainsAhead(std::size_t ahead) noexcept { domains_ahead_ = ahead; }
  /// @brief This member read the list itself.
  void OnRead(core::TimePoint now) noexcept;
  /// @brief This member tried to read the list, in vain.
  void OnReadFailed(core::TimePoint now) noexcept {
    asked_at_ = now;
    failed_at_ = now;
  }
  /// @brief Another member told of a read.
  /// @param as_of when the publisher was asked: an old telling keeps nobody
  /// from reading.
  void OnPeerRead(core::TimePoint as_of) noexcept {
    told_at_ = std::max(told_at_.value_or(as_of), as_of);
  }
  /// @brief Another member of the own failure domain told that it tried to
  /// read, in vain.
  void OnPeerReadFailed(core::TimePoint now) noexcept;
  /// @brief Whether this member reads for the others: the first in rank, or
  /// whoever is told of no read any more.
  [[nodiscard]] bool IsReader(core::TimePoint now) const noexcept;
  /// @brief Whether a list is older than may be believed, and the publisher is
  /// not known to be away.
  /// @param as_of when the publisher was asked for it.
  [[nodiscard]] bool IsStale(core::TimePoint as_of,
                             core::TimePoint now) const noexcept;
  /// @brief Time from the last own try to the next, as of now.
  [[nodiscard]] core::Duration Interval(core::TimePoint now) const noexcept;

 private:
  core::InstanceId self_;
  ReaderRoleSettings settings_;
  /// Members of the own failure domain ahead of this one.
  std::size_t rank_ = 0;
  /// Whether any other member of the own failure domain is known.
  bool alone_ = true;
  /// After its first read a member that knows no other waits for news of them:
  /// all start together after a loss of power.
  std::optional<core::TimePoint> alone_until_;
  std::size_t domains_ahead_ = 0;
  /// Last own try.
  std::optional<core::TimePoint> asked_at_;
  /// Last own try in vain.
  std::optional<core::TimePoint> failed_at_;
  /// None until a read, or a try, was told of; never falls.
  std::optional<core::TimePoint> told_at_;
  std::optional<core::TimePoint> tried_at_;
};

}  // namespace chalkwell::membership
