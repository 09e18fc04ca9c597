// Events in order of time; each caller asks at most twice.
#include "emulator/fleet.hpp"

#include <algorithm>
#include <cmath>
#include <functional>
#include <numbers>
#include <optional>
#include <utility>

#include "chalkwell/routing/engine_model.hpp"
#include "chalkwell/routing/retry_jitter.hpp"
#include "chalkwell/routing/stream_admission.hpp"

namespace chalkwell::emulator {
namespace {

const core::TimePoint kStart{std::chrono::seconds(1000)};
/// Sizes end at this many means.
constexpr double kLargest = 3;

/// @brief What an entry knows; lost when its machine is.
struct Entry {
  Entry(routing::EndpointTableSettings settings, std::uint64_t seed)
      : endpoints_(std::make_unique<routing::EndpointTable>(std::move(settings),
                                                            seed)) {}

  std::unique_ptr<routing::EndpointTable> endpoints_;
  routing::RequestAgeEstimator ages_;
};

/// @brief One caller's request through its tries.
struct Call {
  std::size_t kind_ = 0;
  double prompt_tokens_ = 0;
  double answer_tokens_ = 0;
  core::TimePoint asked_at_;
  /// Time that the caller gives.
  core::Duration budget_{};
  unsigned tries_ = 0;
  std::size_t entry_ = 0;
  std::size_t engine_ = 0;
  core::TimePoint sent_at_;
  core::Duration predicted_{};
  bool on_time_ = true;
  bool waits_ = false;
  bool begun_ = false;
  bool rejected_first_ = false;
  core::TimePoint first_at_;
};

class World {
 public:
  explicit World(const FleetSpec& spec)
      : spec_(spec), random_(spec.seed_), retry_spread_(spec.seed_) {
    for (std::size_t engine = 0; engine < spec_.engines_; ++engine) {
      engines_.emplace_back(
          spec_.engine_, spec_.engine_queue_,
          EngineHooks{
              .on_first_event_ =
                  [this](std::uint64_t id, core::TimePoint now) {
                    OnFirstEvent(id, now);
                  },
              .on_end_ = [this](std::uint64_t id,
                                core::TimePoint now) { OnEnd(id, now); }});
    }
    StartEntries();
  }

  std::vector<Second> Run();

 private:
  struct Event {
    core::TimePoint at_;
    std::uint64_t order_ = 0;
    std::function<void()> act_;
  };
  struct Later {
    bool operator()(const Event& left, const Event& right) const {
      return std::pair(left.at_, left.order_) >
             std::pair(right.at_, right.order_);
    }
  };

  void At(core::TimePoint at, std::function<void()> act) {
    events_.push({at, ++order_, std::move(act)});
  }
  void StartEntries();
  void Arrive(std::size_t kind);
  /// @brief Requests a second of a kind now.
  [[nodiscard]] double RateOf(std::size_t kind) const;
  void Try(std::uint64_t id);
  /// @brief Offers a call to engines.
  /// @return when to come back, if none begins it.
  std::optional<core::Duration> Begin(std::uint64_t id,
                                      const routing::StreamRequest& request);
  void Refuse(std::uint64_t id, core::Duration wait);
  void Retry(std::uint64_t id, core::Duration wait);
  void Leave(std::uint64_t id, core::TimePoint sent_at);
  void Report(std::size_t engine);
  void Strike(const Outage& outage);
  void OnFirstEvent(std::uint64_t id, core::TimePoint now);
  void OnEnd(std::uint64_t id, core::TimePoint now);
  void Close(std::uint64_t id, std::uint32_t Second::*outcome);
  static core::InstanceId IdOf(std::size_t engine) {
    return core::InstanceId("engine-" + std::to_string(engine));
  }
  [[nodiscard]] core::FailureDomainId DomainOf(std::size_t number) const {
    return core::FailureDomainId(
        "domain-" +
        std::to_string(number % std::max<std::size_t>(1, spec_.domains_)));
  }
  double Draw() { return std::uniform_real_distribution<>(0, 1)(random_); }
  double Size(double mean, std::size_t kind) {
    const double spread = spec_.kinds_[kind].spread_;
    std::lognormal_distribution<> size(-spread * spread / 2, spread);
    return mean * std::min(kLargest, size(random_));
  }
  core::Duration Exponential(double per_second) {
    const std::chrono::duration<double> gap(
        std::exponential_distribution<>(per_second)(random_));
    return std::chrono::duration_cast<core::Duration>(gap);
  }

  const FleetSpec& spec_;
  std::mt19937_64 random_;
  routing::RetryJitter retry_spread_;
  std::deque<Engine> engines_;
  std::vector<Entry> entries_;
  std::map<std::uint64_t, Call> calls_;
  std::uint64_t next_id_ = 0;
  std::priority_queue<Event, std::vector<Event>, Later> events_;
  std::uint64_t order_ = 0;
  core::TimePoint now_ = kStart;
  bool away_ = false;
  std::vector<Second> seconds_;
};

void World::StartEntries() {
  std::vector<routing::EndpointRow> rows;
  for (std::size_t engine = 0; engine < spec_.engines_; ++engine) {
    routing::EndpointRow row;
    row.id_ = IdOf(engine);
    row.service_ = "pool";
    row.address_ = IdOf(engine).value() + ":1";
    row.domain_ = DomainOf(engine);
    rows.push_back(std::move(row));
  }
  entries_.clear();
  for (std::size_t entry = 0; entry < spec_.entries_; ++entry) {
    routing::EndpointTableSettings settings;
    if (spec_.domains_ > 0) {
      settings.domain_ = DomainOf(entry);
      settings.entry_ = core::InstanceId("entry-" + std::to_string(entry));
    }
    entries_.emplace_back(std::move(settings), random_());
    entries_.back().endpoints_->ApplyList(rows, 1, true, now_);
  }
}

double World::RateOf(std::size_t kind) const {
  double factor = 1;
  for (const auto& step : spec_.load_steps_) {
    if (now_ - kStart >= step.at_) {
      factor = step.factor_;
    }
  }
  const auto turns = std::chrono::duration<double>(now_ - kStart) /
                     std::chrono::duration<double>(spec_.swing_period_);
  factor *= 1 + spec_.swing_ * std::sin(2 * std::numbers::pi * turns);
  return factor * spec_.kinds_[kind].requests_per_second_;
}

void World::Arrive(std::size_t kind) {
  At(now_ + Exponential(RateOf(kind)), [this, kind] { Arrive(kind); });
  const auto id = ++next_id_;
  Call call;
  call.kind_ = kind;
  call.asked_at_ = now_;
  call.budget_ = std::chrono::duration_cast<core::Duration>(
      spec_.kinds_[kind].budget_ *
      (1 - spec_.kinds_[kind].budget_spread_ * Draw()));
  call.prompt_tokens_ = Size(spec_.kinds_[kind].prompt_tokens_, kind);
  call.answer_tokens_ = Size(spec_.kinds_[kind].answer_tokens_, kind);
  calls_[id] = call;
  Try(id);
}

void World::Try(std::uint64_t id) {
  auto& call = calls_.at(id);
  const auto& kind = spec_.kinds_[call.kind_];
  ++call.tries_;
  if (away_) {
    Retry(id, spec_.reconnect_);
    return;
  }
  call.entry_ = static_cast<std::size_t>(Draw() * 0.999999 *
                                         static_cast<double>(entries_.size()));
  auto& entry = entries_[call.entry_];
  const auto left = call.budget_ - (now_ - call.asked_at_);
  routing::StreamRequest request{kind.target_, {}};
  request.age_ = entry.ages_.AddAndEstimate(kind.route_, left);
  if (!spec_.late_last_) {
    request.age_ = {};
  }
  if (const auto wait = Begin(id, request)) {
    Refuse(id, *wait);
  }
}

void World::Refuse(std::uint64_t id, core::Duration wait) {
  auto& call = calls_.at(id);
  call.rejected_first_ = call.rejected_first_ || call.tries_ == 1;
  const auto left = call.budget_ - (now_ - call.asked_at_);
  // Callers wait at most for a third of what they have left.
  Retry(id, std::min<core::Duration>(retry_spread_.Draw(wait), left / 3));
}

std::optional<core::Duration> World::Begin(
    std::uint64_t id, const routing::StreamRequest& request) {
  auto& call = calls_.at(id);
  auto& endpoints = *entries_[call.entry_].endpoints_;
  routing::ChoiceRequest wanted;
  wanted.service_ = "pool";
  wanted.engine_ = &spec_.engine_;
  wanted.prompt_tokens_ = call.prompt_tokens_;
  const auto decision = routing::DecideStream(endpoints, wanted, request, now_);
  if (decision.retry_after_) {
    return decision.retry_after_;
  }
  const auto& chosen = *decision.choice_;
  call.engine_ = std::stoul(chosen.row_.id_.value().substr(7));
  call.on_time_ = decision.on_time_;
  call.sent_at_ = now_;
  call.predicted_ = chosen.time_to_first_byte_;
  const auto priority = routing::EnginePriority(1, decision.on_time_);
  const bool taken = engines_[call.engine_].Offer(
      {id, call.prompt_tokens_, call.answer_tokens_, priority.value_or(1)},
      now_);
  if (!taken) {
    return std::chrono::milliseconds(500);
  }
  call.waits_ = true;
  endpoints.OnSent(chosen.row_.id_, call.prompt_tokens_, now_, call.on_time_);
  At(now_ + spec_.patience_,
     [this, id, sent_at = now_] { Leave(id, sent_at); });
  return std::nullopt;
}

void World::Retry(std::uint64_t id, core::Duration wait) {
  if (calls_.at(id).tries_ > 1) {
    Close(id, &Second::refused_);
    return;
  }
  At(now_ + wait, [this, id] {
    if (calls_.contains(id)) {
      Try(id);
    }
  });
}

void World::Leave(std::uint64_t id, core::TimePoint sent_at) {
  const auto found = calls_.find(id);
  const bool waits = found != calls_.end() && found->second.waits_ &&
                     !found->second.begun_ && found->second.sent_at_ == sent_at;
  if (!waits) {
    return;
  }
  const auto& call = found->second;
  engines_[call.engine_].Drop(id);
  entries_[call.entry_].endpoints_->OnEnded(
      IdOf(call.engine_), call.prompt_tokens_, call.sent_at_, false,
      routing::EndpointOutcome::kCancelled, now_);
  Close(id, &Second::refused_);
}

void World::OnFirstEvent(std::uint64_t id, core::TimePoint now) {
  auto& call = calls_.at(id);
  call.begun_ = true;
  call.first_at_ = now;
  entries_[call.entry_].endpoints_->OnFirstByte(
      IdOf(call.engine_), call.prompt_tokens_, call.sent_at_, call.predicted_,
      now);
}

void World::OnEnd(std::uint64_t id, core::TimePoint now) {
  const auto call = calls_.at(id);
  entries_[call.entry_].endpoints_->OnEnded(
      IdOf(call.engine_), call.prompt_tokens_, call.sent_at_, true,
      routing::EndpointOutcome::kAnswered, now);
  const bool in_target =
      call.first_at_ - call.asked_at_ <= spec_.kinds_[call.kind_].target_;
  Close(id, in_target ? &Second::in_target_ : &Second::late_);
}

void World::Close(std::uint64_t id, std::uint32_t Second::*outcome) {
  const auto since = calls_.at(id).asked_at_ - kStart;
  const auto second = static_cast<std::size_t>(since / std::chrono::seconds(1));
  if (second < seconds_.size()) {
    ++seconds_[second].asked_;
    ++(seconds_[second].*outcome);
    const auto& call = calls_.at(id);
    const bool late = outcome == &Second::late_;
    seconds_[second].rejected_first_ += call.rejected_first_ ? 1 : 0;
    seconds_[second].late_on_time_ += late && call.on_time_ ? 1 : 0;
  }
  calls_.erase(id);
}

void World::Report(std::size_t engine) {
  At(now_ + spec_.report_interval_, [this, engine] { Report(engine); });
  engines_[engine].RunTo(now_);
  if (away_) {
    return;
  }
  const auto report = engines_[engine].Report(now_);
  At(now_ + spec_.report_delay_, [this, engine, report] {
    for (auto& entry : entries_) {
      entry.endpoints_->ApplyReport(IdOf(engine).value() + ":1", report, now_);
    }
  });
}

void World::Strike(const Outage& outage) {
  away_ = true;
  for (auto& engine : engines_) {
    engine.Restart(kStart + outage.engines_back_);
  }
  std::vector<std::uint64_t> cut;
  for (auto& [id, call] : calls_) {
    if (std::exchange(call.waits_, false)) {
      call.begun_ = false;
      cut.push_back(id);
    }
  }
  for (const auto id : cut) {
    // A machine without power says nothing: callers wait until they give up.
    Retry(id, spec_.patience_);
  }
  At(kStart + outage.entries_back_, [this] {
    away_ = false;
    StartEntries();
  });
}

std::vector<Second> World::Run() {
  seconds_.resize(
      static_cast<std::size_t>(spec_.length_ / std::chrono::seconds(1)));
  for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
    At(kStart + std::chrono::duration_cast<core::Duration>(
                    spec_.report_interval_ * Draw()),
       [this, engine] { Report(engine); });
  }
  for (std::size_t kind = 0; kind < spec_.kinds_.size(); ++kind) {
    At(kStart + std::chrono::milliseconds(200), [this, kind] { Arrive(kind); });
  }
  for (const auto& outage : spec_.outages_) {
    At(kStart + outage.at_, [this, outage] { Strike(outage); });
  }
  const auto end = kStart + spec_.length_ + std::chrono::seconds(8);
  while (!events_.empty() && events_.top().at_ < end) {
    const auto event = events_.top();
    events_.pop();
    now_ = event.at_;
    event.act_();
  }
  return seconds_;
}

}  // namespace

double Capacity(const FleetSpec& spec) {
  const auto& engine = spec.engine_;
  const std::chrono::duration<double> step =
      routing::StepTime(engine, engine.slots_);
  double requests = 0;
  double engine_seconds = 0;
  for (const auto& kind : spec.kinds_) {
    requests += kind.requests_per_second_;
    engine_seconds += kind.requests_per_second_ *
                      (kind.prompt_tokens_ / engine.prefill_tokens_per_second_ +
                       kind.answer_tokens_ * step.count() / engine.slots_);
  }
  return static_cast<double>(spec.engines_) * requests / engine_seconds;
}

std::vector<Second> Play(const FleetSpec& spec) { return World(spec).Run(); }

}  // namespace chalkwell::emulator
