// The published list of endpoints at an entry: one entry of the deployment
// reads it often and tells the others what changed; endpoints that leave are
// told at once.
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
#include "daemon/direct/mesh_node.hpp"
#include "daemon/event_log.hpp"

namespace chalkwell::daemon::direct {

/// @brief Settings of a list.
struct EndpointListSettings {
  /// Between two reads of the one who reads for others.
  core::Duration read_interval_ = std::chrono::milliseconds(600);
  /// From the store's word that an endpoint leaves to the last request that may
  /// reach it.
  core::Duration drain_bound_ = std::chrono::milliseconds(2000);
  /// Between two renewals of an endpoint's row.
  core::Duration renewal_interval_ = std::chrono::milliseconds(1200);
};

/// @brief Hooks of a list.
struct EndpointListHooks {
  /// Reads the list now.
  std::function<void()> read_;
  /// Whether the rules in force name a service.
  std::function<bool(const std::string& service)> is_known_service_;
};

/// @brief Keeps an entry's table of endpoints up with the list.
class EndpointList {
 public:
  EndpointList(Loop& loop, routing::EndpointTable& endpoints, MeshNode& mesh,
               EventLog& log, EndpointListSettings settings,
               EndpointListHooks hooks);

  /// @brief The store, or a peer in its place, gave the whole list.
  /// @param from_store whether this process read it itself.
  /// Rows of services that nobody named are left out: they may have another
  /// writer, and one that bears a good endpoint's address would hide it.
  void ApplyRead(StoreSnapshot published, bool from_store);
  /// @brief A member told what it, or another one, read.
  /// @param sent_at when it did, by the own clock.
  void OnListMessage(const membership::Member& teller,
                     const EndpointListMessage& message,
                     core::TimePoint sent_at);
  /// @brief The store did not answer a read.
  void OnReadFailed();
  /// @brief Any entry told which endpoints leave.
  void OnDeparted(const DepartedMessage& departed);
  /// @brief Runs a task once the list is not older than it may be, now if it is
  /// not: a process that stood still chooses nobody by what it believed before.
  /// It waits for one read, also if that fails.
  void WhenFresh(std::function<void()> task);
  /// @brief Time between two own reads, as of now.
  [[nodiscard]] core::Duration Interval();

 private:
  /// @param complete whether no lease can have lapsed unseen.
  void TellOthers(const StoreSnapshot& published, bool complete);
  void TellDeparted(const std::vector<routing::EndpointRow>& before,
                    const std::vector<routing::EndpointRow>& after);
  /// @brief Other failure domains that come before the own one in reading.
  [[nodiscard]] std::size_t DomainsAhead() const;
  [[nodiscard]] bool Stale() const;
  /// @brief A list was taken: what waits for a fresh one runs, or a further
  /// read begins.
  void ServeWaiting();
  void RunWaiting();
  /// @param source whose word is believed.
  void LogChange(const std::string& source);
  void LeaveOutUnnamed(std::vector<routing::EndpointRow>& rows);

  Loop& loop_;
  routing::EndpointTable& endpoints_;
  MeshNode& mesh_;
  EventLog& log_;
  EndpointListHooks hooks_;
  EndpointListSettings settings_;
  /// When a failed read was last told.
  core::TimePoint tried_told_at_;
  membership::ReaderRole duty_;
  membership::StoreOutage outage_;
  /// Tasks that wait for a read.
  std::vector<std::function<void()>> waiting_;
  /// The list as this process itself read it.
  routing::ListHistory history_;
  /// Rows left out of the last read, for the log.
  std::set<core::InstanceId> unnamed_;
};

}  // namespace chalkwell::daemon::direct
