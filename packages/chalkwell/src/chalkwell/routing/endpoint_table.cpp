// Reports give what all entries sent; own requests since then are added.
#include "chalkwell/routing/endpoint_table.hpp"

#include <algorithm>
#include <utility>

#include "chalkwell/core/milliseconds.hpp"

namespace chalkwell::routing {
namespace {

/// Weight of a new sample in the mean wait of a plain service.
constexpr double kWaitWeight = 0.2;
/// Weight of a new sample in the share of failures.
constexpr double kFailureWeight = 0.3;
/// Departed incarnations remembered: those of some minutes on a large
/// deployment.
constexpr std::size_t kMaxDeparted = 512;
/// Earlier lives of one id that may still be told of.
constexpr std::size_t kMaxStarts = 8;

}  // namespace

EndpointTable::EndpointTable(EndpointTableSettings settings, std::uint64_t seed)
    : settings_(std::move(settings)), random_(seed) {}

EndpointTable::Endpoint* EndpointTable::Find(const core::InstanceId& id) {
  const auto found = endpoints_.find(id);
  return found == endpoints_.end() ? nullptr : &found->second;
}

void EndpointTable::ApplyList(std::vector<EndpointRow> rows,
                              std::uint64_t revision, bool complete,
                              core::TimePoint now, core::TimePoint as_of) {
  if (revision < revision_) {
    return;
  }
  revision_ = revision;
  for (auto& [id, endpoint] : endpoints_) {
    endpoint.listed_ = false;
    if (!endpoint.missing_since_) {
      endpoint.missing_since_ = now;
    }
  }
  for (auto& row : rows) {
    TakeRow(std::move(row));
  }
  DropMissing(complete ? core::Duration{} : settings_.lapse_grace_, now);
  if (complete) {
    DropUnlisted(as_of);
  }
}

bool EndpointTable::Endpoint::WasDead(
    const std::optional<core::StartTime>& started) const {
  return started &&
         std::ranges::find(dead_starts_, *started) != dead_starts_.end();
}

void EndpointTable::BeginLife(Endpoint& endpoint, EndpointRow row) {
  Endpoint next;
  next.selected_ = endpoint.selected_;
  next.rank_ = endpoint.rank_;
  next.listed_ = endpoint.listed_;
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
  next.row_.leaving_ =
      next.row_.leaving_ || SaidLeaving(next.row_.incarnation());
  endpoint = std::move(next);
}

void EndpointTable::RememberLeaving(const EndpointIncarnation& life) {
  if (SaidLeaving(life)) {
    return;
  }
  leaving_.push_back(life);
  if (leaving_.size() > kMaxDeparted) {
    leaving_.pop_front();
  }
}

bool EndpointTable::SaidLeaving(const EndpointIncarnation& life) const {
  return std::ranges::any_of(leaving_, [&](const EndpointIncarnation& leaving) {
    return leaving.id_ == life.id_ && leaving.started_ == life.started_;
  });
}

bool EndpointTable::IsLeavingOrRemoved(const EndpointIncarnation& life) const {
  const auto same = [&](const EndpointIncarnation& other) {
    return SameIncarnation(other, life);
  };
  return std::ranges::any_of(leaving_, same) ||
         std::ranges::any_of(departed_, same);
}

bool EndpointTable::IsReplaced(const std::string& address,
                               const EndpointIncarnation& life) const {
  return !IsLeavingOrRemoved(life) && !incarnations_.Lives(address, life);
}

void EndpointTable::TakeRow(EndpointRow row) {
  subset_due_ = true;
  auto& endpoint = endpoints_[row.id_];
  endpoint.listed_ = true;
  endpoint.missing_since_.reset();
  std::erase_if(departed_, [&](const EndpointIncarnation& departed) {
    return SameIncarnation(departed, row.incarnation());
  });
  if (row.leaving_) {
    RememberLeaving(row.incarnation());
  }
  if (endpoint.WasDead(row.started_)) {
    // Its next life was told of before its row was written.
    return;
  }
  incarnations_.OnRow(row.address_, row.incarnation(), row.created_);
  if (StartTimesDiffer(endpoint.row_.started_, row.started_)) {
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

bool EndpointTable::ApplyChange(const EndpointListChange& change,
                                core::TimePoint now) {
  // What was incomplete may be told complete without another revision.
  if (change.full_ && change.to_ >= revision_) {
    ApplyList(change.rows_, change.to_, change.complete_, now, change.as_of_);
    return true;
  }
  if (change.to_ < revision_) {
    return true;
  }
  if (change.from_ > revision_) {
    return false;
  }
  if (change.to_ > revision_) {
    revision_ = change.to_;
    for (const auto& row : change.rows_) {
      TakeRow(row);
    }
    for (const auto& id : change.removed_) {
      Erase(id);
    }
  }
  if (change.complete_) {
    DropUnlisted(change.as_of_);
  }
  return true;
}

bool EndpointTable::IsGone(const Endpoint& endpoint, core::Duration grace,
                           core::TimePoint now) {
  const auto& missing = endpoint.missing_since_;
  return missing && now - *missing >= grace && now >= endpoint.told_until_;
}

void EndpointTable::DropMissing(core::Duration grace, core::TimePoint now) {
  std::vector<core::InstanceId> gone;
  for (const auto& [id, endpoint] : endpoints_) {
    if (IsGone(endpoint, grace, now)) {
      gone.push_back(id);
    }
  }
  Erase(gone);
}

void EndpointTable::DropUnlisted(core::TimePoint as_of) {
  std::vector<core::InstanceId> gone;
  for (const auto& [id, endpoint] : endpoints_) {
    if (!endpoint.listed_ &&
        as_of - endpoint.told_at_ >= settings_.publish_time_) {
      gone.push_back(id);
    }
  }
  Erase(gone);
}

void EndpointTable::Erase(const std::vector<core::InstanceId>& ids) {
  for (const auto& id : ids) {
    Erase(id);
  }
}

void EndpointTable::Erase(const core::InstanceId& id) {
  subset_due_ = true;
  const auto found = endpoints_.find(id);
  if (found == endpoints_.end()) {
    departed_.push_back({id, std::nullopt});
  } else {
    departed_.push_back(found->second.row_.incarnation());
    endpoints_.erase(found);
  }
  if (departed_.size() > kMaxDeparted) {
    departed_.pop_front();
  }
}

void EndpointTable::ApplyAnnouncement(EndpointRow row, core::TimePoint now) {
  subset_due_ = true;
  const auto life = row.incarnation();
  auto* known = Find(row.id_);
  incarnations_.OnTold(row.address_, life);
  if (known != nullptr) {
    if (StartTimesDiffer(known->row_.started_, row.started_)) {
      BeginLife(*known, std::move(row));
      known->told_at_ = now;
      known->told_until_ = now + settings_.told_grace_;
    }
    return;
  }
  const bool left =
      std::ranges::any_of(departed_, [&](const EndpointIncarnation& gone) {
        return SameIncarnation(gone, life);
      });
  if (left) {
    return;
  }
  auto& endpoint = endpoints_[row.id_];
  endpoint.row_ = std::move(row);
  endpoint.row_.leaving_ = SaidLeaving(life);
  endpoint.told_at_ = now;
  endpoint.told_until_ = now + settings_.told_grace_;
}

void EndpointTable::ApplyIncarnation(const std::string& address,
                                     const EndpointIncarnation& life,
                                     core::TimePoint now) {
  for (const auto& [id, endpoint] : endpoints_) {
    if (endpoint.row_.address_ != address) {
      continue;
    }
    auto row = endpoint.row_;
    row.id_ = life.id_;
    row.started_ = life.started_;
    row.leaving_ = false;
    row.created_ = 0;
    row.weights_version_.reset();
    ApplyAnnouncement(std::move(row), now);
    return;
  }
}

void EndpointTable::ApplyReport(const std::string& address,
                                const LoadReport& report,
                                core::TimePoint taken_at) {
  for (auto& [id, endpoint] : endpoints_) {
    if (endpoint.row_.address_ != address ||
        !incarnations_.Lives(address, endpoint.row_.incarnation())) {
      continue;
    }
    if (endpoint.report_ && taken_at < endpoint.reported_at_) {
      return;
    }
    if (StartTimesDiffer(endpoint.row_.started_, report.started_)) {
      // Told of before its row was read, or after the row of a life between.
      auto row = endpoint.row_;
      row.started_ = report.started_;
      row.leaving_ = false;
      row.weights_version_.reset();
      incarnations_.OnTold(address, row.incarnation());
      BeginLife(endpoint, std::move(row));
      subset_due_ = true;
      endpoint.told_at_ = taken_at;
      endpoint.told_until_ = taken_at + settings_.told_grace_;
    }
    subset_due_ = subset_due_ || endpoint.version().has_value() !=
                                     report.weights_version_.has_value();
    endpoint.report_ = report;
    endpoint.reported_at_ = taken_at;
    endpoint.heard_at_ = std::max(endpoint.heard_at_, taken_at);
    latest_report_ = std::max(latest_report_, taken_at);
    endpoint.told_version_ = report.weights_version_;
    endpoint.told_ = true;
    std::erase_if(endpoint.sent_,
                  [&](core::TimePoint sent) { return sent < taken_at; });
    return;
  }
}

void EndpointTable::MarkLeaving(const EndpointIncarnation& life) {
  RememberLeaving(life);
  auto* endpoint = Find(life.id_);
  if (endpoint != nullptr &&
      SameIncarnation(endpoint->row_.incarnation(), life)) {
    RememberLeaving(endpoint->row_.incarnation());
    endpoint->row_.leaving_ = true;
    subset_due_ = true;
  }
}

void EndpointTable::MarkTerminated(const EndpointIncarnation& life) {
  const auto* endpoint = Find(life.id_);
  if (endpoint == nullptr ||
      SameIncarnation(endpoint->row_.incarnation(), life)) {
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
    subset_due_ = true;
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

void EndpointTable::OnProgress(const core::InstanceId& id,
                               core::TimePoint now) {
  if (auto* endpoint = Find(id)) {
    endpoint->heard_at_ = now;
  }
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
  endpoint->waited_ =
      endpoint->waited_ == core::Duration{}
          ? waited
          : core::FromMs(core::ToMs(endpoint->waited_) * (1 - kWaitWeight) +
                         core::ToMs(waited) * kWaitWeight);
  const auto late = std::max<core::Duration>(waited - predicted, {});
  endpoint->late_ =
      core::FromMs(core::ToMs(LateAt(*endpoint, now)) * (1 - kWaitWeight) +
                   core::ToMs(late) * kWaitWeight);
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
