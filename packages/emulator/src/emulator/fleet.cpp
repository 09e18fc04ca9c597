// Discrete-event simulation. Each caller makes at most two attempts.
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
/// Upper limit of sizes, as a multiple of the mean.
constexpr double kMaxSizeFactor = 3;
/// Time for which the entries have run before the simulation.
constexpr auto kRunningBefore = std::chrono::seconds(60);

/// @brief State of an entry; lost in an outage.
struct Entry {
  Entry(routing::EndpointTableSettings settings, std::uint64_t seed)
      : endpoints_(std::make_unique<routing::EndpointTable>(std::move(settings),
                                                            seed)) {}

  std::unique_ptr<routing::EndpointTable> endpoints_;
  routing::RequestAgeEstimator request_age_;
};

/// @brief A caller's request with all its attempts.
struct Call {
  std::size_t class_ = 0;
  double prompt_tokens_ = 0;
  double output_tokens_ = 0;
  core::TimePoint first_attempt_at_;
  /// Time in which the caller wants the response.
  core::Duration time_budget_{};
  unsigned attempts_ = 0;
  std::size_t entry_ = 0;
  std::size_t engine_ = 0;
  core::TimePoint sent_at_;
  core::Duration predicted_time_to_first_byte_{};
  bool on_time_ = true;
  bool in_flight_ = false;
  bool started_ = false;
  bool first_attempt_refused_ = false;
  core::TimePoint first_event_at_;
};

class Simulation {
 public:
  explicit Simulation(const FleetSpec& spec)
      : spec_(spec),
        random_(spec.seed_),
        retry_jitter_(spec.seed_),
        stated_limits_(spec.rate_limits_, spec.load_rate_limit_, spec.engines_,
                       kStart) {
    for (std::size_t engine = 0; engine < spec_.engines_; ++engine) {
      engines_.emplace_back(
          spec_.engine_, spec_.engine_queue_limit_,
          EngineCallbacks{
              .on_first_event_ =
                  [this](std::uint64_t id, core::TimePoint now) {
                    OnFirstEvent(id, now);
                  },
              .on_end_ = [this](std::uint64_t id,
                                core::TimePoint now) { OnEnd(id, now); }});
    }
    StartEntries();
  }

  std::vector<SecondStats> Run();

 private:
  struct Event {
    core::TimePoint at_;
    std::uint64_t sequence_ = 0;
    std::function<void()> action_;
  };
  struct IsLater {
    bool operator()(const Event& left, const Event& right) const {
      return std::pair(left.at_, left.sequence_) >
             std::pair(right.at_, right.sequence_);
    }
  };

  void Schedule(core::TimePoint at, std::function<void()> action) {
    events_.push({at, ++sequence_, std::move(action)});
  }
  void StartEntries();
  [[nodiscard]] std::vector<routing::EntryLocation> OtherEntries(
      std::size_t self) const;
  void OnArrival(std::size_t request_class);
  /// @brief Current requests per second of a class.
  [[nodiscard]] double RateOf(std::size_t request_class) const;
  void Attempt(std::uint64_t id);
  /// @brief Sends a call to an engine.
  /// @return when to retry, if no engine accepted it.
  std::optional<core::Duration> Dispatch(std::uint64_t id,
                                         const routing::StreamRequest& request);
  void OnRefused(std::uint64_t id, core::Duration wait);
  void Retry(std::uint64_t id, core::Duration wait);
  void OnCallerTimeout(std::uint64_t id, core::TimePoint sent_at);
  void ReportLoad(std::size_t engine);
  void StartOutage(const Outage& outage);
  void CountLimited(std::size_t second);
  void OnFirstEvent(std::uint64_t id, core::TimePoint now);
  /// @brief Applies the rate limit that a response states, if any.
  void ReadRateLimit(const Call& call, core::TimePoint now);
  void OnEnd(std::uint64_t id, core::TimePoint now);
  void RecordOutcome(std::uint64_t id, std::uint32_t SecondStats::*outcome);
  static core::InstanceId IdOf(std::size_t engine) {
    return core::InstanceId("engine-" + std::to_string(engine));
  }
  [[nodiscard]] core::FailureDomainId DomainOf(std::size_t number) const {
    return core::FailureDomainId(
        "domain-" +
        std::to_string(number % std::max<std::size_t>(1, spec_.domains_)));
  }
  double Uniform() { return std::uniform_real_distribution<>(0, 1)(random_); }
  double SampleTokens(double mean, std::size_t request_class) {
    const double sigma = spec_.classes_[request_class].size_sigma_;
    std::lognormal_distribution<> size(-sigma * sigma / 2, sigma);
    return mean * std::min(kMaxSizeFactor, size(random_));
  }
  core::Duration SampleInterval(double per_second) {
    const std::chrono::duration<double> gap(
        std::exponential_distribution<>(per_second)(random_));
    return std::chrono::duration_cast<core::Duration>(gap);
  }

  const FleetSpec& spec_;
  std::mt19937_64 random_;
  routing::RetryJitter retry_jitter_;
  StatedLimits stated_limits_;
  std::deque<Engine> engines_;
  std::vector<Entry> entries_;
  std::map<std::uint64_t, Call> calls_;
  std::uint64_t next_id_ = 0;
  std::priority_queue<Event, std::vector<Event>, IsLater> events_;
  std::uint64_t sequence_ = 0;
  core::TimePoint now_ = kStart;
  bool outage_active_ = false;
  std::vector<SecondStats> seconds_;
};

void Simulation::StartEntries() {
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
    entries_.back().endpoints_->ApplyList(rows, core::StoreRevision(1, 1), true,
                                          now_);
    entries_.back().endpoints_->rate_limit_senders().SetEntries(
        OtherEntries(entry), true, now_ - kRunningBefore);
  }
}

std::vector<routing::EntryLocation> Simulation::OtherEntries(
    std::size_t self) const {
  std::vector<routing::EntryLocation> others;
  for (std::size_t entry = 0; entry < spec_.entries_; ++entry) {
    if (entry != self) {
      others.push_back({core::InstanceId("entry-" + std::to_string(entry)),
                        DomainOf(entry)});
    }
  }
  return others;
}

double Simulation::RateOf(std::size_t request_class) const {
  double factor = 1;
  for (const auto& step : spec_.load_steps_) {
    if (now_ - kStart >= step.at_) {
      factor = step.factor_;
    }
  }
  const auto periods = std::chrono::duration<double>(now_ - kStart) /
                       std::chrono::duration<double>(spec_.rate_period_);
  factor *=
      1 + spec_.rate_amplitude_ * std::sin(2 * std::numbers::pi * periods);
  return factor * spec_.classes_[request_class].requests_per_second_;
}

void Simulation::OnArrival(std::size_t request_class) {
  Schedule(now_ + SampleInterval(RateOf(request_class)),
           [this, request_class] { OnArrival(request_class); });
  const auto id = ++next_id_;
  Call call;
  call.class_ = request_class;
  call.first_attempt_at_ = now_;
  call.time_budget_ = std::chrono::duration_cast<core::Duration>(
      spec_.classes_[request_class].time_budget_ *
      (1 - spec_.classes_[request_class].time_budget_spread_ * Uniform()));
  call.prompt_tokens_ =
      SampleTokens(spec_.classes_[request_class].prompt_tokens_, request_class);
  call.output_tokens_ =
      SampleTokens(spec_.classes_[request_class].output_tokens_, request_class);
  calls_[id] = call;
  Attempt(id);
}

void Simulation::Attempt(std::uint64_t id) {
  auto& call = calls_.at(id);
  const auto& request_class = spec_.classes_[call.class_];
  ++call.attempts_;
  if (outage_active_) {
    Retry(id, spec_.reconnect_delay_);
    return;
  }
  // The factor keeps a rounded result below the number of entries.
  call.entry_ = static_cast<std::size_t>(Uniform() * 0.999999 *
                                         static_cast<double>(entries_.size()));
  auto& entry = entries_[call.entry_];
  const auto remaining = call.time_budget_ - (now_ - call.first_attempt_at_);
  routing::StreamRequest request{request_class.target_, {}};
  // An entry does not know when a request was first attempted. It estimates
  // that from the remaining time budget, compared with those of other requests
  // of the route.
  request.age_ =
      entry.request_age_.AddAndEstimate(request_class.route_, remaining);
  if (!spec_.on_time_first_) {
    request.age_ = {};
  }
  if (const auto wait = Dispatch(id, request)) {
    OnRefused(id, *wait);
  }
}

void Simulation::OnRefused(std::uint64_t id, core::Duration wait) {
  auto& call = calls_.at(id);
  call.first_attempt_refused_ =
      call.first_attempt_refused_ || call.attempts_ == 1;
  const auto remaining = call.time_budget_ - (now_ - call.first_attempt_at_);
  // Callers wait for at most a third of their remaining time.
  Retry(id, std::min<core::Duration>(retry_jitter_.Draw(wait), remaining / 3));
}

std::optional<core::Duration> Simulation::Dispatch(
    std::uint64_t id, const routing::StreamRequest& request) {
  auto& call = calls_.at(id);
  auto& endpoints = *entries_[call.entry_].endpoints_;
  routing::ChoiceRequest choice_request;
  choice_request.service_ = "pool";
  choice_request.engine_ = &spec_.engine_;
  choice_request.prompt_tokens_ = call.prompt_tokens_;
  const auto decision =
      routing::DecideStream(endpoints, choice_request, request, now_);
  if (decision.retry_after_) {
    return decision.retry_after_;
  }
  const auto& chosen = *decision.choice_;
  // The number after "engine-", see IdOf().
  call.engine_ = std::stoul(chosen.row_.id_.value().substr(7));
  call.on_time_ = decision.on_time_;
  call.sent_at_ = now_;
  call.predicted_time_to_first_byte_ = chosen.time_to_first_byte_;
  const auto priority = routing::EnginePriority(1, decision.on_time_);
  const bool accepted = engines_[call.engine_].Submit(
      {id, call.prompt_tokens_, call.output_tokens_, priority.value_or(1)},
      now_);
  if (!accepted) {
    // The engine's queue is full or the engine is not ready.
    return std::chrono::milliseconds(500);
  }
  call.in_flight_ = true;
  stated_limits_.OnReceived(call.engine_, engines_[call.engine_].requests(),
                            now_);
  endpoints.OnSent(chosen.row_.id_, call.prompt_tokens_, now_, call.on_time_);
  Schedule(now_ + spec_.caller_timeout_,
           [this, id, sent_at = now_] { OnCallerTimeout(id, sent_at); });
  return std::nullopt;
}

void Simulation::Retry(std::uint64_t id, core::Duration wait) {
  if (calls_.at(id).attempts_ > 1) {
    RecordOutcome(id, &SecondStats::failed_);
    return;
  }
  Schedule(now_ + wait, [this, id] {
    if (calls_.contains(id)) {
      Attempt(id);
    }
  });
}

void Simulation::OnCallerTimeout(std::uint64_t id, core::TimePoint sent_at) {
  const auto found = calls_.find(id);
  const bool waiting = found != calls_.end() && found->second.in_flight_ &&
                       !found->second.started_ &&
                       found->second.sent_at_ == sent_at;
  if (!waiting) {
    return;
  }
  const auto& call = found->second;
  engines_[call.engine_].Cancel(id);
  entries_[call.entry_].endpoints_->OnEnded(
      IdOf(call.engine_), call.prompt_tokens_, call.sent_at_, false,
      routing::EndpointOutcome::kCancelled, now_);
  RecordOutcome(id, &SecondStats::failed_);
}

void Simulation::OnFirstEvent(std::uint64_t id, core::TimePoint now) {
  auto& call = calls_.at(id);
  call.started_ = true;
  call.first_event_at_ = now;
  entries_[call.entry_].endpoints_->OnFirstByte(
      IdOf(call.engine_), call.prompt_tokens_, call.sent_at_,
      call.predicted_time_to_first_byte_, now);
  ReadRateLimit(call, now);
}

void Simulation::ReadRateLimit(const Call& call, core::TimePoint now) {
  const routing::RateLimitStatement statement{
      {IdOf(call.engine_), std::nullopt},
      stated_limits_.LimitOf(call.engine_, now),
      now};
  const auto change =
      entries_[call.entry_].endpoints_->rate_limits().OnResponse(statement,
                                                                 call.sent_at_);
  if (change == routing::RateLimitChange::kLimited ||
      change == routing::RateLimitChange::kLifted) {
    Schedule(now_ + spec_.report_delay_, [this, statement] {
      for (auto& entry : entries_) {
        entry.endpoints_->rate_limits().Merge(statement);
      }
    });
  }
}

void Simulation::OnEnd(std::uint64_t id, core::TimePoint now) {
  const auto call = calls_.at(id);
  entries_[call.entry_].endpoints_->OnEnded(
      IdOf(call.engine_), call.prompt_tokens_, call.sent_at_, true,
      routing::EndpointOutcome::kAnswered, now);
  const bool within_target = call.first_event_at_ - call.first_attempt_at_ <=
                             spec_.classes_[call.class_].target_;
  RecordOutcome(
      id, within_target ? &SecondStats::within_target_ : &SecondStats::late_);
}

void Simulation::RecordOutcome(std::uint64_t id,
                               std::uint32_t SecondStats::*outcome) {
  const auto since = calls_.at(id).first_attempt_at_ - kStart;
  const auto second = static_cast<std::size_t>(since / std::chrono::seconds(1));
  if (second < seconds_.size()) {
    ++seconds_[second].requests_;
    ++(seconds_[second].*outcome);
    const auto& call = calls_.at(id);
    const bool late = outcome == &SecondStats::late_;
    seconds_[second].first_attempts_refused_ +=
        call.first_attempt_refused_ ? 1 : 0;
    seconds_[second].late_admitted_on_time_ += late && call.on_time_ ? 1 : 0;
  }
  calls_.erase(id);
}

void Simulation::ReportLoad(std::size_t engine) {
  Schedule(now_ + spec_.report_interval_,
           [this, engine] { ReportLoad(engine); });
  engines_[engine].AdvanceTo(now_);
  if (outage_active_) {
    return;
  }
  const auto report = engines_[engine].Report(now_);
  Schedule(now_ + spec_.report_delay_, [this, engine, report] {
    for (auto& entry : entries_) {
      entry.endpoints_->ApplyReport(IdOf(engine).value() + ":1", report, now_);
    }
  });
}

void Simulation::StartOutage(const Outage& outage) {
  outage_active_ = true;
  for (auto& engine : engines_) {
    engine.Restart(kStart + outage.engines_ready_at_);
  }
  std::vector<std::uint64_t> interrupted;
  for (auto& [id, call] : calls_) {
    if (std::exchange(call.in_flight_, false)) {
      call.started_ = false;
      interrupted.push_back(id);
    }
  }
  for (const auto id : interrupted) {
    // Machines that lost power send no error: callers wait until their timeout.
    Retry(id, spec_.caller_timeout_);
  }
  Schedule(kStart + outage.entries_ready_at_, [this] {
    outage_active_ = false;
    StartEntries();
  });
}

void Simulation::CountLimited(std::size_t second) {
  seconds_[second].limited_engines_ =
      static_cast<std::uint32_t>(stated_limits_.LimitedCount(now_));
}

std::vector<SecondStats> Simulation::Run() {
  seconds_.resize(
      static_cast<std::size_t>(spec_.duration_ / std::chrono::seconds(1)));
  for (std::size_t second = 0; second < seconds_.size(); ++second) {
    Schedule(kStart + std::chrono::seconds(second + 1),
             [this, second] { CountLimited(second); });
  }
  for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
    Schedule(kStart + std::chrono::duration_cast<core::Duration>(
                          spec_.report_interval_ * Uniform()),
             [this, engine] { ReportLoad(engine); });
  }
  for (std::size_t request_class = 0; request_class < spec_.classes_.size();
       ++request_class) {
    Schedule(kStart + std::chrono::milliseconds(200),
             [this, request_class] { OnArrival(request_class); });
  }
  for (const auto& outage : spec_.outages_) {
    Schedule(kStart + outage.at_, [this, outage] { StartOutage(outage); });
  }
  // Requests that arrive near the end get 8 s to finish.
  const auto end = kStart + spec_.duration_ + std::chrono::seconds(8);
  while (!events_.empty() && events_.top().at_ < end) {
    const auto event = events_.top();
    events_.pop();
    now_ = event.at_;
    event.action_();
  }
  return seconds_;
}

}  // namespace

double MaxRequestRate(const FleetSpec& spec) {
  const auto& engine = spec.engine_;
  const std::chrono::duration<double> step =
      routing::StepTime(engine, engine.slots_);
  double requests = 0;
  double engine_seconds = 0;
  for (const auto& request_class : spec.classes_) {
    requests += request_class.requests_per_second_;
    engine_seconds +=
        request_class.requests_per_second_ *
        (request_class.prompt_tokens_ / engine.prefill_tokens_per_second_ +
         request_class.output_tokens_ * step.count() / engine.slots_);
  }
  return static_cast<double>(spec.engines_) * requests / engine_seconds;
}

std::vector<SecondStats> Simulate(const FleetSpec& spec) {
  return Simulation(spec).Run();
}

}  // namespace chalkwell::emulator
