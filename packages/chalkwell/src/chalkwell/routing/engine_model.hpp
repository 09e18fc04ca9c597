// Predicts when an engine with continuous batching emits the first event of a
// request, from the engine's published profile and its current load.
#pragma once

#include <cstdint>

#include "chalkwell/config/traffic_rules.hpp"
#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/fwd.hpp"

namespace chalkwell::routing {

/// @brief Work of an engine ahead of a new request.
struct EngineLoad {
  /// Running requests; at most the engine's slots.
  std::uint32_t running_ = 0;
  /// Queued requests that are scheduled before the new one.
  std::uint32_t queued_ = 0;
  /// Prompt tokens of scheduled requests that await prefill.
  double pending_prefill_tokens_ = 0;
  /// Duration of a step relative to the profile; above 1 the engine is slower.
  double slowdown_ = 1;
};

/// @brief Duration of one decode step with `running` requests in the batch.
[[nodiscard]] core::Duration StepTime(const config::EngineProfile& engine,
                                      std::uint32_t running);

/// @brief Time from the arrival of a request at the engine to its first event.
[[nodiscard]] core::Duration TimeToFirstEvent(
    const config::EngineProfile& engine, const EngineLoad& load,
    double prompt_tokens);

}  // namespace chalkwell::routing
