// Thresholds of admission.
#include "chalkwell/routing/stream_admission.hpp"

#include <algorithm>
#include <chrono>

namespace chalkwell::routing {
namespace {

using std::chrono::milliseconds;

/// A stream whose first event is expected later than this part of its target
/// does not go before others.
constexpr double kOnTimeTargets = 0.9;
/// Late streams fill this part of an engine's slots: more of them hold up the
/// reading of prompts for those on time.
constexpr double kLateSlots = 0.8;
/// When a late caller comes back that found too few free slots: what an outage
/// leaves behind is served within some two seconds. Callers wait for a third of
/// what they have left at most.
constexpr auto kLatePause = milliseconds(2000);
/// Steps of priority between those on time and the late: platforms have ten,
/// and routes use the first few.
constexpr std::uint32_t kLateStep = 5;
/// Priority of a request that names none, in the middle of the ten.
constexpr std::uint32_t kUsualPriority = 5;
/// Wait that is told when no endpoint can take work and none says when.
constexpr auto kNoEndpointWait = milliseconds(500);

core::Duration Times(core::Duration span, double factor) {
  return std::chrono::duration_cast<core::Duration>(span * factor);
}

core::Duration LongReading(const config::EngineProfile& engine,
                           double prompt_tokens) {
  const std::chrono::duration<double> longer(
      std::max(0.0, prompt_tokens - engine.mean_prompt_tokens_) /
      engine.prefill_tokens_per_second_);
  return std::chrono::duration_cast<core::Duration>(longer);
}

}  // namespace

bool CanBeOnTime(const StreamRequest& request) {
  return request.age_ < request.target_;
}

AdmissionDecision DecideStream(EndpointTable& endpoints, ChoiceRequest wanted,
                               const StreamRequest& request,
                               core::TimePoint now) {
  AdmissionDecision decision;
  decision.on_time_ = CanBeOnTime(request);
  wanted.on_time_ = decision.on_time_;
  decision.choice_ = endpoints.Choose(wanted, now);
  if (!decision.choice_) {
    decision.retry_after_ = kNoEndpointWait;
    return decision;
  }
  const auto& engine = *wanted.engine_;
  if (decision.on_time_ &&
      AdmitsOnTime(request, decision.choice_->time_to_first_byte_,
                   LongReading(engine, wanted.prompt_tokens_))) {
    return decision;
  }
  if (decision.on_time_) {
    // It would be late: then it does not go before those that are not.
    decision.on_time_ = false;
    wanted.on_time_ = false;
    decision.choice_ = endpoints.Choose(wanted, now);
  }
  if (!decision.choice_ ||
      !AdmitsLate(engine, decision.choice_->requests_ahead_)) {
    decision.retry_after_ = kLatePause;
  }
  return decision;
}

bool AdmitsOnTime(const StreamRequest& request, core::Duration first_event,
                  core::Duration long_reading) {
  return first_event - long_reading <= Times(request.target_, kOnTimeTargets);
}

bool AdmitsLate(const config::EngineProfile& engine, std::uint32_t occupied) {
  return occupied < kLateSlots * engine.slots_;
}

std::optional<std::uint32_t> EnginePriority(
    std::optional<std::uint32_t> priority, bool on_time) {
  if (on_time) {
    return priority;
  }
  return priority.value_or(kUsualPriority) + kLateStep;
}

}  // namespace chalkwell::routing
