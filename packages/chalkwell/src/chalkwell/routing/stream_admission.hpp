// Admission and prioritization of streams.
//
// After an outage, or while engines switch weights, retries and first attempts
// together exceed the capacity of the engines. Served in order of arrival, all
// of them would miss their target latency. A stream is on time, and goes first,
// if less than its target latency has passed since the caller first sent the
// request and the predicted time from now to its first event is within a fixed
// fraction of the target. The others are late and get the slots that are left.
#pragma once

#include <cstdint>
#include <optional>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/endpoint_table.hpp"
#include "chalkwell/routing/fwd.hpp"

namespace chalkwell::routing {

/// @brief A stream to be admitted.
struct StreamRequest {
  /// Target latency of the first event.
  core::Duration target_{};
  /// Time since the caller's first attempt, see RequestAgeEstimator.
  core::Duration age_{};
};

/// @brief Whether less than the target latency has passed since the caller's
/// first attempt.
[[nodiscard]] bool CanBeOnTime(const StreamRequest& request);

/// @brief Result of the admission of a stream.
struct AdmissionDecision {
  /// Whether it takes precedence over late streams.
  bool on_time_ = true;
  /// The endpoint chosen; none if no endpoint can accept it. Send the stream
  /// only if `retry_after_` is not set.
  std::optional<EndpointChoice> choice_;
  /// When the caller should retry; set if the stream is refused.
  std::optional<core::Duration> retry_after_;
};

/// @brief Decides on the admission of a stream by the predicted time to its
/// first event.
/// @param constraints constraints on the endpoint. `engine_` must not be null;
/// `on_time_` is set here.
[[nodiscard]] AdmissionDecision DecideStream(EndpointTable& endpoints,
                                             ChoiceRequest constraints,
                                             const StreamRequest& request,
                                             core::TimePoint now);

/// @brief Whether a stream that can be on time is admitted ahead of late ones.
/// @param first_event predicted time to the first event.
/// @param extra_prefill part of `first_event` that is not counted: the prefill
/// time beyond that of a prompt of mean length, since large requests are not
/// refused for their size.
[[nodiscard]] bool AdmitsOnTime(const StreamRequest& request,
                                core::Duration first_event,
                                core::Duration extra_prefill);

/// @brief Whether few enough requests are ahead for a late stream to be
/// admitted: less than a fixed fraction of the engine's slots.
/// @param requests_ahead running and queued requests ahead of the stream at the
/// engine, see EndpointChoice::requests_ahead_.
[[nodiscard]] bool AdmitsLate(const config::EngineProfile& engine,
                              std::uint32_t requests_ahead);

/// @brief Scheduling priority at the engine; 0 is the most urgent. It is
/// `priority` if the stream is on time, and less urgent if it is late.
/// @param priority priority of the route or account, if any.
/// @return none if the stream is on time and `priority` is none.
[[nodiscard]] std::optional<std::uint32_t> EnginePriority(
    std::optional<std::uint32_t> priority, bool on_time);

}  // namespace chalkwell::routing
