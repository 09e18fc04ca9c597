// Weights that end set a bound of their own.
#include "chalkwell/routing/first_byte_timeout.hpp"

#include <algorithm>
#include <chrono>

namespace chalkwell::routing {
namespace {

using std::chrono::milliseconds;

/// A first byte is overdue after this many times the target, and not before
/// the time below: an endpoint that is merely busy is not left.
constexpr int kTargets = 3;
constexpr auto kLeast = milliseconds(1200);
/// The same, in times of what was expected.
constexpr int kPredictions = 2;
/// A late one waits for those on time; its caller leaves before this.
constexpr auto kLate = milliseconds(2500);
/// An endpoint that fell silent is left after this: its machine is suspended or
/// cut off, and a second endpoint needs time of its own.
constexpr auto kSilent = milliseconds(500);
/// An attempt on old weights that has no first byte so long after the time from
/// which they are no longer chosen is given up. An endpoint may go on reading a
/// prompt after its connection was closed, and begin.
constexpr auto kOldWeights = milliseconds(800);

}  // namespace

core::TimePoint FirstByteDeadline(const PendingAttempt& attempt) {
  core::Duration wait =
      std::max<core::Duration>({attempt.target_latency_ * kTargets, kLeast,
                                attempt.predicted_first_byte_ * kPredictions});
  if (!attempt.on_time_) {
    wait = std::max<core::Duration>(wait, kLate);
  }
  if (attempt.unresponsive_) {
    wait = std::min<core::Duration>(wait, kSilent);
  }
  const auto overdue = attempt.sent_at_ + wait;
  const bool ends =
      attempt.weights_version_ &&
      *attempt.weights_version_ < attempt.version_constraint_.next_min_version_;
  return ends ? std::min(overdue,
                         attempt.version_constraint_.next_min_at_ + kOldWeights)
              : overdue;
}

}  // namespace chalkwell::routing
