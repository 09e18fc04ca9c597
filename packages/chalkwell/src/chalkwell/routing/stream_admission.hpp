// Whether a stream is taken, and in which order engines begin what waits.
//
// The load this answers: after an outage, or while engines change their
// weights, callers who come back meet those who ask for the first time, and
// together they ask for more than engines give. In order of arrival all become
// late. So whoever can still get an answer in time goes first, and the others
// get what places are left.
#pragma once

#include <cstdint>
#include <optional>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/endpoint_table.hpp"
#include "chalkwell/routing/fwd.hpp"

namespace chalkwell::routing {

/// @brief A stream that asks for an engine.
struct StreamRequest {
  /// Within this its first event is in time.
  core::Duration target_{};
  /// Since its caller first asked.
  core::Duration age_{};
};

/// @brief Whether a first event can still be in time.
[[nodiscard]] bool CanBeOnTime(const StreamRequest& request);

/// @brief What becomes of a request that asks for an endpoint.
struct AdmissionDecision {
  /// Whether it goes before those that are late.
  bool on_time_ = true;
  /// The endpoint it would go to now; none when none can take it.
  std::optional<EndpointChoice> choice_;
  /// When its caller should come back, if it is refused.
  std::optional<core::Duration> retry_after_;
};

/// @brief Decides on a stream by what engines are expected to give.
/// @param wanted which endpoints may take it.
[[nodiscard]] AdmissionDecision DecideStream(EndpointTable& endpoints,
                                             ChoiceRequest wanted,
                                             const StreamRequest& request,
                                             core::TimePoint now);

/// @brief Whether a stream that can be on time is begun before the late ones.
/// @param long_reading how much longer its prompt is read than a usual one:
/// large requests are not refused for their size.
[[nodiscard]] bool AdmitsOnTime(const StreamRequest& request,
                                core::Duration first_event,
                                core::Duration long_reading);

/// @brief Whether a late stream is begun.
/// @param occupied places of the engine it would go to.
[[nodiscard]] bool AdmitsLate(const config::EngineProfile& engine,
                              std::uint32_t occupied);

/// @brief Priority at the engine; 0 is the most urgent.
/// @param priority of the route or account; none when not given.
[[nodiscard]] std::optional<std::uint32_t> EnginePriority(
    std::optional<std::uint32_t> priority, bool on_time);

}  // namespace chalkwell::routing
