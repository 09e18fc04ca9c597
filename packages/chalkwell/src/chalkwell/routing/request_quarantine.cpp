// Standings follow from the merged crashes alone, so that entries which hold
// the same records agree.
#include "chalkwell/routing/request_quarantine.hpp"

#include <algorithm>
#include <utility>

namespace chalkwell::routing {
namespace {

core::TimePoint LastCrash(const CrashRecord& record) {
  return record.crashes_.empty() ? core::TimePoint{}
                                 : record.crashes_.back().crashed_at_;
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

RequestQuarantine::Entry& RequestQuarantine::EntryOf(
    const RequestDigest& request) {
  const auto found = entries_.find(request);
  if (found != entries_.end()) {
    return found->second;
  }
  MakeRoom();
  auto& entry = entries_[request];
  entry.record_.request_ = request;
  return entry;
}

void RequestQuarantine::MakeRoom() {
  if (entries_.size() < settings_.max_records_) {
    return;
  }
  const auto oldest = std::ranges::min_element(
      entries_, {},
      [](const auto& row) { return LastCrash(row.second.record_); });
  entries_.erase(oldest);
}

bool RequestQuarantine::Insert(Entry& entry, const EndpointCrash& crash) {
  auto& crashes = entry.record_.crashes_;
  const auto known =
      std::ranges::find_if(crashes, [&](const EndpointCrash& other) {
        return SameIncarnation(other.endpoint_, crash.endpoint_);
      });
  if (known != crashes.end()) {
    const bool cleared = crash.cleared_ && !known->cleared_;
    known->cleared_ = known->cleared_ || crash.cleared_;
    return cleared;
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
  return found != completions_.end() && found->second >= crash.crashed_at_;
}

void RequestQuarantine::ForgetCompletions(core::TimePoint now) {
  while (!completion_order_.empty()) {
    const auto& [at, request] = completion_order_.front();
    if (completion_order_.size() <= settings_.max_completions_ &&
        now - at < settings_.completion_retention_) {
      return;
    }
    const auto found = completions_.find(request);
    if (found != completions_.end() && found->second == at) {
      completions_.erase(found);
    }
    completion_order_.pop_front();
  }
}

bool RequestQuarantine::OnCompleted(const RequestDigest& request,
                                    core::TimePoint now) {
  completions_[request] = now;
  completion_order_.emplace_back(now, request);
  ForgetCompletions(now);
  return Clear(request);
}

bool RequestQuarantine::AddCrash(const RequestDigest& request,
                                 const EndpointCrash& crash) {
  auto& entry = EntryOf(request);
  auto known = crash;
  known.cleared_ = known.cleared_ || CompletedAfter(request, crash);
  if (!Insert(entry, known)) {
    return false;
  }
  entry.sampled_ = 0;
  entry.trial_until_ = {};
  return true;
}

MergeResult RequestQuarantine::Merge(const CrashRecord& record) {
  MergeResult result;
  for (const auto& crash : record.crashes_) {
    if (AddCrash(record.request_, crash)) {
      result.changed_ = true;
      result.cleared_ =
          result.cleared_ ||
          (!crash.cleared_ && CompletedAfter(record.request_, crash));
    }
  }
  return result;
}

bool RequestQuarantine::Clear(const RequestDigest& request) {
  const auto found = entries_.find(request);
  if (found == entries_.end()) {
    return false;
  }
  bool blamed = false;
  for (auto& crash : found->second.record_.crashes_) {
    blamed = blamed || !crash.cleared_;
    crash.cleared_ = true;
  }
  if (blamed) {
    found->second.sampled_ = 0;
    found->second.trial_until_ = {};
  }
  return blamed;
}

void RequestQuarantine::Expire(core::TimePoint now) {
  std::erase_if(entries_, [&](const auto& row) {
    return now - LastCrash(row.second.record_) >= settings_.record_retention_;
  });
  ForgetCompletions(now);
}

void RequestQuarantine::SetTrialUntil(const RequestDigest& request,
                                      core::TimePoint until) {
  const auto found = entries_.find(request);
  if (found != entries_.end()) {
    found->second.trial_until_ = until;
  }
}

bool RequestQuarantine::TrialActive(const RequestDigest& request,
                                    core::TimePoint now) const {
  const auto found = entries_.find(request);
  return found != entries_.end() && now < found->second.trial_until_;
}

void RequestQuarantine::Add(Causes& causes, const EndpointCrash& crash) const {
  if (crash.cleared_) {
    return;
  }
  const bool apart =
      crash.crashed_at_ - causes.last_ >= settings_.same_cause_window_;
  const auto sent_at = crash.crashed_at_ - crash.elapsed_;
  const bool sent_after = crash.elapsed_ >= settings_.min_run_time_ &&
                          sent_at >= causes.last_ - settings_.max_clock_error_;
  if (causes.count_ == 0) {
    causes.first_ = crash.crashed_at_;
  } else if (!apart && !sent_after) {
    return;
  }
  ++causes.count_;
  causes.last_ = crash.crashed_at_;
}

RequestQuarantine::Causes RequestQuarantine::CausesOf(
    const RequestDigest& request) const {
  Causes causes;
  if (const auto* record = Find(request)) {
    for (const auto& crash : record->crashes_) {
      Add(causes, crash);
    }
  }
  return causes;
}

std::size_t RequestQuarantine::AttributedCrashes(
    const RequestDigest& request) const {
  return CausesOf(request).count_;
}

std::size_t RequestQuarantine::AttributedCrashesWith(
    const RequestDigest& request, const EndpointCrash& crash) const {
  auto causes = CausesOf(request);
  Add(causes, crash);
  return causes.count_;
}

core::Duration RequestQuarantine::TermAfter(std::size_t blames) const {
  auto term = settings_.initial_duration_;
  for (auto n = settings_.quarantined_after_; n < blames; ++n) {
    term = std::min(2 * term, settings_.max_duration_);
  }
  return term;
}

core::TimePoint RequestQuarantine::QuarantinedUntil(
    const RequestDigest& request) const {
  const auto causes = CausesOf(request);
  const bool quarantined =
      causes.count_ >= settings_.quarantined_after_ &&
      causes.last_ - causes.first_ >= settings_.same_cause_window_;
  return quarantined ? causes.last_ + TermAfter(causes.count_)
                     : core::TimePoint{};
}

Standing RequestQuarantine::StandingOf(const RequestDigest& request,
                                       core::TimePoint now) const {
  if (entries_.empty()) {
    return Standing::kClear;
  }
  const auto blames = AttributedCrashes(request);
  if (blames < settings_.suspected_after_) {
    return Standing::kClear;
  }
  return now < QuarantinedUntil(request) ? Standing::kQuarantined
                                         : Standing::kSuspected;
}

const CrashRecord* RequestQuarantine::Find(const RequestDigest& request) const {
  const auto found = entries_.find(request);
  return found == entries_.end() ? nullptr : &found->second.record_;
}

std::vector<CrashRecord> RequestQuarantine::Records() const {
  std::vector<CrashRecord> records;
  records.reserve(entries_.size());
  for (const auto& [request, entry] : entries_) {
    records.push_back(entry.record_);
  }
  return records;
}

std::vector<CrashRecord> RequestQuarantine::Sample(std::size_t most) {
  struct Candidate {
    Entry* entry_;
    bool clear_;
  };
  std::vector<Candidate> order;
  order.reserve(entries_.size());
  for (auto& [request, entry] : entries_) {
    const bool clear = AttributedCrashes(request) < settings_.suspected_after_;
    if (!clear || entry.sampled_ < settings_.max_clear_samples_) {
      order.push_back({&entry, clear});
    }
  }
  const auto count = std::min(most, order.size());
  std::ranges::partial_sort(
      order, order.begin() + static_cast<std::ptrdiff_t>(count), {},
      [](const Candidate& candidate) {
        return std::pair(candidate.clear_, candidate.entry_->sampled_);
      });
  std::vector<CrashRecord> records;
  records.reserve(count);
  for (std::size_t i = 0; i < count; ++i) {
    ++order[i].entry_->sampled_;
    records.push_back(order[i].entry_->record_);
  }
  return records;
}

}  // namespace chalkwell::routing
