// Who takes a published document from its publisher itself: two of each
// failure domain, who hand it on, and one of them while it is large, since a
// region's machines share one link to the publisher. What this costs the
// publisher grows with the number of domains, not of members.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"
#include "chalkwell/membership/role_assignment.hpp"

namespace chalkwell::membership {

/// @brief Settings of a duty.
struct WatcherRoleSettings {
  /// Bytes that a failure domain's members together may take from the publisher
  /// for one change: a tenth of a second of a link of 24 Mbit/s.
  std::size_t budget_ = std::size_t{256} << 10;
  /// Members of a failure domain that watch: one may die, freeze or be turned
  /// away unnoticed for the time of the patience below.
  std::size_t most_ = kWatchersPerDomain;
  /// A first read that lasts this long is one of a large document: a small one
  /// is over after a round trip.
  core::Duration small_read_ = std::chrono::milliseconds(150);
  /// Between two tellings of one who watches a large document.
  core::Duration announce_interval_ = std::chrono::milliseconds(700);
  /// Without a word of one ahead in rank for this long a member watches too:
  /// two intervals, since a datagram is lost now and then.
  core::Duration patience_ = std::chrono::milliseconds(1500);
  /// What each rank waits beyond the one before it.
  core::Duration step_ = std::chrono::milliseconds(400);
};

/// @brief The duty of one member.
class WatcherRole {
 public:
  explicit WatcherRole(core::InstanceId self,
                       WatcherRoleSettings settings = {});

  /// @brief Members of the own failure domain that need the document, this one
  /// included.
  void SetMembers(std::span<const core::InstanceId> members);
  /// @brief The document was heard whole, from whomever.
  void OnDocumentReceived(std::size_t bytes) noexcept { bytes_ = bytes; }
  /// @brief The first read of the document begins.
  void OnFirstReadStarted(core::TimePoint now) noexcept {
    reading_since_ = now;
  }
  /// @brief Another member of the domain said that it watches.
  void OnWatcherAnnounced(const core::InstanceId& member, core::TimePoint now);

  [[nodiscard]] core::Duration announce_interval() const noexcept {
    return settings_.announce_interval_;
  }
  /// @brief The members to whom the duty falls first.
  [[nodiscard]] static std::vector<core::InstanceId> FirstInRank(
      std::span<const core::InstanceId> members, std::size_t count);

  /// @brief Whether this member watches, as of now.
  [[nodiscard]] bool IsWatcher(core::TimePoint now) const;
  /// @brief Members that watch unless one of them falls silent.
  [[nodiscard]] std::size_t WatcherCount(core::TimePoint now) const;
  /// @brief Whether others stay away because this member watches: it has to
  /// tell them.
  [[nodiscard]] bool MustAnnounce(core::TimePoint now) const;

 private:
  core::InstanceId self_;
  WatcherRoleSettings settings_;
  /// In rendezvous order.
  std::vector<core::InstanceId> members_;
  /// Position of this member in `members_`.
  std::size_t rank_ = 0;
  /// 0 until the document was heard.
  std::size_t bytes_ = 0;
  std::optional<core::TimePoint> reading_since_;
  /// Newest word of a member ahead in rank.
  std::optional<core::TimePoint> told_at_;
};

}  // namespace chalkwell::membership
