// While lists may be incomplete the span reaches back to the ones before, since
// none that is gone was told meanwhile. What was otherwise in any of its reads
// is told: one of them may be the last that a receiver heard of.
#include "chalkwell/routing/list_history.hpp"

#include <map>
#include <set>
#include <utility>

namespace chalkwell::routing {
namespace {

/// Complete reads that a change spans at most: whoever lost a message or two
/// learns from the next one, and need not read itself.
constexpr std::ptrdiff_t kSpan = 3;
/// Reads kept while the store comes and goes: 24 s of them. What only one of
/// those dropped listed is forgotten by its receivers at their next own read.
constexpr std::size_t kMostReads = 40;

/// Reads are 0.6 s apart; after this another process has read for the others.
constexpr auto kPause = std::chrono::milliseconds(1500);

}  // namespace

EndpointListChange ListHistory::OnRead(std::uint64_t revision,
                                       std::vector<EndpointRow> rows,
                                       bool complete, core::TimePoint now) {
  if (now - read_at_ > kPause) {
    reads_.assign(1, Read{});
    complete_in_row_ = 0;
  }
  read_at_ = now;
  reads_.push_back({revision, std::move(rows)});
  complete_in_row_ = complete ? complete_in_row_ + 1 : 0;
  if (complete_in_row_ > kSpan) {
    reads_.erase(reads_.begin(), reads_.end() - kSpan - 1);
  } else if (reads_.size() > kMostReads) {
    reads_.erase(reads_.begin() + 1);
  }
  return Change(complete);
}

EndpointListChange ListHistory::Change(bool complete) const {
  const auto& now = reads_.back();
  std::map<core::InstanceId, const EndpointRow*> listed;
  for (const auto& row : now.rows_) {
    listed[row.id_] = &row;
  }
  // Reads in which a row stood as it does now.
  std::map<core::InstanceId, std::size_t> unchanged;
  std::set<core::InstanceId> gone;
  for (const auto& read : reads_) {
    for (const auto& row : read.rows_) {
      const auto found = listed.find(row.id_);
      if (found == listed.end()) {
        gone.insert(row.id_);
      } else if (*found->second == row) {
        ++unchanged[row.id_];
      }
    }
  }
  EndpointListChange change;
  change.from_ = reads_.front().revision_;
  change.to_ = now.revision_;
  change.full_ = change.from_ == 0;
  change.complete_ = complete;
  for (const auto& row : now.rows_) {
    if (unchanged[row.id_] < reads_.size()) {
      change.rows_.push_back(row);
    }
  }
  if (complete) {
    change.removed_.assign(gone.begin(), gone.end());
  }
  return change;
}

}  // namespace chalkwell::routing
