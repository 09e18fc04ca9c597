// Tracks which incarnation of an endpoint serves at each address. The published
// list contains terminated ones until their leases expire, and requests sent to
// those are refused.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <string>

#include "chalkwell/core/store_revision.hpp"
#include "chalkwell/routing/endpoint_incarnation.hpp"
#include "chalkwell/routing/fwd.hpp"

namespace chalkwell::routing {

/// @brief Incarnations by address, from the published list and from what
/// endpoints announce.
///
/// After a simultaneous restart of all endpoints, their old rows stay listed
/// for 3.6 s. In such a restart without this table, 360 of the 700 attempts
/// within 1.2 s were refused by another incarnation, and half of the load
/// reports were attributed to terminated incarnations.
class IncarnationTable {
 public:
  /// @brief Processes a row of the published list.
  /// @param created list revision at which the row was created; if rows of two
  /// ids have this address, the one created later is current. None if unknown.
  void OnRow(const std::string& address, const EndpointIncarnation& incarnation,
             core::StoreRevision created);
  /// @brief Processes an announcement, by the endpoint or its agent, of the
  /// incarnation that serves at the address. It takes precedence over rows,
  /// since the row of a terminated incarnation may be written late.
  void OnAnnounced(const std::string& address,
                   const EndpointIncarnation& incarnation);
  /// @brief Whether no other incarnation is known to serve at the address.
  [[nodiscard]] bool IsCurrent(const std::string& address,
                               const EndpointIncarnation& incarnation) const;

 private:
  struct AddressState {
    /// Its id is empty while no incarnation is known.
    EndpointIncarnation current_;
    /// Revision that created the row of `current_`; none until its row is
    /// seen.
    core::StoreRevision created_revision_;
    /// Superseded incarnations, newest last; at most kMaxPrevious.
    std::deque<EndpointIncarnation> previous_;
  };

  static void Supersede(AddressState& state,
                        const EndpointIncarnation& incarnation);

  std::map<std::string, AddressState> addresses_;
};

}  // namespace chalkwell::routing
