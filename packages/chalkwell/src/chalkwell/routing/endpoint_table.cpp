// Load reports cover the requests of all entries. Requests that this entry sent
// since the last report are added to them.
#include "chalkwell/routing/endpoint_table.hpp"

#include <algorithm>
#include <functional>
#include <utility>

#include "chalkwell/core/milliseconds.hpp"

namespace chalkwell::routing {
namespace {

/// Weight of a new sample in the means of waits and excess delays.
constexpr double kWaitWeight = 0.2;
/// Weight of a new sample in the failure rate.
constexpr double kFailureWeight = 0.3;
/// Maximum number of removed, and of draining, incarnations remembered; enough
/// for several minutes in a large deployment.
constexpr std::size_t kMaxRemembered = 512;
/// Earlier incarnations of one id that delayed messages may still refer to.
constexpr std::size_t kMaxPreviousStarts = 8;

}  // namespace

EndpointTable::EndpointTable(EndpointTableSettings settings, std::uint64_t seed,
                             EndpointTableFaults faults)
    : settings_(std::move(settings)),
      random_(seed),
      faults_(faults),
      rate_limit_senders_({settings_.entry_, settings_.domain_}) {}

EndpointTable::Endpoint* EndpointTable::Find(const core::InstanceId& id) {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

bool EndpointTable::IsOlder(const core::StoreRevision& revision) const {
  if (faults_.ignore_era_) {
    return revision.number_ < revision_.number_;
  }
  if (faults_.accept_older_era_ && revision.era_ < revision_.era_) {
    return false;
  }
  return revision < revision_;
}

bool EndpointTable::Continues(const core::StoreRevision& from,
                              const core::StoreRevision& to) const {
  if (faults_.ignore_era_) {
    return from.number_ <= revision_.number_;
  }
  return to.era_ == revision_.era_ && from <= revision_;
}

void EndpointTable::ConfirmAsOf(const core::StoreRevision& revision,
                                core::TimePoint as_of) noexcept {
  const bool confirms =
      faults_.ignore_era_ ||
      (revision.era_ == revision_.era_ && revision <= revision_);
  if (confirms) {
    as_of_ = std::max(as_of_, as_of);
  }
}

void EndpointTable::OnStoreReturned(core::TimePoint now) {
  as_of_ = {};
  hold_restored_until_ = now + settings_.restored_row_hold_;
}

bool EndpointTable::ApplyList(std::vector<EndpointRow> rows,
                              core::StoreRevision revision, bool complete,
                              core::TimePoint now, core::TimePoint as_of) {
  if (IsOlder(revision)) {
    return false;
  }
  if (has_list() && revision.era_ != revision_.era_) {
    OnStoreReturned(now);
    // A row of this list is later than each row of an older era. The row of the
    // current incarnation must precede those of earlier ones at its address.
    std::ranges::stable_sort(rows, std::greater{},
                             &EndpointRow::created_revision_);
  }
  revision_ = revision;
  for (auto& [id, endpoint] : endpoints_) {
    endpoint.listed_ = false;
    if (!endpoint.missing_since_) {
      endpoint.missing_since_ = now;
    }
  }
  for (auto& row : rows) {
    ApplyRow(std::move(row), now);
  }
  EraseMissing(complete ? core::Duration{} : settings_.missing_row_grace_, now);
  if (complete) {
    EraseUnlisted(as_of);
  }
  return true;
}

bool EndpointTable::Endpoint::IsPreviousStart(
    const std::optional<core::StartTime>& started) const {
  return started && std::ranges::find(previous_starts_, *started) !=
                        previous_starts_.end();
}

void EndpointTable::BeginIncarnation(Endpoint& endpoint, EndpointRow row,
                                     core::TimePoint now) {
  Endpoint next;
  next.in_subset_ = endpoint.in_subset_;
  next.subset_score_ = endpoint.subset_score_;
  next.listed_ = endpoint.listed_;
  next.previous_starts_ = std::move(endpoint.previous_starts_);
  if (endpoint.row_.started_) {
    next.previous_starts_.push_back(*endpoint.row_.started_);
  }
  if (next.previous_starts_.size() > kMaxPreviousStarts) {
    next.previous_starts_.pop_front();
  }
  if (row.started_) {
    // A delayed row may have made an earlier incarnation the current one. If a
    // report then shows that this one is current, it is not a previous one.
    std::erase(next.previous_starts_, *row.started_);
  }
  next.row_ = std::move(row);
  next.row_.leaving_ =
      next.row_.leaving_ || HasAnnouncedDraining(next.row_.incarnation());
  endpoint = std::move(next);
  BeginSlowStart(endpoint, now);
  ApplySlowStart(endpoint, nullptr, now);
}

const config::SlowStart* EndpointTable::SlowStartOf(
    const std::string& service) const {
  const auto found = slow_starts_.find(service);
  return found == slow_starts_.end() || !found->second.limited()
             ? nullptr
             : &found->second;
}

void EndpointTable::BeginSlowStart(Endpoint& endpoint,
                                   core::TimePoint now) const {
  if (const auto* limit = SlowStartOf(endpoint.row_.service_)) {
    endpoint.slow_start_.Begin(now, now + limit->duration_);
  }
}

void EndpointTable::ApplySlowStart(Endpoint& endpoint, const EndpointRow* known,
                                   core::TimePoint now) const {
  const auto& left = endpoint.row_.slow_start_left_;
  const bool changed = known == nullptr || known->slow_start_left_ != left;
  // The time is counted from now, since it is not known when the row was
  // written; a row that is read again does not extend it.
  if (left && changed) {
    endpoint.slow_start_.SetEnd(now, now + *left);
  }
}

void EndpointTable::SetEvacuated(std::set<core::FailureDomainId> domains,
                                 core::TimePoint now) {
  for (auto& [id, endpoint] : endpoints_) {
    const auto& domain = endpoint.row_.domain_;
    if (evacuated_.contains(domain) && !domains.contains(domain)) {
      BeginSlowStart(endpoint, now);
    }
  }
  evacuated_ = std::move(domains);
  subset_outdated_ = true;
}

void EndpointTable::RememberDraining(const EndpointIncarnation& incarnation) {
  if (HasAnnouncedDraining(incarnation)) {
    return;
  }
  draining_.push_back(incarnation);
  if (draining_.size() > kMaxRemembered) {
    draining_.pop_front();
  }
}

bool EndpointTable::HasAnnouncedDraining(
    const EndpointIncarnation& incarnation) const {
  return std::ranges::any_of(draining_,
                             [&](const EndpointIncarnation& draining) {
                               return draining.id_ == incarnation.id_ &&
                                      draining.started_ == incarnation.started_;
                             });
}

bool EndpointTable::IsLeavingOrRemoved(
    const EndpointIncarnation& incarnation) const {
  const auto same = [&](const EndpointIncarnation& other) {
    return MayBeSameIncarnation(other, incarnation);
  };
  return std::ranges::any_of(draining_, same) ||
         std::ranges::any_of(removed_, same);
}

bool EndpointTable::IsReplaced(const std::string& address,
                               const EndpointIncarnation& incarnation) const {
  return !IsLeavingOrRemoved(incarnation) &&
         !incarnations_.IsCurrent(address, incarnation);
}

void EndpointTable::ApplyRow(EndpointRow row, core::TimePoint now) {
  subset_outdated_ = true;
  const auto [found, added] = endpoints_.try_emplace(row.id_);
  auto& endpoint = found->second;
  endpoint.listed_ = true;
  endpoint.missing_since_.reset();
  const auto was_removed =
      std::erase_if(removed_, [&](const EndpointIncarnation& removed) {
        return MayBeSameIncarnation(removed, row.incarnation());
      }) > 0;
  if (added && (was_removed || HasAnnouncedDraining(row.incarnation()))) {
    endpoint.held_until_ = hold_restored_until_;
  }
  if (row.leaving_) {
    RememberDraining(row.incarnation());
  }
  if (endpoint.IsPreviousStart(row.started_)) {
    // The row is that of an earlier incarnation: a later one is already known.
    return;
  }
  incarnations_.OnRow(row.address_, row.incarnation(), row.created_revision_);
  if (StartTimesDiffer(endpoint.row_.started_, row.started_)) {
    BeginIncarnation(endpoint, std::move(row), now);
    return;
  }
  // An incarnation that is draining does not become available again.
  // One without a start time that is listed again may be another incarnation.
  const bool draining =
      endpoint.row_.leaving_ || row.leaving_ ||
      (row.started_ && HasAnnouncedDraining(row.incarnation()));
  const auto started = row.started_ ? row.started_ : endpoint.row_.started_;
  const auto known = std::exchange(endpoint.row_, std::move(row));
  endpoint.row_.leaving_ = draining;
  endpoint.row_.started_ = started;
  if (added && !endpoint.row_.slow_start_left_) {
    BeginSlowStart(endpoint, now);
  }
  ApplySlowStart(endpoint, added ? nullptr : &known, now);
}

bool EndpointTable::ApplyChange(const EndpointListChange& change,
                                core::TimePoint now) {
  // An incomplete list may be followed by a complete one of the same revision.
  if (change.full_ && !IsOlder(change.to_)) {
    (void)ApplyList(change.rows_, change.to_, change.complete_, now,
                    change.as_of_);
    return true;
  }
  if (IsOlder(change.to_)) {
    return true;
  }
  if (!Continues(change.from_, change.to_)) {
    return false;
  }
  if (change.to_ > revision_) {
    revision_ = change.to_;
    for (const auto& row : change.rows_) {
      ApplyRow(row, now);
    }
    for (const auto& id : change.removed_) {
      Erase(id);
    }
  } else if (change.complete_) {
    // The change of this revision that was applied may have been incomplete.
    for (const auto& id : change.removed_) {
      if (Find(id) != nullptr) {
        Erase(id);
      }
    }
  }
  if (change.complete_) {
    EraseUnlisted(change.as_of_);
  }
  return true;
}

bool EndpointTable::IsExpired(const Endpoint& endpoint, core::Duration grace,
                              core::TimePoint now) {
  const auto& missing = endpoint.missing_since_;
  return missing && now - *missing >= grace && now >= endpoint.announced_until_;
}

void EndpointTable::EraseMissing(core::Duration grace, core::TimePoint now) {
  std::vector<core::InstanceId> ids;
  for (const auto& [id, endpoint] : endpoints_) {
    if (IsExpired(endpoint, grace, now)) {
      ids.push_back(id);
    }
  }
  Erase(ids);
}

void EndpointTable::EraseUnlisted(core::TimePoint as_of) {
  std::vector<core::InstanceId> ids;
  for (const auto& [id, endpoint] : endpoints_) {
    if (!endpoint.listed_ &&
        as_of - endpoint.announced_at_ >= settings_.max_publish_delay_) {
      ids.push_back(id);
    }
  }
  Erase(ids);
}

void EndpointTable::Erase(const std::vector<core::InstanceId>& ids) {
  for (const auto& id : ids) {
    Erase(id);
  }
}

void EndpointTable::Erase(const core::InstanceId& id) {
  subset_outdated_ = true;
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) {
    removed_.push_back({id, std::nullopt});
  } else {
    removed_.push_back(found->second.row_.incarnation());
    endpoints_.erase(found);
  }
  if (removed_.size() > kMaxRemembered) {
    removed_.pop_front();
  }
}

void EndpointTable::ApplyAnnouncement(EndpointRow row, core::TimePoint now) {
  subset_outdated_ = true;
  const auto incarnation = row.incarnation();
  auto* endpoint = Find(row.id_);
  incarnations_.OnAnnounced(row.address_, incarnation);
  if (endpoint != nullptr) {
    if (StartTimesDiffer(endpoint->row_.started_, row.started_)) {
      BeginIncarnation(*endpoint, std::move(row), now);
      endpoint->announced_at_ = now;
      endpoint->announced_until_ = now + settings_.announced_grace_;
    }
    return;
  }
  const bool was_removed =
      std::ranges::any_of(removed_, [&](const EndpointIncarnation& removed) {
        return MayBeSameIncarnation(removed, incarnation);
      });
  if (was_removed) {
    return;
  }
  auto& added = endpoints_[row.id_];
  added.row_ = std::move(row);
  added.row_.leaving_ = HasAnnouncedDraining(incarnation);
  added.row_.slow_start_left_.reset();
  BeginSlowStart(added, now);
  added.announced_at_ = now;
  added.announced_until_ = now + settings_.announced_grace_;
}

void EndpointTable::ApplyAnnouncementAt(const std::string& address,
                                        const EndpointIncarnation& incarnation,
                                        core::TimePoint now) {
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.row_.address_ != address) {
      continue;
    }
    auto row = endpoint.row_;
    row.id_ = incarnation.id_;
    row.started_ = incarnation.started_;
    row.leaving_ = false;
    row.created_revision_ = {};
    row.weights_version_.reset();
    row.slow_start_left_.reset();
    ApplyAnnouncement(std::move(row), now);
    return;
  }
}

bool EndpointTable::ApplyReport(const std::string& address,
                                const LoadReport& report,
                                core::TimePoint reported_at) {
  for (auto& [id, endpoint] : endpoints_) {
    if (endpoint.row_.address_ != address ||
        !incarnations_.IsCurrent(address, endpoint.row_.incarnation())) {
      continue;
    }
    if (endpoint.report_ && reported_at < endpoint.reported_at_) {
      return false;
    }
    if (StartTimesDiffer(endpoint.row_.started_, report.started_)) {
      // The report arrived before the row of this incarnation was read, or
      // after a delayed row of another one.
      auto row = endpoint.row_;
      row.started_ = report.started_;
      row.leaving_ = false;
      row.weights_version_.reset();
      row.slow_start_left_.reset();
      incarnations_.OnAnnounced(address, row.incarnation());
      BeginIncarnation(endpoint, std::move(row), reported_at);
      subset_outdated_ = true;
      endpoint.announced_at_ = reported_at;
      endpoint.announced_until_ = reported_at + settings_.announced_grace_;
    }
    subset_outdated_ =
        subset_outdated_ ||
        endpoint.version().has_value() != report.weights_version_.has_value();
    endpoint.report_ = report;
    endpoint.reported_at_ = reported_at;
    endpoint.last_seen_ = std::max(endpoint.last_seen_, reported_at);
    latest_report_ = std::max(latest_report_, reported_at);
    endpoint.reported_version_ = report.weights_version_;
    endpoint.version_reported_ = true;
    std::erase_if(endpoint.sent_since_report_,
                  [&](core::TimePoint sent) { return sent < reported_at; });
    return report.leaving_ && MarkLeaving(endpoint.row_.incarnation());
  }
  return false;
}

bool EndpointTable::MarkLeaving(const EndpointIncarnation& incarnation) {
  const bool known = IsLeavingOrRemoved(incarnation);
  RememberDraining(incarnation);
  auto* endpoint = Find(incarnation.id_);
  if (endpoint != nullptr &&
      MayBeSameIncarnation(endpoint->row_.incarnation(), incarnation)) {
    RememberDraining(endpoint->row_.incarnation());
    endpoint->row_.leaving_ = true;
    subset_outdated_ = true;
  }
  return !known;
}

void EndpointTable::MarkTerminated(const EndpointIncarnation& incarnation) {
  const auto* endpoint = Find(incarnation.id_);
  if (endpoint == nullptr ||
      MayBeSameIncarnation(endpoint->row_.incarnation(), incarnation)) {
    Erase(incarnation.id_);
  }
}

void EndpointTable::MarkReplaced(const core::InstanceId& id,
                                 const core::InstanceId& current) {
  if (const auto* endpoint = Find(id)) {
    incarnations_.OnAnnounced(endpoint->row_.address_, {current, std::nullopt});
  }
}

void EndpointTable::MarkVersion(const core::InstanceId& id,
                                std::optional<std::uint64_t> version) {
  if (auto* endpoint = Find(id)) {
    endpoint->reported_version_ = version;
    endpoint->version_reported_ = true;
    subset_outdated_ = true;
  }
}

void EndpointTable::OnSent(const core::InstanceId& id, double prompt_tokens,
                           core::TimePoint now, bool on_time) {
  auto* endpoint = Find(id);
  if (endpoint == nullptr) {
    return;
  }
  endpoint->in_flight_sent_at_.push_back(now);
  endpoint->slow_start_.OnSent(now);
  endpoint->last_sent_at_.push_back(now);
  if (endpoint->last_sent_at_.size() > kMaxShareRequests) {
    endpoint->last_sent_at_.pop_front();
  }
  endpoint->sent_since_report_.push_back(now);
  if (on_time) {
    endpoint->pending_prefill_tokens_ += prompt_tokens;
    endpoint->awaiting_first_byte_.push_back(now);
  } else {
    endpoint->late_awaiting_first_byte_.push_back(now);
  }
}

bool EndpointTable::RemoveAwaiting(Endpoint& endpoint, double prompt_tokens,
                                   core::TimePoint sent_at) {
  const auto late_request =
      std::ranges::find(endpoint.late_awaiting_first_byte_, sent_at);
  if (late_request != endpoint.late_awaiting_first_byte_.end()) {
    endpoint.late_awaiting_first_byte_.erase(late_request);
    return false;
  }
  endpoint.pending_prefill_tokens_ =
      std::max(0.0, endpoint.pending_prefill_tokens_ - prompt_tokens);
  const auto found = std::ranges::find(endpoint.awaiting_first_byte_, sent_at);
  if (found != endpoint.awaiting_first_byte_.end()) {
    endpoint.awaiting_first_byte_.erase(found);
  }
  return true;
}

void EndpointTable::OnProgress(const core::InstanceId& id,
                               core::TimePoint now) {
  if (auto* endpoint = Find(id)) {
    endpoint->last_seen_ = now;
  }
}

void EndpointTable::OnFirstByte(const core::InstanceId& id,
                                double prompt_tokens, core::TimePoint sent_at,
                                core::Duration predicted, core::TimePoint now) {
  auto* endpoint = Find(id);
  if (endpoint == nullptr ||
      std::ranges::find(endpoint->in_flight_sent_at_, sent_at) ==
          endpoint->in_flight_sent_at_.end()) {
    return;
  }
  if (!RemoveAwaiting(*endpoint, prompt_tokens, sent_at)) {
    // A late request waits for other requests, which is not a delay of the
    // endpoint.
    return;
  }
  const auto wait = now - sent_at;
  endpoint->mean_wait_ =
      endpoint->mean_wait_ == core::Duration{}
          ? wait
          : core::FromMs(core::ToMs(endpoint->mean_wait_) * (1 - kWaitWeight) +
                         core::ToMs(wait) * kWaitWeight);
  const auto excess = std::max<core::Duration>(wait - predicted, {});
  endpoint->excess_delay_ = core::FromMs(
      core::ToMs(ExcessDelayAt(*endpoint, now)) * (1 - kWaitWeight) +
      core::ToMs(excess) * kWaitWeight);
  endpoint->excess_delay_updated_ = now;
}

void EndpointTable::OnEnded(const core::InstanceId& id, double prompt_tokens,
                            core::TimePoint sent_at, bool first_byte_received,
                            EndpointOutcome outcome, core::TimePoint now) {
  auto* endpoint = Find(id);
  if (endpoint == nullptr) {
    return;
  }
  const auto in_flight =
      std::ranges::find(endpoint->in_flight_sent_at_, sent_at);
  if (in_flight == endpoint->in_flight_sent_at_.end()) {
    // It was sent to an earlier incarnation.
    return;
  }
  endpoint->in_flight_sent_at_.erase(in_flight);
  if (!first_byte_received) {
    RemoveAwaiting(*endpoint, prompt_tokens, sent_at);
  }
  const auto unreported =
      std::ranges::find(endpoint->sent_since_report_, sent_at);
  if (unreported != endpoint->sent_since_report_.end()) {
    endpoint->sent_since_report_.erase(unreported);
  }
  if (outcome == EndpointOutcome::kCancelled) {
    return;
  }
  RecordOutcome(*endpoint, outcome == EndpointOutcome::kFailed, now);
}

void EndpointTable::OnSilent(const core::InstanceId& id,
                             core::TimePoint sent_at, core::TimePoint now) {
  auto* endpoint = Find(id);
  if (endpoint == nullptr) {
    return;
  }
  const auto& in_flight = endpoint->in_flight_sent_at_;
  // Otherwise it was sent to an earlier incarnation.
  if (std::ranges::find(in_flight, sent_at) != in_flight.end()) {
    RecordOutcome(*endpoint, true, now);
  }
}

void EndpointTable::RecordOutcome(Endpoint& endpoint, bool failed,
                                  core::TimePoint now) const {
  endpoint.failure_rate_ = FailureRateAt(endpoint, now) * (1 - kFailureWeight) +
                           (failed ? kFailureWeight : 0);
  endpoint.failure_rate_updated_ = now;
}

std::uint32_t EndpointTable::LoadOf(const core::InstanceId& id,
                                    core::TimePoint now) const {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? 0 : EstimatedLoad(found->second, now);
}

std::vector<EndpointRow> EndpointTable::Rows() const {
  std::vector<EndpointRow> rows;
  rows.reserve(endpoints_.size());
  for (const auto& [id, endpoint] : endpoints_) {
    rows.push_back(endpoint.row_);
  }
  return rows;
}

std::vector<EndpointRow> EndpointTable::ListedRows() const {
  std::vector<EndpointRow> rows;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.listed_) {
      rows.push_back(endpoint.row_);
    }
  }
  return rows;
}

std::uint64_t EndpointTable::NewestVersion(const std::string& service) const {
  std::uint64_t newest = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.row_.service_ == service) {
      newest = std::max(newest, endpoint.version().value_or(0));
    }
  }
  return newest;
}

}  // namespace chalkwell::routing
