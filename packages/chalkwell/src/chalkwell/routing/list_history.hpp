// One process reads the published list for others and sends them a change after
// each read. This builds the changes. A change spans several reads, so that a
// lost message leaves no gap. The first changes after a start contain the full
// list.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>
#include <vector>

#include "chalkwell/routing/endpoint_table.hpp"

namespace chalkwell::routing {

/// @brief Keeps the most recent reads of the list by this process and builds
/// the changes to publish.
class ListHistory {
 public:
  /// @brief Adds a read.
  ///
  /// After an incomplete read, missing rows are published as removed only once
  /// a complete list lacks them too. Incomplete reads are published as well:
  /// otherwise every process would read the list itself while reads are
  /// incomplete, 2.5 s after each start and each outage of the configuration
  /// store (600 reads by 149 processes).
  /// @param complete false if leases may have lapsed during an outage of the
  /// configuration store.
  /// @return the change to publish; the full list if the last read was longer
  /// ago than kMaxReadGap (1.5 s), since others may meanwhile have published
  /// rows that this process never saw, or of another era.
  EndpointListChange OnRead(core::StoreRevision revision,
                            std::vector<EndpointRow> rows, bool complete,
                            core::TimePoint now);

 private:
  struct Read {
    core::StoreRevision revision_;
    std::vector<EndpointRow> rows_;
  };

  [[nodiscard]] EndpointListChange Change(bool complete) const;

  /// Oldest first; a change spans all of them. Starts with an empty read
  /// without a revision.
  std::deque<Read> reads_{Read{}};
  /// Complete reads since the last incomplete one or the last gap. Signed
  /// because it is compared with the distance of iterators of `reads_`.
  std::ptrdiff_t consecutive_complete_reads_ = 0;
  core::TimePoint last_read_;
};

}  // namespace chalkwell::routing
