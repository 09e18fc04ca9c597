// What one who reads the published list for others tells them after each read:
// what changed since some reads ago, so that a message that is lost leaves no
// gap, and whoever just started learns the whole list from the first ones.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "chalkwell/routing/endpoint_table.hpp"

namespace chalkwell::routing {

/// @brief The last reads of the list by one process.
class ListHistory {
 public:
  /// @brief Takes a read.
  /// @param complete false when leases may have lapsed while the store was
  /// away: rows that the list lacks are then not told as gone, but as soon as a
  /// complete list lacks them too. Before this was told in such times everyone
  /// read the list itself: 2.5 s after each start and each outage, 600 calls of
  /// 149 members.
  /// @return the change to tell others: the whole list when this process has
  /// read none for a while, since others may have told rows meanwhile that it
  /// never saw.
  EndpointListChange OnRead(std::uint64_t revision,
                            std::vector<EndpointRow> rows, bool complete,
                            core::TimePoint now);

 private:
  struct Read {
    std::uint64_t revision_ = 0;
    std::vector<EndpointRow> rows_;
  };

  [[nodiscard]] EndpointListChange Change(bool complete) const;

  /// In order; a change begins at the first. Before the first read nothing is
  /// known.
  std::deque<Read> reads_{Read{}};
  std::ptrdiff_t complete_in_row_ = 0;
  core::TimePoint read_at_;
};

}  // namespace chalkwell::routing
