// Selects the endpoint of a request by the predicted cost at each endpoint.
#include <algorithm>
#include <array>
#include <cmath>
#include <set>
#include <utility>

#include "chalkwell/core/milliseconds.hpp"
#include "chalkwell/routing/endpoint_subset.hpp"
#include "chalkwell/routing/endpoint_table.hpp"
#include "chalkwell/routing/engine_model.hpp"

namespace chalkwell::routing {
namespace {

/// Requests in flight assumed per request of this entry while there is no
/// recent report, because other entries send requests too.
constexpr std::uint32_t kUnreportedFactor = 3;
/// Lower bound of RandomCostLimitMs, in milliseconds; the limit itself for
/// services without weights and for late requests.
constexpr double kMinRandomCostLimitMs = 2;

/// Mean interval at which slots become free at a full engine, in milliseconds.
double SlotIntervalMs(const config::EngineProfile& engine) {
  const auto slots = std::max(1U, engine.slots_);
  return core::ToMs(StepTime(engine, slots)) * engine.mean_output_tokens_ /
         slots;
}

/// Upper limit of the random addition to each cost, in milliseconds. All
/// entries see the same reports, and if each chose the lowest cost, they would
/// overload one engine together. The reports are about as old as the interval
/// at which slots become free, so smaller differences in cost are not
/// significant. Late requests get the small limit: they should go to the
/// engines with free slots, not spread over more engines.
double RandomCostLimitMs(const ChoiceRequest& request) {
  return request.engine_ == nullptr || !request.on_time_
             ? kMinRandomCostLimitMs
             : std::max(kMinRandomCostLimitMs,
                        SlotIntervalMs(*request.engine_));
}

}  // namespace

core::Duration EndpointTable::ExcessDelayAt(const Endpoint& endpoint,
                                            core::TimePoint now) const {
  const auto half_lives = core::ToMs(now - endpoint.excess_delay_updated_) /
                          core::ToMs(settings_.failure_half_life_);
  auto delay =
      core::FromMs(core::ToMs(endpoint.excess_delay_) * std::exp2(-half_lives));
  for (const auto sent_at : endpoint.awaiting_first_byte_) {
    delay = std::max(delay, now - sent_at - settings_.overdue_after_);
  }
  return delay;
}

double EndpointTable::FailureRateAt(const Endpoint& endpoint,
                                    core::TimePoint now) const {
  const auto half_lives = core::ToMs(now - endpoint.failure_rate_updated_) /
                          core::ToMs(settings_.failure_half_life_);
  return endpoint.failure_rate_ * std::exp2(-half_lives);
}

core::Duration EndpointTable::PathOrStallDelay(const Endpoint& endpoint,
                                               core::TimePoint now) const {
  const auto delay =
      std::max(ExcessDelayAt(endpoint, now), UnresponsiveTime(endpoint));
  return HasRecentReport(endpoint, now)
             ? std::max(delay, endpoint.report_->path_delay_)
             : delay;
}

core::Duration EndpointTable::UnresponsiveTime(const Endpoint& endpoint) const {
  if (!endpoint.report_) {
    return {};
  }
  // Measured against the latest report of any endpoint, so that a suspension or
  // partition of this process does not make all of them unresponsive.
  const auto elapsed = latest_report_ - endpoint.last_seen_;
  return elapsed > settings_.unresponsive_after_ ? elapsed : core::Duration{};
}

bool EndpointTable::IsUnresponsive(const core::InstanceId& id) const {
  const auto found = endpoints_.find(id);
  return found != endpoints_.end() &&
         UnresponsiveTime(found->second) > core::Duration{};
}

bool EndpointTable::HasRecentReport(const Endpoint& endpoint,
                                    core::TimePoint now) const {
  return endpoint.report_ &&
         now - endpoint.reported_at_ < settings_.max_report_age_;
}

bool EndpointTable::WeightsTooOld(const Endpoint& endpoint,
                                  const ChoiceRequest& request,
                                  core::Duration time_to_first_byte,
                                  core::TimePoint now) const {
  if (request.engine_ == nullptr ||
      endpoint.version() >= request.version_constraint_.next_min_version_) {
    return false;
  }
  const bool link_known =
      endpoint.report_ &&
      now - endpoint.reported_at_ < settings_.max_link_report_age_;
  // A late request also waits for on-time requests that arrive after it.
  const bool start_known = link_known && request.on_time_;
  const auto start = start_known
                         ? time_to_first_byte
                         : std::max(time_to_first_byte,
                                    settings_.min_unpredicted_start_delay_);
  return now + start >= request.version_constraint_.next_min_at_;
}

bool EndpointTable::AcceptsRequests(const EndpointIncarnation& incarnation,
                                    core::TimePoint now) const {
  const auto found = endpoints_.find(incarnation.id_);
  if (found == endpoints_.end()) {
    return false;
  }
  const auto& endpoint = found->second;
  return MayBeSameIncarnation(endpoint.row_.incarnation(), incarnation) &&
         !endpoint.row_.leaving_ && now >= endpoint.held_until_ &&
         !IsEvacuated(endpoint.row_.domain_) &&
         !IsExpired(endpoint, settings_.missing_row_grace_, now) &&
         incarnations_.IsCurrent(endpoint.row_.address_, incarnation);
}

core::TimePoint EndpointTable::NextSlowStartSend(const Endpoint& endpoint,
                                                 core::TimePoint now) const {
  const auto* limit = endpoint.slow_start_.Active(now)
                          ? SlowStartOf(endpoint.row_.service_)
                          : nullptr;
  if (limit == nullptr) {
    return {};
  }
  const auto candidates = candidate_counts_.find(endpoint.row_.service_);
  SlowStartSharers sharers;
  sharers.entries_ = entries_;
  sharers.entries_known_ = entries_known_;
  sharers.endpoints_ =
      candidates == candidate_counts_.end() ? 1 : candidates->second;
  sharers.subset_size_ = EndpointSubsetSettings{}.max_serving_;
  sharers.reported_users_ =
      endpoint.report_ ? endpoint.report_->subscribers_ : 0;
  const auto interval = SlowStartInterval(*limit, sharers, endpoint.in_subset_);
  return endpoint.slow_start_.NextSend(
      interval, SlowStartOffset(settings_.entry_, endpoint.row_.id_, interval));
}

// An endpoint whose limit expired may be limited still. Its senders keep to
// their shares; the others begin one after the other, so that the first
// response that states the limit again reaches most of them before they send.
core::TimePoint EndpointTable::NextRateLimitedSend(const Endpoint& endpoint,
                                                   core::TimePoint now) const {
  const auto& row = endpoint.row_;
  const auto rate = rate_limits_.RateOf(row.incarnation(), now);
  const auto expired =
      rate ? std::nullopt : rate_limits_.ExpiredLimitOf(row.incarnation(), now);
  if (!rate && !expired) {
    return {};
  }
  const auto limit = rate ? *rate : expired->requests_per_second_;
  const auto share = rate_limit_senders_.ShareOf({row.id_, row.domain_, limit});
  if (!share) {
    return expired ? NextSendAfterExpiry(endpoint, *expired)
                   : now + MeanRequestInterval(limit);
  }
  const auto& sent = endpoint.last_sent_at_;
  const auto next = sent.size() < share->requests_
                        ? now
                        : sent[sent.size() - share->requests_] + share->window_;
  return std::max(next, share->not_before_);
}

core::TimePoint EndpointTable::NextSendAfterExpiry(
    const Endpoint& endpoint, const ExpiredRateLimit& expired) const {
  const auto spread = std::min<core::Duration>(
      MeanRequestInterval(expired.requests_per_second_) *
          static_cast<std::int64_t>(entries_),
      EndpointRateLimits::kMaxReturnTime);
  const auto first =
      expired.expired_at_ +
      SlowStartOffset(settings_.entry_, endpoint.row_.id_, spread);
  const auto& sent = endpoint.last_sent_at_;
  return sent.empty() ? first : std::max(first, sent.back() + spread);
}

core::TimePoint EndpointTable::NextSend(const Endpoint& endpoint,
                                        core::TimePoint now) const {
  const auto by_slow_start = faults_.ignore_slow_start_
                                 ? core::TimePoint{}
                                 : NextSlowStartSend(endpoint, now);
  const auto by_rate_limit = faults_.ignore_rate_limits_
                                 ? core::TimePoint{}
                                 : NextRateLimitedSend(endpoint, now);
  const auto by_refusal =
      faults_.ignore_retry_times_
          ? core::TimePoint{}
          : retry_times_.RetryAt(endpoint.row_.incarnation(), now);
  return std::max({by_slow_start, by_rate_limit, by_refusal});
}

std::optional<core::Duration> EndpointTable::SendWait(
    const ChoiceRequest& request, core::TimePoint now) const {
  std::optional<core::Duration> wait;
  for (const auto& [id, endpoint] : endpoints_) {
    const auto next = NextSend(endpoint, now);
    if (next != core::TimePoint{} && IsUsable(endpoint, request, now)) {
      const auto left = std::max<core::Duration>(next - now, {});
      wait = std::min(wait.value_or(left), left);
    }
  }
  return wait;
}

bool EndpointTable::IsUsable(const Endpoint& endpoint,
                             const ChoiceRequest& request,
                             core::TimePoint now) const {
  // Expired rows are skipped here because they are erased only when a list is
  // applied.
  const auto& row = endpoint.row_;
  if (row.service_ != request.service_ || row.leaving_ ||
      now < endpoint.held_until_ ||
      IsExpired(endpoint, settings_.missing_row_grace_, now) ||
      !incarnations_.IsCurrent(row.address_, row.incarnation()) ||
      IsEvacuated(row.domain_) ||
      !(Allows(request.allowed_domains_, row.domain_) ||
        faults_.ignore_allowed_domains_) ||
      std::ranges::find(request.tried_, row.id_) != request.tried_.end()) {
    return false;
  }
  const bool full = request.max_in_flight_ > 0 &&
                    endpoint.in_flight() >= request.max_in_flight_;
  if (full) {
    return false;
  }
  if (request.engine_ == nullptr) {
    return true;
  }
  if (endpoint.report_ && !endpoint.report_->accepting_) {
    return false;
  }
  const auto version = endpoint.version();
  return version && *version >= request.version_constraint_.min_version_ &&
         (!request.weights_version_ || version == request.weights_version_);
}

std::uint32_t EndpointTable::EstimatedLoad(const Endpoint& endpoint,
                                           core::TimePoint now) const {
  if (!HasRecentReport(endpoint, now)) {
    const auto last_reported =
        endpoint.report_ ? endpoint.report_->active_ + endpoint.report_->queued_
                         : 0;
    return std::max(last_reported, endpoint.in_flight() * kUnreportedFactor);
  }
  const auto sent_since_report =
      static_cast<std::uint32_t>(endpoint.sent_since_report_.size());
  return std::max(endpoint.in_flight(), endpoint.report_->active_ +
                                            endpoint.report_->queued_ +
                                            sent_since_report);
}

double EndpointTable::LateShare() const {
  std::size_t late = 0;
  std::size_t on_time = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    late += endpoint.late_awaiting_first_byte_.size();
    on_time += endpoint.awaiting_first_byte_.size();
  }
  return late == 0
             ? 0
             : static_cast<double>(late) / static_cast<double>(late + on_time);
}

std::uint32_t EndpointTable::RequestsAhead(const Endpoint& endpoint,
                                           double late_share,
                                           core::TimePoint now) const {
  const auto load = EstimatedLoad(endpoint, now);
  if (!HasRecentReport(endpoint, now)) {
    return load;
  }
  const auto late = static_cast<std::uint32_t>(
      std::lround(endpoint.report_->queued_ * late_share));
  return load - std::min(load, late);
}

core::Duration EndpointTable::TimeToFirstByte(
    const Endpoint& endpoint, const ChoiceRequest& request,
    std::uint32_t requests_ahead) const {
  if (request.engine_ == nullptr) {
    const double rounds = static_cast<double>(requests_ahead) /
                          std::max(1U, endpoint.row_.slots_);
    return core::FromMs(core::ToMs(endpoint.mean_wait_) * (1 + rounds));
  }
  const auto slots = std::max(1U, request.engine_->slots_);
  EngineLoad load;
  load.running_ = std::min(requests_ahead, slots);
  load.queued_ = requests_ahead - load.running_;
  load.pending_prefill_tokens_ = endpoint.pending_prefill_tokens_;
  load.slowdown_ = endpoint.report_ ? endpoint.report_->slowdown_ : 1;
  return TimeToFirstEvent(*request.engine_, load, request.prompt_tokens_);
}

double EndpointTable::Cost(const Endpoint& endpoint,
                           const ChoiceRequest& request,
                           const Prediction& prediction,
                           core::TimePoint now) const {
  double cost =
      core::ToMs(prediction.time_to_first_byte_) +
      FailureRateAt(endpoint, now) * core::ToMs(settings_.failure_cost_);
  if (request.engine_ != nullptr) {
    // Requests slow each other down, so the less loaded endpoint is better even
    // when both have free slots.
    cost += prediction.requests_ahead_ *
            core::ToMs(request.engine_->step_time_) / 2;
    if (!HasRecentReport(endpoint, now)) {
      cost += core::ToMs(settings_.unreported_cost_);
    }
  }
  if (endpoint.row_.domain_ != settings_.domain_) {
    cost += core::ToMs(settings_.remote_cost_);
  }
  return cost;
}

std::optional<EndpointChoice> EndpointTable::Choose(
    const ChoiceRequest& request, core::TimePoint now) {
  UpdateSubset();
  if (request.allowed_domains_) {
    // The subset may contain few endpoints of the allowed domains.
    return ChooseFrom(request, Candidates::kAll, now);
  }
  auto choice = ChooseFrom(request, Candidates::kSubset, now);
  // Falls back to the other endpoints when none of the subset is usable.
  return choice ? choice : ChooseFrom(request, Candidates::kOthers, now);
}

std::optional<EndpointChoice> EndpointTable::ChooseFrom(
    const ChoiceRequest& request, Candidates candidates, core::TimePoint now) {
  std::size_t deferred = 0;
  // One for the local failure domain and one for the remote ones.
  std::array<Selection, 2> selections;
  const double late_share = request.on_time_ ? LateShare() : 0;
  std::uniform_real_distribution<> random_cost(0, RandomCostLimitMs(request));
  for (const auto& [id, endpoint] : endpoints_) {
    const bool is_candidate =
        candidates == Candidates::kAll ||
        endpoint.in_subset_ == (candidates == Candidates::kSubset);
    if (!is_candidate || !IsUsable(endpoint, request, now)) {
      continue;
    }
    if (now < NextSend(endpoint, now)) {
      ++deferred;
      continue;
    }
    Prediction prediction;
    prediction.requests_ahead_ = RequestsAhead(endpoint, late_share, now);
    prediction.time_to_first_byte_ =
        TimeToFirstByte(endpoint, request, prediction.requests_ahead_) +
        PathOrStallDelay(endpoint, now);
    if (WeightsTooOld(endpoint, request, prediction.time_to_first_byte_, now)) {
      continue;
    }
    const auto cost = Cost(endpoint, request, prediction, now);
    auto& selection =
        selections[endpoint.row_.domain_ == settings_.domain_ ? 0 : 1];
    selection.min_cost_ = std::min(selection.min_cost_, cost);
    const auto randomized_cost = cost + random_cost(random_);
    if (randomized_cost < selection.randomized_cost_) {
      selection.best_ = &endpoint;
      selection.prediction_ = prediction;
      selection.randomized_cost_ = randomized_cost;
    }
  }
  // Failure domains are compared without the random part, which must not move
  // requests between them.
  const bool remote = selections[1].min_cost_ < selections[0].min_cost_;
  const auto& selection = selections[remote ? 1 : 0];
  if (selection.best_ == nullptr) {
    return std::nullopt;
  }
  EndpointChoice choice;
  choice.row_ = selection.best_->row_;
  choice.row_.weights_version_ = selection.best_->version();
  choice.time_to_first_byte_ = selection.prediction_.time_to_first_byte_;
  choice.requests_ahead_ = selection.prediction_.requests_ahead_;
  choice.deferred_ = deferred;
  choice.rate_limit_ =
      rate_limits_.RateOf(selection.best_->row_.incarnation(), now);
  choice.reported_ = selection.best_->report_.has_value();
  if (choice.reported_) {
    choice.report_age_ = now - selection.best_->reported_at_;
  }
  return choice;
}

void EndpointTable::UpdateSubset() {
  if (!std::exchange(subset_outdated_, false)) {
    return;
  }
  if (settings_.entry_.empty()) {
    for (auto& [id, endpoint] : endpoints_) {
      endpoint.in_subset_ = true;
    }
    return;
  }
  std::set<std::string> services;
  for (const auto& [id, endpoint] : endpoints_) {
    services.insert(endpoint.row_.service_);
  }
  std::set<core::InstanceId> subset;
  for (const auto& service : services) {
    const auto selected = SelectSubset(service);
    subset.insert(selected.begin(), selected.end());
  }
  for (auto& [id, endpoint] : endpoints_) {
    const bool in_subset = subset.contains(id);
    if (std::exchange(endpoint.in_subset_, in_subset) != in_subset) {
      // Reports of this endpoint start or stop, which makes the last one
      // meaningless.
      endpoint.report_.reset();
    }
  }
}

std::vector<core::InstanceId> EndpointTable::SelectSubset(
    const std::string& service) {
  const bool needs_weights = NewestVersion(service) > 0;
  std::vector<SubsetCandidate> candidates;
  for (auto& [id, endpoint] : endpoints_) {
    const auto& row = endpoint.row_;
    if (row.service_ != service || row.leaving_ || IsEvacuated(row.domain_) ||
        !incarnations_.IsCurrent(row.address_, row.incarnation())) {
      continue;
    }
    if (endpoint.subset_score_ == 0) {
      endpoint.subset_score_ = SubsetScore(settings_.entry_, id);
    }
    candidates.push_back({id, row.domain_,
                          !needs_weights || endpoint.version().has_value(),
                          endpoint.subset_score_});
  }
  candidate_counts_[service] = candidates.size();
  return ChooseSubset(settings_.domain_, candidates);
}

std::vector<EndpointRow> EndpointTable::Subset() {
  UpdateSubset();
  std::vector<EndpointRow> rows;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.in_subset_) {
      rows.push_back(endpoint.row_);
    }
  }
  return rows;
}

}  // namespace chalkwell::routing
