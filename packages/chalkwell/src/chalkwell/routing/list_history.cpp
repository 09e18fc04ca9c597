// While reads are incomplete, a change spans back to the last complete ones,
// since no removals were published in between. A change contains every row that
// differs in any read of the span, because any of these reads may be the last
// one whose change a receiver got.
#include "chalkwell/routing/list_history.hpp"

#include <map>
#include <set>
#include <utility>

namespace chalkwell::routing {
namespace {

/// Complete reads that a change spans at most. A receiver that lost one or two
/// messages catches up with the next one without reading the list itself.
constexpr std::ptrdiff_t kSpan = 3;
/// Reads kept while the configuration store is intermittently unavailable; 24 s
/// of them. A row that only a dropped read contained is removed by receivers at
/// their own next read of the list.
constexpr std::size_t kMaxReads = 40;

/// Reads are 0.6 s apart. After a longer gap another process has read the list
/// for the others in the meantime.
constexpr auto kMaxReadGap = std::chrono::milliseconds(1500);

}  // namespace

EndpointListChange ListHistory::OnRead(core::StoreRevision revision,
                                       std::vector<EndpointRow> rows,
                                       bool complete, core::TimePoint now) {
  // A change between two eras would lack what the store lost.
  const bool returned = reads_.back().revision_.era_ != revision.era_;
  if (now - last_read_ > kMaxReadGap || returned) {
    reads_.assign(1, Read{});
    consecutive_complete_reads_ = 0;
  }
  last_read_ = now;
  reads_.push_back({revision, std::move(rows)});
  consecutive_complete_reads_ = complete ? consecutive_complete_reads_ + 1 : 0;
  if (consecutive_complete_reads_ > kSpan) {
    reads_.erase(reads_.begin(), reads_.end() - kSpan - 1);
  } else if (reads_.size() > kMaxReads) {
    reads_.erase(reads_.begin() + 1);
  }
  return Change(complete);
}

EndpointListChange ListHistory::Change(bool complete) const {
  const auto& latest = reads_.back();
  std::map<core::InstanceId, const EndpointRow*> listed;
  for (const auto& row : latest.rows_) {
    listed[row.id_] = &row;
  }
  // Number of reads in which a row equals its latest state.
  std::map<core::InstanceId, std::size_t> unchanged;
  std::set<core::InstanceId> removed;
  for (const auto& read : reads_) {
    for (const auto& row : read.rows_) {
      const auto found = listed.find(row.id_);
      if (found == listed.end()) {
        removed.insert(row.id_);
      } else if (*found->second == row) {
        ++unchanged[row.id_];
      }
    }
  }
  EndpointListChange change;
  change.from_ = reads_.front().revision_;
  change.to_ = latest.revision_;
  change.full_ = !change.from_.known();
  change.complete_ = complete;
  for (const auto& row : latest.rows_) {
    if (unchanged[row.id_] < reads_.size()) {
      change.rows_.push_back(row);
    }
  }
  if (complete) {
    change.removed_.assign(removed.begin(), removed.end());
  }
  return change;
}

}  // namespace chalkwell::routing
