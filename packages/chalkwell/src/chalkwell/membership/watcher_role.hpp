// Selects the watchers of a published document: two members of each failure
// domain, or one if the document exceeds half of `max_bytes_per_domain_`,
// receive it from the configuration store and forward it. The machines of a
// failure domain share one link to the store, so few of them receive a large
// document over it. The load on the store grows with the number of failure
// domains, not with that of members. Used for the traffic rules; for the
// endpoint list, which is polled, see ReaderRole.
#pragma once

#include <cstddef>
#include <optional>
#include <span>
#include <vector>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"
#include "chalkwell/membership/role_assignment.hpp"

namespace chalkwell::membership {

struct WatcherRoleSettings {
  /// Bytes that the members of a failure domain together may receive from the
  /// store for one change. Chosen for a shared link of 24 Mbit/s, which they
  /// occupy for 0.1 s.
  std::size_t max_bytes_per_domain_ = std::size_t{256} << 10;
  /// Watchers per failure domain: one may crash, hang or be refused by the
  /// store without being noticed for `takeover_timeout_`.
  std::size_t max_watchers_ = kWatchersPerDomain;
  /// A first read that takes this long is taken for that of a large document,
  /// for which one member watches; a small one completes within a round trip.
  core::Duration small_read_limit_ = std::chrono::milliseconds(150);
  /// Time between two announcements of a watcher.
  core::Duration announce_interval_ = std::chrono::milliseconds(700);
  /// Without an announcement by a member ahead in rank for this long, a member
  /// watches too. A little more than two announcement intervals, since
  /// datagrams may be lost.
  core::Duration takeover_timeout_ = std::chrono::milliseconds(1500);
  /// Additional takeover delay per rank.
  core::Duration rank_delay_ = std::chrono::milliseconds(400);
  /// Delay per rank of a read of a large document that is overdue. Read by all
  /// members at once, it would fill the link that they share.
  core::Duration read_rank_delay_ = std::chrono::milliseconds(100);
};

/// @brief Decides whether one member is a watcher.
class WatcherRole {
 public:
  explicit WatcherRole(core::InstanceId self,
                       WatcherRoleSettings settings = {});

  /// @brief Sets the members of the local failure domain that need the
  /// document, including this one.
  void SetMembers(std::span<const core::InstanceId> members);
  /// @brief The complete document was received, from the store or a peer.
  void OnDocumentReceived(std::size_t bytes) noexcept { bytes_ = bytes; }
  void OnFirstReadStarted(core::TimePoint now) noexcept {
    reading_since_ = now;
  }
  /// @brief Another member of the local failure domain announced that it
  /// watches.
  void OnWatcherAnnounced(const core::InstanceId& member, core::TimePoint now);

  [[nodiscard]] core::Duration announce_interval() const noexcept {
    return settings_.announce_interval_;
  }
  /// @brief The first `count` members in the priority order of watchers.
  [[nodiscard]] static std::vector<core::InstanceId> FirstInRank(
      std::span<const core::InstanceId> members, std::size_t count);

  [[nodiscard]] bool IsWatcher(core::TimePoint now) const;
  /// @brief Number of watchers without takeovers: `max_watchers_`, or fewer for
  /// a large document.
  [[nodiscard]] std::size_t WatcherCount(core::TimePoint now) const;
  /// @brief How much later than the first one this member reads an overdue
  /// document; zero for a small document.
  [[nodiscard]] core::Duration ReadDelay(core::TimePoint now) const;
  /// @brief Whether this member must send announcements: it watches, and other
  /// members of the domain do not as long as they receive announcements.
  [[nodiscard]] bool MustAnnounce(core::TimePoint now) const;

 private:
  core::InstanceId self_;
  WatcherRoleSettings settings_;
  /// In priority order.
  std::vector<core::InstanceId> members_;
  /// Index of this member in `members_`.
  std::size_t rank_ = 0;
  /// Size of the document; 0 until it was received.
  std::size_t bytes_ = 0;
  /// Start of the first read of the document.
  std::optional<core::TimePoint> reading_since_;
  /// Last announcement by a member ahead in rank.
  std::optional<core::TimePoint> announced_at_;
};

}  // namespace chalkwell::membership
