// A stream is admitted as on time, admitted as late, or refused with a retry
// delay.
#include "chalkwell/routing/stream_admission.hpp"

#include <algorithm>
#include <chrono>

namespace chalkwell::routing {
namespace {

using std::chrono::milliseconds;

/// A stream counts as on time if its first event is predicted within this
/// fraction of its target latency.
constexpr double kOnTimeTargetFraction = 0.9;
/// Late streams may occupy this fraction of an engine's slots. More of them
/// would delay the prefill of streams that are on time.
constexpr double kLateSlotFraction = 0.8;
/// Retry delay of a late stream that found too few free slots. The backlog of
/// an outage is served within about 2 s. The delay may exceed the time that a
/// caller has left: callers cap their wait at a third of that time.
constexpr auto kLateRetryDelay = milliseconds(2000);
/// Added to the priority of late streams. Engines have ten priorities, from 0,
/// the most urgent, to 9; routes use only the most urgent few.
constexpr std::uint32_t kLatePriorityOffset = 5;
/// Priority assumed for a late request without one; the middle of the ten. The
/// sum with kLatePriorityOffset may exceed 9; the platform's request codec
/// limits it.
constexpr std::uint32_t kDefaultPriority = 5;
/// Shortest retry delay while endpoints are in slow start or rate-limited.
constexpr auto kMinSendRetryDelay = milliseconds(100);
/// Retry delay when no endpoint accepts work and it is unknown when one will.
constexpr auto kNoEndpointRetryDelay = milliseconds(500);

core::Duration Scale(core::Duration duration, double factor) {
  return std::chrono::duration_cast<core::Duration>(duration * factor);
}

/// Prefill time of a prompt beyond that of one of mean length.
core::Duration ExtraPrefillTime(const config::EngineProfile& engine,
                                double prompt_tokens) {
  const std::chrono::duration<double> extra(
      std::max(0.0, prompt_tokens - engine.mean_prompt_tokens_) /
      engine.prefill_tokens_per_second_);
  return std::chrono::duration_cast<core::Duration>(extra);
}

}  // namespace

bool CanBeOnTime(const StreamRequest& request) {
  return request.age_ < request.target_;
}

AdmissionDecision DecideStream(EndpointTable& endpoints,
                               ChoiceRequest constraints,
                               const StreamRequest& request,
                               core::TimePoint now) {
  AdmissionDecision decision;
  decision.on_time_ = CanBeOnTime(request);
  constraints.on_time_ = decision.on_time_;
  decision.choice_ = endpoints.Choose(constraints, now);
  if (!decision.choice_) {
    const auto wait = endpoints.SendWait(constraints, now);
    decision.retry_after_ =
        wait ? std::max<core::Duration>(*wait, kMinSendRetryDelay)
             : core::Duration(kNoEndpointRetryDelay);
    return decision;
  }
  const auto& engine = *constraints.engine_;
  if (decision.on_time_ &&
      AdmitsOnTime(request, decision.choice_->time_to_first_byte_,
                   ExtraPrefillTime(engine, constraints.prompt_tokens_))) {
    return decision;
  }
  if (decision.on_time_) {
    // It would miss its target latency, so it gets no precedence over streams
    // that can still meet theirs.
    decision.on_time_ = false;
    constraints.on_time_ = false;
    decision.choice_ = endpoints.Choose(constraints, now);
  }
  if (!decision.choice_ ||
      !AdmitsLate(engine, decision.choice_->requests_ahead_)) {
    decision.retry_after_ = kLateRetryDelay;
  }
  return decision;
}

bool AdmitsOnTime(const StreamRequest& request, core::Duration first_event,
                  core::Duration extra_prefill) {
  return first_event - extra_prefill <=
         Scale(request.target_, kOnTimeTargetFraction);
}

bool AdmitsLate(const config::EngineProfile& engine,
                std::uint32_t requests_ahead) {
  return requests_ahead < kLateSlotFraction * engine.slots_;
}

std::optional<std::uint32_t> EnginePriority(
    std::optional<std::uint32_t> priority, bool on_time) {
  if (on_time) {
    return priority;
  }
  return priority.value_or(kDefaultPriority) + kLatePriorityOffset;
}

}  // namespace chalkwell::routing
