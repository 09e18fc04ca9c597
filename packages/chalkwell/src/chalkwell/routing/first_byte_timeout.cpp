// Timeouts by target, prediction, endpoint state and version constraint.
#include "chalkwell/routing/first_byte_timeout.hpp"

#include <algorithm>
#include <chrono>

namespace chalkwell::routing {
namespace {

using std::chrono::milliseconds;

/// The timeout as a multiple of the target latency. This and the minimum keep
/// attempts at a busy endpoint from being abandoned.
constexpr int kTargetMultiple = 3;
/// Minimum of the timeout.
constexpr auto kMinTimeout = milliseconds(1200);
/// The timeout as a multiple of the predicted time to first byte.
constexpr int kPredictionMultiple = 2;
/// Minimum timeout of a late attempt: it queues behind those that are on time.
/// Callers disconnect sooner.
constexpr auto kLateMinTimeout = milliseconds(2500);
/// Timeout at an unresponsive endpoint: its machine is suspended or
/// disconnected, and the attempt at a second endpoint needs time, too.
constexpr auto kUnresponsiveTimeout = milliseconds(500);
/// An attempt on an older version of the weights is abandoned when it has no
/// first byte this long after `next_min_at_`, from which that version is no
/// longer chosen. That has to be well before the version bound, since an
/// endpoint may go on processing a prompt after its connection was closed and
/// begin to respond.
constexpr auto kOlderVersionGrace = milliseconds(800);

}  // namespace

core::TimePoint FirstByteDeadline(const PendingAttempt& attempt) {
  core::Duration timeout = std::max<core::Duration>(
      {attempt.target_latency_ * kTargetMultiple, kMinTimeout,
       attempt.predicted_time_to_first_byte_ * kPredictionMultiple});
  if (!attempt.on_time_) {
    timeout = std::max<core::Duration>(timeout, kLateMinTimeout);
  }
  if (attempt.unresponsive_) {
    timeout = std::min<core::Duration>(timeout, kUnresponsiveTimeout);
  }
  const auto deadline = attempt.sent_at_ + timeout;
  return std::min(deadline, LatestStart(attempt).value_or(deadline));
}

std::optional<core::TimePoint> LatestStart(const PendingAttempt& attempt) {
  const auto& constraint = attempt.version_constraint_;
  const auto version = attempt.weights_version_;
  if (version && *version < constraint.min_version_) {
    return attempt.sent_at_;
  }
  return version && *version < constraint.next_min_version_
             ? std::optional(constraint.next_min_at_ + kOlderVersionGrace)
             : std::nullopt;
}

}  // namespace chalkwell::routing
