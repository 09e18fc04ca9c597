// The engine prefills prompts one at a time, with decode steps in between. At a
// full engine a slot becomes free whenever a running request ends.
#include "chalkwell/routing/engine_model.hpp"

#include <algorithm>

#include "chalkwell/core/milliseconds.hpp"

namespace chalkwell::routing {

core::Duration StepTime(const config::EngineProfile& engine,
                        std::uint32_t running) {
  const double context =
      (engine.mean_prompt_tokens_ + engine.mean_output_tokens_) / 1000;
  const double added = core::ToMs(engine.step_time_per_request_) +
                       core::ToMs(engine.step_time_per_kilotoken_) * context;
  return core::FromMs(core::ToMs(engine.step_time_) + added * running);
}

core::Duration TimeToFirstEvent(const config::EngineProfile& engine,
                                const EngineLoad& load, double prompt_tokens) {
  const auto slots = std::max(1U, engine.slots_);
  const double step = core::ToMs(StepTime(engine, load.running_));
  const double prefill_ms_per_token = 1000 / engine.prefill_tokens_per_second_;
  // Time that a request of mean length spends in decode steps, and time that
  // the batch pauses meanwhile for the prefill of the running requests'
  // prompts.
  const double decode = step * engine.mean_output_tokens_;
  const double prefill =
      engine.mean_prompt_tokens_ * prefill_ms_per_token * load.running_;
  const double stretch = decode > 0 ? 1 + prefill / decode : 1;
  const double pass = step * engine.steps_per_pass_ * stretch;
  // A request arrives in the middle of a pass on average; its prefill runs in
  // the passes that follow.
  double wait = pass * 1.5 + (load.pending_prefill_tokens_ + prompt_tokens) *
                                 prefill_ms_per_token;
  if (load.running_ >= slots) {
    wait += decode * stretch / slots * (load.queued_ + 1);
  }
  return core::FromMs(wait * load.slowdown_);
}

}  // namespace chalkwell::routing
