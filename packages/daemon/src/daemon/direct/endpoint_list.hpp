// The endpoint list at an entry. The designated reader of the deployment reads
// the list often and publishes the changes to the other entries; any entry
// publishes draining endpoints as soon as it finds them.
#pragma once

#include <functional>
#include <set>
#include <string>
#include <vector>

#include "chalkwell/membership/reader_role.hpp"
#include "chalkwell/membership/store_outage.hpp"
#include "chalkwell/routing/endpoint_table.hpp"
#include "chalkwell/routing/list_history.hpp"
#include "daemon/direct/adapter.hpp"
#include "daemon/direct/list_exchange.hpp"
#include "daemon/direct/mesh_node.hpp"
#include "daemon/event_log.hpp"
#include "daemon/metrics.hpp"

namespace chalkwell::daemon::direct {

/// @brief Settings of an EndpointList.
struct EndpointListSettings {
  /// Interval between two reads of the designated reader.
  core::Duration read_interval_ = std::chrono::milliseconds(600);
  /// Limit from the store's announcement that an endpoint is draining to the
  /// last request that may reach it.
  core::Duration drain_bound_ = std::chrono::milliseconds(2000);
  /// Interval between two lease renewals of an endpoint's row.
  core::Duration renewal_interval_ = std::chrono::milliseconds(1200);
};

/// @brief Hooks of an EndpointList.
struct EndpointListHooks {
  /// Reads the list now.
  std::function<void()> read_;
  /// The store is in a newer era than the known list.
  std::function<void(std::uint64_t era)> on_era_;
  /// Whether the active rules define a service.
  std::function<bool(const std::string& service)> is_known_service_;
};

/// @brief Keeps an entry's endpoint table up to date with the list.
class EndpointList {
 public:
  EndpointList(Loop& loop, routing::EndpointTable& endpoints, MeshNode& mesh,
               EventLog& log, Metrics& metrics, EndpointListSettings settings,
               EndpointListHooks hooks);

  /// @brief Applies a full list, read from the store or received from a peer.
  ///
  /// Drops rows of services that the rules do not define: they may have another
  /// writer, and such a row with the address of a valid endpoint would hide the
  /// latter.
  /// @param from_store whether this process read the list itself.
  void ApplyRead(StoreSnapshot snapshot, bool from_store);
  /// @brief Applies a list message: a read of the sender or one it forwards, or
  /// a failed read.
  /// @param sent_at when the message was sent, by the local clock.
  void OnListMessage(const membership::Member& sender,
                     const EndpointListMessage& message,
                     core::TimePoint sent_at);
  /// @brief Sets how long this process waits at its start to receive the list
  /// from other entries.
  void WaitForPeers(core::Duration wait) { wait_until_ = loop_.Now() + wait; }
  /// @brief An entry that knows the rules sent a message. While this process
  /// waits for its first list, it fetches the list from that entry.
  void OnPeerReady(const membership::Member& peer);
  /// @brief Responds to a peer's call.
  /// @return false when the call is not a request for the list.
  [[nodiscard]] bool HandleCall(const PeerCallPtr& call) const;
  /// @brief A read of the store failed.
  void OnReadFailed();
  /// @brief An entry published draining or removed endpoints.
  void OnDeparted(const membership::Member& sender,
                  const DepartedMessage& departed);
  /// @brief Runs a task at once if the list is within its age limit, else after
  /// a read: a process that was suspended must not choose an endpoint by its
  /// outdated list. The task also runs when the read fails, or when no read has
  /// returned a list within the age limit for as long as that limit.
  void WhenFresh(std::function<void()> task);
  /// @brief Current interval between two reads of this process.
  [[nodiscard]] core::Duration Interval();

 private:
  /// @brief Applies a list or a change of it, received from a peer.
  /// @param sent_at not later than its sending, by the local clock.
  /// @return false if the change starts after the known revision. True for a
  /// list of an older era, which needs no other one in its place.
  bool ApplyMessage(const membership::Member& sender,
                    const EndpointListMessage& message,
                    core::TimePoint sent_at);
  /// @brief Fetches the full list from a peer, or reads it from the store if
  /// that fails.
  void FetchFrom(const membership::Member& peer);
  /// @brief The list as last published, for peers.
  [[nodiscard]] EndpointListMessage FullList() const;
  /// @brief Publishes a read of this process if it is the designated reader.
  /// @param complete false when leases may have expired during a store outage.
  void PublishRead(const StoreSnapshot& snapshot, bool complete);
  /// @brief Publishes the endpoints that a change of the list shows to be
  /// draining or removed.
  void PublishDeparted(const std::vector<routing::EndpointRow>& before,
                       const std::vector<routing::EndpointRow>& after);
  /// @brief Number of remote failure domains that precede the local one in the
  /// priority order of readers.
  [[nodiscard]] std::size_t DomainsAhead() const;
  [[nodiscard]] bool IsStale() const;
  /// @brief Runs the waiting tasks if the list is within its age limit; else
  /// starts another read for them.
  void RunWaitingIfFresh();
  void StartWait();
  void OnWaitExpired();
  void RunWaitingTasks();
  /// @param source of the applied list: "store", "peer" or a member's id.
  void LogChange(const std::string& source);
  /// @brief Logs and counts a list that was not used because the known one is
  /// newer.
  /// @param source as of LogChange().
  void LogNotUsed(const core::StoreRevision& revision,
                  const std::string& source);
  /// @brief Whether a list is of an older era than the known one: it is not
  /// used and confirms nothing.
  [[nodiscard]] bool IsOfOlderEra(const core::StoreRevision& revision) const;
  /// @brief Records that a list is of a newer era than the known one.
  void NoteEra(const core::StoreRevision& revision);
  /// @brief Reads the list again for the waiting tasks, after a delay.
  void ReadAgainForWaitingTasks();
  void RemoveUnknownServices(std::vector<routing::EndpointRow>& rows);
  /// @brief Completes a truncated read with the known rows of names
  /// that it did not reach.
  void AddUnreadRows(StoreSnapshot& snapshot) const;

  Loop& loop_;
  routing::EndpointTable& endpoints_;
  MeshNode& mesh_;
  EventLog& log_;
  Metrics& metrics_;
  EndpointListHooks hooks_;
  EndpointListSettings settings_;
  /// When a failed read was last announced.
  core::TimePoint read_failure_published_at_;
  /// When a list that was not used was last logged.
  core::TimePoint not_used_logged_at_;
  membership::ReaderRole reader_role_;
  membership::StoreOutage outage_;
  Timer wait_timer_;
  /// When the first of the waiting tasks began to wait, and when a wait last
  /// expired.
  core::TimePoint wait_began_at_;
  core::TimePoint wait_expired_at_;
  ListExchange exchange_;
  core::TimePoint wait_until_;
  /// Tasks of WhenFresh() that wait for a read.
  std::vector<std::function<void()>> waiting_tasks_;
  /// A whole list was read or received. What is known otherwise is not passed
  /// to peers, which would take it for whole.
  bool knows_whole_list_ = false;
  /// Lists that this process read from the store.
  routing::ListHistory history_;
  /// Rows of unknown services in the last list; each is logged once.
  std::set<core::InstanceId> unknown_rows_;
};

}  // namespace chalkwell::daemon::direct
