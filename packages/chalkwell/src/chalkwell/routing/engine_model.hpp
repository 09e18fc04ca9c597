// When an engine that batches continuously gives the first event of a request,
// by its published profile and what it has to do before.
#pragma once

#include <cstdint>

#include "chalkwell/config/traffic_rules.hpp"
#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/fwd.hpp"

namespace chalkwell::routing {

/// @brief What an engine has to do before a new request.
struct EngineLoad {
  /// Requests that run; at most the engine's slots.
  std::uint32_t running_ = 0;
  /// Requests that are let in before the new one.
  std::uint32_t queued_ = 0;
  /// Prompt tokens of requests that were let in and are not read yet.
  double unread_tokens_ = 0;
  /// Over 1: slower than its profile says.
  double pace_ = 1;
};

/// @brief One token step of all requests that run.
[[nodiscard]] core::Duration StepTime(const config::EngineProfile& engine,
                                      std::uint32_t running);

/// @brief Time from the arrival of a request to its first event.
[[nodiscard]] core::Duration FirstEventAfter(
    const config::EngineProfile& engine, const EngineLoad& load,
    double prompt_tokens);

}  // namespace chalkwell::routing
