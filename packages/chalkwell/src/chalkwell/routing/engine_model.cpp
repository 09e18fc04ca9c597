// Prompts are read one after the other, with steps in between; a full engine
// gives a place each time that one of its requests ends.
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

core::Duration FirstEventAfter(const config::EngineProfile& engine,
                               const EngineLoad& load, double prompt_tokens) {
  const auto slots = std::max(1U, engine.slots_);
  const double step = core::ToMs(StepTime(engine, load.running_));
  const double read_ms = 1000 / engine.prefill_tokens_per_second_;
  // Time of a request that goes into its steps, and into reading its prompt
  // while the others wait.
  const double writing = step * engine.mean_output_tokens_;
  const double reading = engine.mean_prompt_tokens_ * read_ms * load.running_;
  const double stretch = writing > 0 ? 1 + reading / writing : 1;
  const double pass = step * engine.steps_per_pass_ * stretch;
  // It arrives within a pass, and is read in the next ones.
  double wait = pass * 1.5 + (load.unread_tokens_ + prompt_tokens) * read_ms;
  if (load.running_ >= slots) {
    wait += writing * stretch / slots * (load.queued_ + 1);
  }
  return core::FromMs(wait * load.pace_);
}

}  // namespace chalkwell::routing
