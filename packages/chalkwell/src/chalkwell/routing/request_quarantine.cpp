// A standing depends only on the merged crashes and the time, so that entries
// with the same records agree.
#include "chalkwell/routing/request_quarantine.hpp"

#include <algorithm>
#include <set>
#include <utility>

namespace chalkwell::routing {
namespace {

/// One of this many records is evicted when the table is full.
constexpr std::size_t kEvictedShare = 8;

constexpr std::int64_t kMaxTrialDoublings = 32;

core::TimePoint LastCrash(const CrashRecord& record) {
  return record.crashes_.empty() ? core::TimePoint{}
                                 : record.crashes_.back().crashed_at_;
}

bool HasCrashAt(const std::vector<EndpointCrash>& crashes,
                const EndpointIncarnation& endpoint) {
  return std::ranges::any_of(crashes, [&](const EndpointCrash& crash) {
    return MayBeSameIncarnation(crash.endpoint_, endpoint);
  });
}

}  // namespace

std::string_view ToString(Standing standing) noexcept {
  switch (standing) {
    case Standing::kClear:
      return "clear";
    case Standing::kSuspected:
      return "suspected";
    case Standing::kQuarantined:
      return "quarantined";
  }
  return "clear";
}

RequestQuarantine::Row& RequestQuarantine::RowOf(const RequestDigest& request) {
  const auto found = table_.find(request);
  if (found != table_.end()) {
    return found->second;
  }
  EvictIfFull();
  auto& row = table_[request];
  row.record_.request_ = request;
  return row;
}

void RequestQuarantine::EvictIfFull() {
  if (table_.size() < settings_.max_records_) {
    return;
  }
  struct Candidate {
    std::size_t crashes_;
    core::TimePoint last_crash_;
    RequestDigest request_;

    auto operator<=>(const Candidate&) const = default;
  };
  std::vector<Candidate> order;
  order.reserve(table_.size());
  for (const auto& [request, row] : table_) {
    order.push_back(
        {AttributedCrashes(request), LastCrash(row.record_), request});
  }
  const auto count = std::max<std::size_t>(1, order.size() / kEvictedShare);
  const auto end = order.begin() + static_cast<std::ptrdiff_t>(count);
  std::ranges::nth_element(order, end - 1);
  std::for_each(order.begin(), end, [this](const Candidate& candidate) {
    table_.erase(candidate.request_);
  });
  evicted_ += count;
}

bool RequestQuarantine::Insert(Row& row, const EndpointCrash& crash) {
  auto& crashes = row.record_.crashes_;
  const auto known =
      std::ranges::find_if(crashes, [&](const EndpointCrash& other) {
        return MayBeSameIncarnation(other.endpoint_, crash.endpoint_);
      });
  if (known != crashes.end()) {
    const auto before = std::pair(known->cleared_, known->widespread_);
    known->cleared_ = known->cleared_ || crash.cleared_;
    known->widespread_ = known->widespread_ && crash.widespread_;
    return before != std::pair(known->cleared_, known->widespread_);
  }
  const auto later = std::ranges::upper_bound(crashes, crash.crashed_at_, {},
                                              &EndpointCrash::crashed_at_);
  if (crashes.size() >= settings_.max_crashes_ && later == crashes.begin()) {
    return false;
  }
  crashes.insert(later, crash);
  if (crashes.size() > settings_.max_crashes_) {
    crashes.erase(crashes.begin());
  }
  return true;
}

bool RequestQuarantine::CompletedAfter(const RequestDigest& request,
                                       const EndpointCrash& crash) const {
  const auto found = completions_.find(request);
  return found != completions_.end() &&
         found->second->first >= crash.crashed_at_;
}

void RequestQuarantine::ExpireCompletions(core::TimePoint now) {
  while (!completion_order_.empty()) {
    const auto& [at, request] = completion_order_.front();
    if (completion_order_.size() <= settings_.max_completions_ &&
        now - at < settings_.completion_retention_) {
      return;
    }
    completions_.erase(request);
    completion_order_.pop_front();
  }
}

bool RequestQuarantine::OnCompleted(const RequestDigest& request,
                                    core::TimePoint now) {
  const auto [found, added] = completions_.try_emplace(request);
  if (added) {
    found->second =
        completion_order_.emplace(completion_order_.end(), now, request);
  } else {
    found->second->first = now;
    completion_order_.splice(completion_order_.end(), completion_order_,
                             found->second);
  }
  ExpireCompletions(now);
  return Clear(request);
}

bool RequestQuarantine::AddCrash(const RequestDigest& request,
                                 const EndpointCrash& crash) {
  auto& row = RowOf(request);
  auto added = crash;
  added.cleared_ = added.cleared_ || IsInnocent(request, crash);
  if (!Insert(row, added)) {
    return false;
  }
  row.times_selected_ = 0;
  row.trial_until_ = {};
  return true;
}

MergeResult RequestQuarantine::Merge(const CrashRecord& record) {
  MergeResult result;
  for (const auto& crash : record.crashes_) {
    const bool cleared = !crash.cleared_ && IsInnocent(record.request_, crash);
    if (AddCrash(record.request_, crash)) {
      result.changed_ = true;
      result.cleared_ = result.cleared_ || cleared;
    }
  }
  return result;
}

bool RequestQuarantine::Clear(const RequestDigest& request) {
  const auto found = table_.find(request);
  if (found == table_.end()) {
    return false;
  }
  bool attributed = false;
  for (auto& crash : found->second.record_.crashes_) {
    attributed = attributed || !crash.cleared_;
    crash.cleared_ = true;
  }
  if (attributed) {
    found->second.times_selected_ = 0;
    found->second.trial_until_ = {};
  }
  return attributed;
}

bool RequestQuarantine::IsExplained(const RequestDigest& request,
                                    const EndpointCrash& crash) const {
  if (!completions_.contains(request)) {
    return false;
  }
  return std::ranges::any_of(table_, [&](const auto& item) {
    const auto& [other, row] = item;
    const auto& crashes = row.record_.crashes_;
    return other != request &&
           crashes.size() >= settings_.quarantined_crashes_ &&
           HasCrashAt(crashes, crash.endpoint_) &&
           !completions_.contains(other) &&
           QuarantinedUntil(other) > crash.crashed_at_;
  });
}

bool RequestQuarantine::ClearShared(Row& row, const CrashRecord& other) {
  bool changed = false;
  for (auto& crash : row.record_.crashes_) {
    if (!crash.cleared_ && HasCrashAt(other.crashes_, crash.endpoint_)) {
      crash.cleared_ = true;
      changed = true;
    }
  }
  if (changed) {
    row.times_selected_ = 0;
    row.trial_until_ = {};
  }
  return changed;
}

std::vector<RequestDigest> RequestQuarantine::ClearExplainedBy(
    const RequestDigest& quarantined, core::TimePoint now) {
  ExpireCompletions(now);
  std::vector<RequestDigest> cleared;
  const auto* cause = Find(quarantined);
  if (cause == nullptr || completions_.contains(quarantined)) {
    return cleared;
  }
  for (auto& [request, row] : table_) {
    if (request != quarantined && completions_.contains(request) &&
        ClearShared(row, *cause)) {
      cleared.push_back(request);
    }
  }
  return cleared;
}

void RequestQuarantine::Expire(core::TimePoint now) {
  std::erase_if(table_, [&](const auto& row) {
    return now - LastCrash(row.second.record_) >= settings_.record_retention_;
  });
  ExpireCompletions(now);
}

void RequestQuarantine::SetTrialUntil(const RequestDigest& request,
                                      core::TimePoint until) {
  const auto found = table_.find(request);
  if (found != table_.end()) {
    found->second.trial_until_ = until;
  }
}

bool RequestQuarantine::TrialActive(const RequestDigest& request,
                                    core::TimePoint now) const {
  const auto found = table_.find(request);
  return found != table_.end() && now < found->second.trial_until_;
}

void RequestQuarantine::CountIfIndependent(Attribution& attribution,
                                           const EndpointCrash& crash) const {
  if (crash.cleared_) {
    return;
  }
  const bool separate =
      crash.crashed_at_ - attribution.last_ >= settings_.same_cause_window_;
  const auto sent_at = crash.crashed_at_ - crash.elapsed_;
  const bool sent_after =
      crash.elapsed_ >= settings_.min_run_time_ &&
      sent_at >= attribution.last_ - settings_.max_clock_error_;
  if (attribution.half_crashes_ == 0) {
    attribution.first_ = crash.crashed_at_;
  } else if (!separate && !sent_after) {
    return;
  }
  attribution.half_crashes_ += crash.widespread_ ? 1 : 2;
  attribution.last_ = crash.crashed_at_;
}

RequestQuarantine::Attribution RequestQuarantine::AttributionOf(
    const RequestDigest& request) const {
  Attribution attribution;
  if (const auto* record = Find(request)) {
    for (const auto& crash : record->crashes_) {
      CountIfIndependent(attribution, crash);
    }
  }
  return attribution;
}

std::size_t RequestQuarantine::AttributedCrashes(
    const RequestDigest& request) const {
  return AttributionOf(request).crashes();
}

std::size_t RequestQuarantine::AttributedCrashesWith(
    const RequestDigest& request, const EndpointCrash& crash) const {
  auto attribution = AttributionOf(request);
  CountIfIndependent(attribution, crash);
  return attribution.crashes();
}

core::Duration RequestQuarantine::QuarantineDuration(
    std::size_t crashes) const {
  auto duration = settings_.initial_quarantine_;
  for (auto n = settings_.quarantined_crashes_; n < crashes; ++n) {
    duration = std::min(2 * duration, settings_.max_quarantine_);
  }
  return duration;
}

core::TimePoint RequestQuarantine::QuarantinedUntil(
    const RequestDigest& request) const {
  const auto attribution = AttributionOf(request);
  const bool quarantined =
      attribution.crashes() >= settings_.quarantined_crashes_ &&
      attribution.last_ - attribution.first_ >= settings_.same_cause_window_;
  return quarantined
             ? attribution.last_ + QuarantineDuration(attribution.crashes())
             : core::TimePoint{};
}

Standing RequestQuarantine::StandingOf(const RequestDigest& request,
                                       core::TimePoint now) const {
  if (table_.empty()) {
    return Standing::kClear;
  }
  const auto crashes = AttributedCrashes(request);
  if (crashes < settings_.suspected_crashes_) {
    return Standing::kClear;
  }
  return now < QuarantinedUntil(request) ? Standing::kQuarantined
                                         : Standing::kSuspected;
}

bool RequestQuarantine::Explains(const CrashRecord& other,
                                 const CrashRecord& record) const {
  const auto unexplained = static_cast<std::size_t>(
      std::ranges::count_if(record.crashes_, [&](const EndpointCrash& crash) {
        return !crash.cleared_ &&
               std::ranges::none_of(
                   other.crashes_, [&](const EndpointCrash& each) {
                     return !each.cleared_ &&
                            MayBeSameIncarnation(each.endpoint_,
                                                 crash.endpoint_);
                   });
      }));
  return unexplained == 0 || (other.request_.is_part() &&
                              unexplained < settings_.suspected_crashes_);
}

bool RequestQuarantine::WouldDistinguish(const std::vector<RequestDigest>& held,
                                         core::TimePoint now) const {
  const std::set sorted(held.begin(), held.end());
  std::vector<const CrashRecord*> suspects;
  std::vector<const CrashRecord*> others;
  for (const auto& [request, row] : table_) {
    if (row.record_.crashes_.size() < settings_.suspected_crashes_) {
      continue;
    }
    const auto standing = StandingOf(request, now);
    if (!sorted.contains(request)) {
      if (standing != Standing::kClear) {
        others.push_back(&row.record_);
      }
    } else if (standing == Standing::kQuarantined) {
      if (AttributedCrashes(request) >= settings_.max_explained_crashes_) {
        return false;
      }
      suspects.push_back(&row.record_);
    }
  }
  const CrashRecord* last = nullptr;
  return std::ranges::all_of(suspects, [&](const CrashRecord* suspect) {
    // Prompt parts that were always in flight together have equal crashes.
    if (last != nullptr && last->crashes_ == suspect->crashes_) {
      return true;
    }
    last = suspect;
    return std::ranges::any_of(others, [&](const CrashRecord* other) {
      return Explains(*other, *suspect);
    });
  });
}

const RequestDigest* RequestQuarantine::FindQuarantined(
    const std::vector<RequestDigest>& held, core::TimePoint now) const {
  const auto found =
      std::ranges::find_if(held, [&](const RequestDigest& request) {
        return StandingOf(request, now) == Standing::kQuarantined;
      });
  return found == held.end() ? nullptr : &*found;
}

QuarantineDecision RequestQuarantine::Decide(
    const std::vector<RequestDigest>& held, const QuarantineHooks& hooks,
    core::TimePoint now) const {
  if (table_.empty()) {
    return {};
  }
  const auto* quarantined = FindQuarantined(held, now);
  if (quarantined != nullptr && !WouldDistinguish(held, now)) {
    return {QuarantineVerdict::kQuarantined, *quarantined};
  }
  for (const auto& request : held) {
    const bool suspected = StandingOf(request, now) != Standing::kClear;
    if (suspected && (TrialActive(request, now) || hooks.in_flight_(request))) {
      return {QuarantineVerdict::kTrialPending, request};
    }
  }
  if (quarantined != nullptr && !MayStartTrial(held, hooks.rank_(), now)) {
    return {QuarantineVerdict::kTrialPending, *quarantined};
  }
  return {};
}

bool RequestQuarantine::MaySend(const std::vector<RequestDigest>& held,
                                core::TimePoint now) const {
  return table_.empty() || FindQuarantined(held, now) == nullptr ||
         WouldDistinguish(held, now);
}

bool RequestQuarantine::MayStartTrial(const std::vector<RequestDigest>& held,
                                      std::size_t rank,
                                      core::TimePoint now) const {
  core::TimePoint last;
  for (const auto& request : held) {
    last = std::max(last, AttributionOf(request).last_);
  }
  const auto intervals = std::clamp<std::int64_t>(
      (now - last) / settings_.trial_interval_, 0, kMaxTrialDoublings);
  return rank < (std::size_t{1} << intervals);
}

const CrashRecord* RequestQuarantine::Find(const RequestDigest& request) const {
  const auto found = table_.find(request);
  return found == table_.end() ? nullptr : &found->second.record_;
}

std::vector<CrashRecord> RequestQuarantine::Records() const {
  std::vector<CrashRecord> records;
  records.reserve(table_.size());
  for (const auto& [request, row] : table_) {
    records.push_back(row.record_);
  }
  return records;
}

std::vector<CrashRecord> RequestQuarantine::Sample(std::size_t max_count) {
  struct Candidate {
    Row* row_;
    bool clear_;
  };
  std::vector<Candidate> order;
  order.reserve(table_.size());
  for (auto& [request, row] : table_) {
    const bool clear =
        AttributedCrashes(request) < settings_.suspected_crashes_;
    if (!clear || row.times_selected_ < settings_.max_clear_sends_) {
      order.push_back({&row, clear});
    }
  }
  std::ranges::sort(order, {}, [](const Candidate& candidate) {
    return std::pair(candidate.clear_, candidate.row_->times_selected_);
  });
  std::vector<CrashRecord> records;
  std::vector<const std::vector<EndpointCrash>*> lists;
  for (const auto& candidate : order) {
    const auto& crashes = candidate.row_->record_.crashes_;
    const bool listed = std::ranges::any_of(
        lists, [&](const auto* list) { return *list == crashes; });
    if (records.size() == settings_.max_sampled_records_ ||
        (!listed && lists.size() == max_count)) {
      continue;
    }
    if (!listed) {
      lists.push_back(&crashes);
    }
    ++candidate.row_->times_selected_;
    records.push_back(candidate.row_->record_);
  }
  return records;
}

}  // namespace chalkwell::routing
