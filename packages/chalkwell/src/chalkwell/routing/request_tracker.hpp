// Attempts and outcome of one request: every request ends in exactly one of
// four outcomes, and "not run" is said only when it is certain.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <string>
#include <variant>
#include <vector>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"
#include "chalkwell/routing/fwd.hpp"
#include "chalkwell/routing/retry_budget.hpp"

namespace chalkwell::routing {

/// @brief What a caller is told in the end.
enum class Outcome : std::uint8_t {
  kAnswered,
  kRefusedNotRun,
  kFailedRan,
  kUnknown,
};

/// @brief Text of an outcome in problem documents.
[[nodiscard]] std::string_view ToString(Outcome outcome) noexcept;

/// @brief How one attempt ended.
enum class AttemptEnd : std::uint8_t {
  /// The request never left this process.
  kNeverSent,
  /// The agent refused it before handing it to the back end.
  kRefusedNotRun,
  /// The back end ran it and failed.
  kFailedRan,
  /// The stream ended without a word: it may have run.
  kLost,
  /// The whole answer has arrived.
  kComplete,
};

/// @brief Text of an attempt's end in logs.
[[nodiscard]] std::string_view ToString(AttemptEnd end) noexcept;

/// @brief Number of an attempt within its request; the first is 1.
using AttemptNumber = std::uint32_t;

/// @brief Pick an endpoint that was not tried, then call OnChosen.
struct ChooseEndpoint {
  /// Pieces of the answer have gone to the caller: only an endpoint with the
  /// weights pinned before may go on with it.
  bool same_weights_ = false;
};
struct SendAttempt {
  AttemptNumber attempt_ = 0;
  core::InstanceId endpoint_;
  /// Pieces of the answer that the caller has; the answer goes on after them.
  std::uint64_t resume_from_ = 0;
};
/// @brief Tell the agent that the attempt is no longer wanted.
struct CancelAttempt {
  AttemptNumber attempt_ = 0;
};
/// @brief Answer the caller now; nothing follows.
struct FinishRequest {
  Outcome outcome_ = Outcome::kUnknown;
  /// When a retry makes sense; absent when it does not.
  std::optional<core::Duration> retry_after_;
};

using RequestAction =
    std::variant<ChooseEndpoint, SendAttempt, CancelAttempt, FinishRequest>;
using RequestActions = std::vector<RequestAction>;

/// @brief Faults that tests seed to show that the proofs can fail.
struct RequestFaults {
  bool retry_after_send_ = false;
  bool forward_late_answers_ = false;
  bool report_lost_as_not_run_ = false;
  bool resume_from_start_ = false;
  bool resume_on_other_weights_ = false;
  bool complete_on_loss_ = false;
  bool ignore_earlier_attempts_ = false;
  bool ignore_other_weights_ = false;
  bool ignore_earlier_requests_ = false;
};

/// @brief What the tracker must know of the request.
struct RequestTraits {
  bool repeatable_ = false;
  /// Whether another endpoint can go on with an answer that was begun.
  bool resumable_ = false;
  core::TimePoint deadline_;
  AttemptNumber max_attempts_ = 3;
  /// The caller brought a ticket that an earlier request may have used.
  bool may_have_run_before_ = false;
  /// Asked before each further attempt; false when the budget is spent.
  std::function<bool(RetryKind, core::TimePoint now)> may_retry_ =
      [](RetryKind, core::TimePoint) { return true; };
  /// What `Retry-After` says.
  core::Duration retry_after_ = std::chrono::seconds(1);
};

/// @brief Decides attempts and outcome of one request.
class RequestTracker {
 public:
  explicit RequestTracker(RequestTraits traits, RequestFaults faults = {});

  [[nodiscard]] bool finished() const noexcept { return finished_; }
  [[nodiscard]] AttemptNumber attempt() const noexcept { return attempt_; }
  /// @brief Whether bytes have gone to the caller.
  [[nodiscard]] bool forwarded() const noexcept { return forwarded_; }

  [[nodiscard]] RequestActions Start(core::TimePoint now);
  /// @param endpoint nothing when no endpoint can take the request.
  [[nodiscard]] RequestActions OnChosen(
      const std::optional<core::InstanceId>& endpoint, core::TimePoint now);
  /// @brief The back end has begun to answer.
  /// @param right_weights whether it answers from the weights pinned for the
  /// attempt; if not, not one byte may reach the caller.
  [[nodiscard]] RequestActions OnResponseStarted(AttemptNumber attempt,
                                                 bool right_weights,
                                                 core::TimePoint now);
  /// @brief Whether bytes of this attempt may go to the caller now; if so they
  /// count as forwarded.
  /// @param pieces whole pieces among them, from which an answer can go on.
  [[nodiscard]] bool AcceptResponseBytes(AttemptNumber attempt,
                                         std::uint64_t pieces = 1);
  [[nodiscard]] RequestActions OnEnded(AttemptNumber attempt, AttemptEnd end,
                                       core::TimePoint now);
  /// @brief The deadline passed or the caller went away.
  [[nodiscard]] RequestActions Abort();

 private:
  [[nodiscard]] RequestActions Finish(Outcome outcome);
  [[nodiscard]] ChooseEndpoint NextChoice() const noexcept;
  [[nodiscard]] Outcome OutcomeWithoutAnswer() const noexcept;
  [[nodiscard]] bool MayTryAgain(AttemptEnd end, core::TimePoint now);

  RequestTraits traits_;
  RequestFaults faults_;
  AttemptNumber attempt_ = 0;
  /// The current attempt has been sent and has not ended.
  bool outstanding_ = false;
  /// Some attempt was sent and its fate never became known.
  bool may_have_run_ = false;
  /// Some attempt is known to have run.
  bool ran_ = false;
  /// Only bytes of the current attempt may follow.
  bool forwarded_ = false;
  /// Whole pieces that the caller has.
  std::uint64_t pieces_ = 0;
  /// Set once; nothing is returned afterwards.
  bool finished_ = false;
};

}  // namespace chalkwell::routing
