// Which endpoint a request goes to, from what the table believes of each.
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

/// Requests under way that one of our own stands for while no report is fresh:
/// other entries send too.
constexpr std::uint32_t kUnreportedFactor = 3;
/// Endpoints of plain services whose costs differ by less, in milliseconds,
/// count as equal.
constexpr double kTieMs = 2;

/// Milliseconds between two slots that come free at a full engine.
double SlotIntervalMs(const config::EngineProfile& engine) {
  const auto slots = std::max(1U, engine.slots_);
  return core::ToMs(StepTime(engine, slots)) * engine.mean_output_tokens_ /
         slots;
}

/// Difference of cost, in milliseconds, up to which any endpoint may be the
/// best: all entries see the same reports, which are about as old as a slot
/// takes to come free. If each chose the best by them, they would fill one
/// engine together. Late streams don't: they would take room on more engines.
double IndifferenceMs(const ChoiceRequest& request) {
  return request.engine_ == nullptr || !request.on_time_
             ? kTieMs
             : std::max(kTieMs, SlotIntervalMs(*request.engine_));
}

}  // namespace

core::Duration EndpointTable::LateAt(const Endpoint& endpoint,
                                     core::TimePoint now) const {
  const auto halves = core::ToMs(now - endpoint.late_at_) /
                      core::ToMs(settings_.failure_half_life_);
  auto late = core::FromMs(core::ToMs(endpoint.late_) * std::exp2(-halves));
  for (const auto sent_at : endpoint.unanswered_) {
    late = std::max(late, now - sent_at - settings_.overdue_after_);
  }
  return late;
}

double EndpointTable::FailingAt(const Endpoint& endpoint,
                                core::TimePoint now) const {
  const auto halves = core::ToMs(now - endpoint.failed_at_) /
                      core::ToMs(settings_.failure_half_life_);
  return endpoint.failing_ * std::exp2(-halves);
}

core::Duration EndpointTable::ExtraDelay(const Endpoint& endpoint,
                                         core::TimePoint now) const {
  const auto late = std::max(LateAt(endpoint, now), Silence(endpoint));
  return Reported(endpoint, now) ? std::max(late, endpoint.report_->path_delay_)
                                 : late;
}

core::Duration EndpointTable::Silence(const Endpoint& endpoint) const {
  if (!endpoint.report_) {
    return {};
  }
  // Against the others, so that a pause or cut of this process itself makes
  // none of them silent.
  const auto silence = latest_report_ - endpoint.heard_at_;
  return silence > settings_.silent_after_ ? silence : core::Duration{};
}

bool EndpointTable::IsUnresponsive(const core::InstanceId& id) const {
  const auto found = endpoints_.find(id);
  return found != endpoints_.end() && Silence(found->second) > core::Duration{};
}

bool EndpointTable::Reported(const Endpoint& endpoint,
                             core::TimePoint now) const {
  return endpoint.report_ &&
         now - endpoint.reported_at_ < settings_.report_age_;
}

bool EndpointTable::TooOld(const Endpoint& endpoint,
                           const ChoiceRequest& request,
                           core::Duration first_byte,
                           core::TimePoint now) const {
  if (request.engine_ == nullptr ||
      endpoint.version() >= request.version_constraint_.next_min_version_) {
    return false;
  }
  const bool link_known = endpoint.report_ && now - endpoint.reported_at_ <
                                                  settings_.link_report_age_;
  // A late one waits for all that come meanwhile.
  const bool known = link_known && request.on_time_;
  const auto begins =
      known ? first_byte : std::max(first_byte, settings_.unreported_delay_);
  return now + begins >= request.version_constraint_.next_min_at_;
}

bool EndpointTable::AcceptsRequests(const EndpointIncarnation& life,
                                    core::TimePoint now) const {
  const auto found = endpoints_.find(life.id_);
  if (found == endpoints_.end()) {
    return false;
  }
  const auto& endpoint = found->second;
  return SameIncarnation(endpoint.row_.incarnation(), life) &&
         !endpoint.row_.leaving_ &&
         !IsGone(endpoint, settings_.lapse_grace_, now) &&
         incarnations_.Lives(endpoint.row_.address_, life);
}

bool EndpointTable::Usable(const Endpoint& endpoint,
                           const ChoiceRequest& request,
                           core::TimePoint now) const {
  // Nobody need take a further list for a missing endpoint to be left.
  const auto& row = endpoint.row_;
  if (row.service_ != request.service_ || row.leaving_ ||
      IsGone(endpoint, settings_.lapse_grace_, now) ||
      !incarnations_.Lives(row.address_, row.incarnation()) ||
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

std::uint32_t EndpointTable::Occupied(const Endpoint& endpoint,
                                      core::TimePoint now) const {
  if (!Reported(endpoint, now)) {
    const auto before =
        endpoint.report_ ? endpoint.report_->active_ + endpoint.report_->queued_
                         : 0;
    return std::max(before, endpoint.in_flight() * kUnreportedFactor);
  }
  const auto since = static_cast<std::uint32_t>(endpoint.sent_.size());
  return std::max(endpoint.in_flight(), endpoint.report_->active_ +
                                            endpoint.report_->queued_ + since);
}

double EndpointTable::LateShare() const {
  std::size_t late = 0;
  std::size_t on_time = 0;
  for (const auto& [id, endpoint] : endpoints_) {
    late += endpoint.late_unanswered_.size();
    on_time += endpoint.unanswered_.size();
  }
  return late == 0
             ? 0
             : static_cast<double>(late) / static_cast<double>(late + on_time);
}

std::uint32_t EndpointTable::Ahead(const Endpoint& endpoint, double late_share,
                                   core::TimePoint now) const {
  const auto occupied = Occupied(endpoint, now);
  if (!Reported(endpoint, now)) {
    return occupied;
  }
  const auto late = static_cast<std::uint32_t>(
      std::lround(endpoint.report_->queued_ * late_share));
  return occupied - std::min(occupied, late);
}

core::Duration EndpointTable::FirstByte(const Endpoint& endpoint,
                                        const ChoiceRequest& request,
                                        std::uint32_t ahead) const {
  if (request.engine_ == nullptr) {
    const double waves =
        static_cast<double>(ahead) / std::max(1U, endpoint.row_.slots_);
    return core::FromMs(core::ToMs(endpoint.waited_) * (1 + waves));
  }
  const auto slots = std::max(1U, request.engine_->slots_);
  EngineLoad load;
  load.running_ = std::min(ahead, slots);
  load.queued_ = ahead - load.running_;
  load.unread_tokens_ = endpoint.reading_;
  load.pace_ = endpoint.report_ ? endpoint.report_->slowdown_ : 1;
  return FirstEventAfter(*request.engine_, load, request.prompt_tokens_);
}

double EndpointTable::CostOf(const Endpoint& endpoint,
                             const ChoiceRequest& request,
                             const Expected& expected,
                             core::TimePoint now) const {
  double cost = core::ToMs(expected.first_byte_) +
                FailingAt(endpoint, now) * core::ToMs(settings_.failure_cost_);
  if (request.engine_ != nullptr) {
    // Each request that runs slows all others: even when places are free, the
    // emptier endpoint is the better one.
    cost += expected.occupied_ * core::ToMs(request.engine_->step_time_) / 2;
    if (!Reported(endpoint, now)) {
      cost += core::ToMs(settings_.unreported_cost_);
    }
  }
  if (endpoint.row_.domain_ != settings_.domain_) {
    cost += core::ToMs(settings_.foreign_cost_);
  }
  return cost;
}

std::optional<EndpointChoice> EndpointTable::Choose(
    const ChoiceRequest& request, core::TimePoint now) {
  UpdateSubset();
  auto choice = ChooseOf(request, true, now);
  // What no endpoint of the subset can take may fit elsewhere.
  return choice ? choice : ChooseOf(request, false, now);
}

std::optional<EndpointChoice> EndpointTable::ChooseOf(
    const ChoiceRequest& request, bool selected, core::TimePoint now) {
  // Of the own failure domain, and of the others.
  std::array<Contest, 2> contests;
  const double late_share = request.on_time_ ? LateShare() : 0;
  std::uniform_real_distribution<> uncertainty(0, IndifferenceMs(request));
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.selected_ != selected || !Usable(endpoint, request, now)) {
      continue;
    }
    Expected expected;
    expected.occupied_ = Ahead(endpoint, late_share, now);
    expected.first_byte_ = FirstByte(endpoint, request, expected.occupied_) +
                           ExtraDelay(endpoint, now);
    if (TooOld(endpoint, request, expected.first_byte_, now)) {
      continue;
    }
    const auto cost = CostOf(endpoint, request, expected, now);
    auto& contest =
        contests[endpoint.row_.domain_ == settings_.domain_ ? 0 : 1];
    contest.least_cost_ = std::min(contest.least_cost_, cost);
    const auto drawn_cost = cost + uncertainty(random_);
    if (drawn_cost < contest.drawn_cost_) {
      contest.best_ = &endpoint;
      contest.expected_ = expected;
      contest.drawn_cost_ = drawn_cost;
    }
  }
  const bool foreign = contests[1].least_cost_ < contests[0].least_cost_;
  const auto& contest = contests[foreign ? 1 : 0];
  if (contest.best_ == nullptr) {
    return std::nullopt;
  }
  EndpointChoice choice;
  choice.row_ = contest.best_->row_;
  choice.row_.weights_version_ = contest.best_->version();
  choice.time_to_first_byte_ = contest.expected_.first_byte_;
  choice.requests_ahead_ = contest.expected_.occupied_;
  choice.reported_ = contest.best_->report_.has_value();
  if (choice.reported_) {
    choice.report_age_ = now - contest.best_->reported_at_;
  }
  return choice;
}

void EndpointTable::UpdateSubset() {
  if (!std::exchange(subset_due_, false)) {
    return;
  }
  if (settings_.entry_.empty()) {
    for (auto& [id, endpoint] : endpoints_) {
      endpoint.selected_ = true;
    }
    return;
  }
  std::set<std::string> services;
  for (const auto& [id, endpoint] : endpoints_) {
    services.insert(endpoint.row_.service_);
  }
  std::set<core::InstanceId> subset;
  for (const auto& service : services) {
    const auto chosen = SubsetOf(service);
    subset.insert(chosen.begin(), chosen.end());
  }
  for (auto& [id, endpoint] : endpoints_) {
    const bool selected = subset.contains(id);
    if (std::exchange(endpoint.selected_, selected) != selected) {
      // Reports begin anew, or end: the last one says nothing any more.
      endpoint.report_.reset();
    }
  }
}

std::vector<core::InstanceId> EndpointTable::SubsetOf(
    const std::string& service) {
  const bool with_weights = NewestVersion(service) > 0;
  std::vector<SubsetCandidate> candidates;
  for (auto& [id, endpoint] : endpoints_) {
    const auto& row = endpoint.row_;
    if (row.service_ != service || row.leaving_ ||
        !incarnations_.Lives(row.address_, row.incarnation())) {
      continue;
    }
    if (endpoint.rank_ == 0) {
      endpoint.rank_ = SubsetRank(settings_.entry_, id);
    }
    candidates.push_back({id, row.domain_,
                          !with_weights || endpoint.version().has_value(),
                          endpoint.rank_});
  }
  return ChooseSubset(settings_.domain_, candidates);
}

std::vector<EndpointRow> EndpointTable::Subset() {
  UpdateSubset();
  std::vector<EndpointRow> rows;
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.selected_) {
      rows.push_back(endpoint.row_);
    }
  }
  return rows;
}

}  // namespace chalkwell::routing
