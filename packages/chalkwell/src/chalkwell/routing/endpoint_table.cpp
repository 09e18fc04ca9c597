// Reports give what all entries sent; own requests since then are added.
#include "chalkwell/routing/endpoint_table.hpp"

#include <algorithm>
#include <cmath>
#include <utility>

#include "chalkwell/routing/engine_model.hpp"

namespace chalkwell::routing {
namespace {

using Milliseconds = std::chrono::duration<double, std::milli>;

/// Weight of a new sample in the mean wait of a plain service.
constexpr double kWaitWeight = 0.2;
/// Weight of a new sample in the share of failures.
constexpr double kFailureWeight = 0.3;
/// Requests under way that one of our own stands for while no report is fresh:
/// other entries send too.
constexpr std::uint32_t kUnreportedFactor = 3;
/// Departed incarnations remembered: those of some minutes on a large
/// deployment.
constexpr std::size_t kMaxDeparted = 512;
/// Earlier lives of one id that may still be told of.
constexpr std::size_t kMaxStarts = 8;
/// Below this many milliseconds two choices count as equal.
constexpr double kTieMs = 2;

core::Duration Span(double milliseconds) {
  return std::chrono::duration_cast<core::Duration>(Milliseconds(milliseconds));
}

double Ms(core::Duration span) { return Milliseconds(span).count(); }

}  // namespace

std::optional<EndpointListChange> ChangeOf(
    std::uint64_t from, const std::vector<EndpointRow>& before,
    std::uint64_t to, const std::vector<EndpointRow>& after, bool complete) {
  if (!complete) {
    return std::nullopt;
  }
  EndpointListChange change{.from_ = from, .to_ = to, .rows_ = {}, .gone_ = {}};
  for (const auto& row : after) {
    if (std::ranges::find(before, row) == before.end()) {
      change.rows_.push_back(row);
    }
  }
  for (const auto& row : before) {
    if (std::ranges::find(after, row.id_, &EndpointRow::id_) == after.end()) {
      change.gone_.push_back(row.id_);
    }
  }
  return change;
}

EndpointTable::EndpointTable(EndpointTableSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed) {}

EndpointTable::Endpoint* EndpointTable::Find(const core::InstanceId& id) {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

void EndpointTable::TakeList(std::vector<EndpointRow> rows,
                             std::uint64_t revision, bool complete,
                             core::TimePoint now) {
  if (revision < revision_) {
    return;
  }
  revision_ = revision;
  for (auto& [id, endpoint] : endpoints_) {
    if (!endpoint.missing_since_) {
      endpoint.missing_since_ = now;
    }
  }
  for (auto& row : rows) {
    TakeRow(std::move(row));
  }
  DropMissing(complete ? core::Duration{} : settings_.lapse_grace_, now);
}

bool EndpointTable::Endpoint::WasDead(
    const std::optional<core::StartTime>& started) const {
  return started &&
         std::ranges::find(dead_starts_, *started) != dead_starts_.end();
}

void EndpointTable::BeginLife(Endpoint& endpoint, EndpointRow row) {
  Endpoint next;
  next.dead_starts_ = std::move(endpoint.dead_starts_);
  if (endpoint.row_.started_) {
    next.dead_starts_.push_back(*endpoint.row_.started_);
  }
  if (next.dead_starts_.size() > kMaxStarts) {
    next.dead_starts_.pop_front();
  }
  if (row.started_) {
    // A report may correct what a late row said.
    std::erase(next.dead_starts_, *row.started_);
  }
  next.row_ = std::move(row);
  endpoint = std::move(next);
}

void EndpointTable::TakeRow(EndpointRow row) {
  auto& endpoint = endpoints_[row.id_];
  endpoint.missing_since_.reset();
  if (endpoint.WasDead(row.started_)) {
    // Its next life was told of before its row was written.
    return;
  }
  incarnations_.OnRow(row.address_, row.life(), row.created_);
  if (Differ(endpoint.row_.started_, row.started_)) {
    BeginLife(endpoint, std::move(row));
    return;
  }
  // An endpoint that leaves does not come back within the same life.
  const bool leaving = endpoint.row_.leaving_ || row.leaving_;
  const auto started = row.started_ ? row.started_ : endpoint.row_.started_;
  endpoint.row_ = std::move(row);
  endpoint.row_.leaving_ = leaving;
  endpoint.row_.started_ = started;
}

bool EndpointTable::TakeChange(const EndpointListChange& change) {
  if (change.to_ <= revision_) {
    return true;
  }
  if (change.from_ > revision_) {
    return false;
  }
  revision_ = change.to_;
  for (const auto& row : change.rows_) {
    TakeRow(row);
  }
  for (const auto& id : change.gone_) {
    Erase(id);
  }
  return true;
}

void EndpointTable::DropMissing(core::Duration grace, core::TimePoint now) {
  std::vector<core::InstanceId> gone;
  for (const auto& [id, endpoint] : endpoints_) {
    const auto& missing = endpoint.missing_since_;
    if (missing && now - *missing >= grace && now >= endpoint.told_until_) {
      gone.push_back(id);
    }
  }
  for (const auto& id : gone) {
    Erase(id);
  }
}

void EndpointTable::Erase(const core::InstanceId& id) {
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) {
    departed_.push_back({id, std::nullopt});
  } else {
    departed_.push_back(found->second.row_.life());
    endpoints_.erase(found);
  }
  if (departed_.size() > kMaxDeparted) {
    departed_.pop_front();
  }
}

void EndpointTable::TakeTold(EndpointRow row, core::TimePoint now) {
  const auto life = row.life();
  auto* known = Find(row.id_);
  incarnations_.OnTold(row.address_, life);
  if (known != nullptr) {
    if (Differ(known->row_.started_, row.started_)) {
      BeginLife(*known, std::move(row));
      known->told_until_ = now + settings_.told_grace_;
    }
    return;
  }
  const bool left = std::ranges::any_of(
      departed_,
      [&](const EndpointLife& gone) { return SameLife(gone, life); });
  if (left) {
    return;
  }
  auto& endpoint = endpoints_[row.id_];
  endpoint.row_ = std::move(row);
  endpoint.told_until_ = now + settings_.told_grace_;
}

void EndpointTable::TakeReport(const std::string& address,
                               const LoadReport& report,
                               core::TimePoint taken_at) {
  for (auto& [id, endpoint] : endpoints_) {
    if (endpoint.row_.address_ != address ||
        !incarnations_.Lives(address, endpoint.row_.life())) {
      continue;
    }
    if (endpoint.report_ && taken_at < endpoint.reported_at_) {
      return;
    }
    if (Differ(endpoint.row_.started_, report.started_)) {
      // Told of before its row was read, or after the row of a life between.
      auto row = endpoint.row_;
      row.started_ = report.started_;
      row.leaving_ = false;
      row.weights_version_.reset();
      incarnations_.OnTold(address, row.life());
      BeginLife(endpoint, std::move(row));
      endpoint.told_until_ = taken_at + settings_.told_grace_;
    }
    endpoint.report_ = report;
    endpoint.reported_at_ = taken_at;
    endpoint.told_version_ = report.weights_version_;
    endpoint.told_ = true;
    std::erase_if(endpoint.sent_,
                  [&](core::TimePoint sent) { return sent < taken_at; });
    return;
  }
}

void EndpointTable::MarkLeaving(const EndpointLife& life) {
  auto* endpoint = Find(life.id_);
  if (endpoint != nullptr && SameLife(endpoint->row_.life(), life)) {
    endpoint->row_.leaving_ = true;
  }
}

void EndpointTable::MarkGone(const EndpointLife& life) {
  const auto* endpoint = Find(life.id_);
  if (endpoint == nullptr || SameLife(endpoint->row_.life(), life)) {
    Erase(life.id_);
  }
}

void EndpointTable::MarkReplaced(const core::InstanceId& id,
                                 const core::InstanceId& living) {
  if (const auto* endpoint = Find(id)) {
    incarnations_.OnTold(endpoint->row_.address_, {living, std::nullopt});
  }
}

void EndpointTable::MarkVersion(const core::InstanceId& id,
                                std::optional<std::uint64_t> version) {
  if (auto* endpoint = Find(id)) {
    endpoint->told_version_ = version;
    endpoint->told_ = true;
  }
}

void EndpointTable::OnSent(const core::InstanceId& id, double prompt_tokens,
                           core::TimePoint now, bool on_time) {
  auto* endpoint = Find(id);
  if (endpoint == nullptr) {
    return;
  }
  endpoint->under_way_.push_back(now);
  endpoint->sent_.push_back(now);
  if (on_time) {
    endpoint->reading_ += prompt_tokens;
    endpoint->unanswered_.push_back(now);
  } else {
    endpoint->late_unanswered_.push_back(now);
  }
}

bool EndpointTable::ForgetUnanswered(Endpoint& endpoint, double prompt_tokens,
                                     core::TimePoint sent_at) {
  const auto late = std::ranges::find(endpoint.late_unanswered_, sent_at);
  if (late != endpoint.late_unanswered_.end()) {
    endpoint.late_unanswered_.erase(late);
    return false;
  }
  endpoint.reading_ = std::max(0.0, endpoint.reading_ - prompt_tokens);
  const auto found = std::ranges::find(endpoint.unanswered_, sent_at);
  if (found != endpoint.unanswered_.end()) {
    endpoint.unanswered_.erase(found);
  }
  return true;
}

void EndpointTable::OnFirstByte(const core::InstanceId& id,
                                double prompt_tokens, core::TimePoint sent_at,
                                core::Duration predicted, core::TimePoint now) {
  auto* endpoint = Find(id);
  if (endpoint == nullptr || std::ranges::find(endpoint->under_way_, sent_at) ==
                                 endpoint->under_way_.end()) {
    return;
  }
  if (!ForgetUnanswered(*endpoint, prompt_tokens, sent_at)) {
    // It waited for others: that says nothing of the endpoint.
    return;
  }
  const auto waited = now - sent_at;
  endpoint->waited_ = endpoint->waited_ == core::Duration{}
                          ? waited
                          : Span(Ms(endpoint->waited_) * (1 - kWaitWeight) +
                                 Ms(waited) * kWaitWeight);
  const auto late = std::max<core::Duration>(waited - predicted, {});
  endpoint->late_ = Span(Ms(LateAt(*endpoint, now)) * (1 - kWaitWeight) +
                         Ms(late) * kWaitWeight);
  endpoint->late_at_ = now;
}

void EndpointTable::OnEnded(const core::InstanceId& id, double prompt_tokens,
                            core::TimePoint sent_at, bool answering,
                            EndpointOutcome outcome, core::TimePoint now) {
  auto* endpoint = Find(id);
  if (endpoint == nullptr) {
    return;
  }
  const auto own = std::ranges::find(endpoint->under_way_, sent_at);
  if (own == endpoint->under_way_.end()) {
    // It was sent to an earlier life.
    return;
  }
  endpoint->under_way_.erase(own);
  if (!answering) {
    ForgetUnanswered(*endpoint, prompt_tokens, sent_at);
  }
  const auto counted = std::ranges::find(endpoint->sent_, sent_at);
  if (counted != endpoint->sent_.end()) {
    endpoint->sent_.erase(counted);
  }
  if (outcome == EndpointOutcome::kCancelled) {
    return;
  }
  const bool failed = outcome == EndpointOutcome::kFailed;
  endpoint->failing_ = FailingAt(*endpoint, now) * (1 - kFailureWeight) +
                       (failed ? kFailureWeight : 0);
  endpoint->failed_at_ = now;
}

core::Duration EndpointTable::LateAt(const Endpoint& endpoint,
                                     core::TimePoint now) const {
  const auto halves =
      Ms(now - endpoint.late_at_) / Ms(settings_.failure_half_life_);
  auto late = Span(Ms(endpoint.late_) * std::exp2(-halves));
  for (const auto sent_at : endpoint.unanswered_) {
    late = std::max(late, now - sent_at - settings_.overdue_after_);
  }
  return late;
}

double EndpointTable::FailingAt(const Endpoint& endpoint,
                                core::TimePoint now) const {
  const auto halves =
      Ms(now - endpoint.failed_at_) / Ms(settings_.failure_half_life_);
  return endpoint.failing_ * std::exp2(-halves);
}

core::Duration EndpointTable::ExtraDelay(const Endpoint& endpoint,
                                         core::TimePoint now) const {
  const auto late = LateAt(endpoint, now);
  return Reported(endpoint, now) ? std::max(late, endpoint.report_->path_delay_)
                                 : late;
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
      endpoint.version() >= request.versions_.next_) {
    return false;
  }
  const bool link_known = endpoint.report_ && now - endpoint.reported_at_ <
                                                  settings_.link_report_age_;
  // A late one waits for all that come meanwhile.
  const bool known = link_known && request.on_time_;
  const auto begins =
      known ? first_byte : std::max(first_byte, settings_.unreported_delay_);
  return now + begins >= request.versions_.until_;
}

bool EndpointTable::Usable(const Endpoint& endpoint,
                           const ChoiceRequest& request) const {
  const auto& row = endpoint.row_;
  if (row.service_ != request.service_ || row.leaving_ ||
      !incarnations_.Lives(row.address_, row.life()) ||
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
  return version && *version >= request.versions_.least_ &&
         (!request.weights_version_ || version == request.weights_version_);
}

std::uint32_t EndpointTable::Occupied(const Endpoint& endpoint,
                                      core::TimePoint now) const {
  if (!Reported(endpoint, now)) {
    return endpoint.in_flight() * kUnreportedFactor;
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
    return Span(Ms(endpoint.waited_) * (1 + waves));
  }
  const auto slots = std::max(1U, request.engine_->slots_);
  EngineLoad load;
  load.running_ = std::min(ahead, slots);
  load.queued_ = ahead - load.running_;
  load.unread_tokens_ = endpoint.reading_;
  load.pace_ = endpoint.report_ ? endpoint.report_->pace_ : 1;
  return FirstEventAfter(*request.engine_, load, request.prompt_tokens_);
}

std::optional<EndpointChoice> EndpointTable::Choose(
    const ChoiceRequest& request, core::TimePoint now) {
  struct Ranked {
    double cost_ = 0;
    std::uint64_t tie_ = 0;
    const Endpoint* endpoint_ = nullptr;
    std::uint32_t occupied_ = 0;
    core::Duration first_byte_{};
  };
  std::optional<Ranked> best;
  const double late_share = request.on_time_ ? LateShare() : 0;
  for (const auto& [id, endpoint] : endpoints_) {
    if (!Usable(endpoint, request)) {
      continue;
    }
    Ranked ranked;
    ranked.endpoint_ = &endpoint;
    ranked.occupied_ = Ahead(endpoint, late_share, now);
    const auto extra = ExtraDelay(endpoint, now);
    ranked.first_byte_ = FirstByte(endpoint, request, ranked.occupied_) + extra;
    if (TooOld(endpoint, request, ranked.first_byte_, now)) {
      continue;
    }
    ranked.tie_ = random_();
    ranked.cost_ = Ms(ranked.first_byte_) +
                   FailingAt(endpoint, now) * Ms(settings_.failure_cost_);
    if (request.engine_ != nullptr) {
      // Each request that runs slows all others: even when places are free, the
      // emptier endpoint is the better one.
      ranked.cost_ += ranked.occupied_ * Ms(request.engine_->step_) / 2;
      if (!Reported(endpoint, now)) {
        ranked.cost_ += Ms(settings_.unreported_cost_);
      }
    }
    if (endpoint.row_.domain_ != settings_.domain_) {
      ranked.cost_ += Ms(settings_.foreign_cost_);
    }
    const bool better =
        !best || ranked.cost_ < best->cost_ - kTieMs ||
        (ranked.cost_ < best->cost_ + kTieMs && ranked.tie_ < best->tie_);
    if (better) {
      best = ranked;
    }
  }
  if (!best) {
    return std::nullopt;
  }
  EndpointChoice choice;
  choice.row_ = best->endpoint_->row_;
  choice.row_.weights_version_ = best->endpoint_->version();
  choice.first_byte_ = best->first_byte_;
  choice.occupied_ = best->occupied_;
  choice.reported_ = best->endpoint_->report_.has_value();
  if (choice.reported_) {
    choice.report_age_ = now - best->endpoint_->reported_at_;
  }
  return choice;
}

std::uint32_t EndpointTable::LoadOf(const core::InstanceId& id,
                                    core::TimePoint now) const {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? 0 : Occupied(found->second, now);
}

std::vector<EndpointRow> EndpointTable::Rows() const {
  std::vector<EndpointRow> rows;
  rows.reserve(endpoints_.size());
  for (const auto& [id, endpoint] : endpoints_) {
    rows.push_back(endpoint.row_);
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
