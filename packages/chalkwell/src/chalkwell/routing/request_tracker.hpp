// State machine of one request over its attempts. Every request ends in exactly
// one of four outcomes; "not run" is reported only when that is certain.
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

/// @brief Outcome of a request as reported to its caller.
enum class Outcome : std::uint8_t {
  kAnswered,
  /// Certainly not executed: refused, never sent, or no endpoint was found.
  kRefusedNotRun,
  /// An attempt was executed and failed.
  kFailedRan,
  /// It may have been executed.
  kUnknown,
};

/// @brief Text of an outcome in problem documents.
[[nodiscard]] std::string_view ToString(Outcome outcome) noexcept;

/// @brief How one attempt ended.
enum class AttemptEnd : std::uint8_t {
  /// The request was not sent.
  kNeverSent,
  /// The agent refused it before forwarding it to the backend.
  kRefusedNotRun,
  /// The backend executed it and failed, or responded with weights other than
  /// those pinned for the attempt.
  kFailedRan,
  /// It ended without a complete response from the endpoint: it may have been
  /// executed.
  kLost,
  /// The response is complete.
  kComplete,
};

/// @brief Text of an attempt's end in logs.
[[nodiscard]] std::string_view ToString(AttemptEnd end) noexcept;

/// @brief Why no further attempt follows one that failed.
enum class RetryDenial : std::uint8_t {
  /// None of the reasons below applied.
  kNone,
  /// The request may have run and must not run twice.
  kNotRepeatable,
  /// Part of the response was forwarded and no endpoint can resume it.
  kNotResumable,
  kAttemptsUsed,
  kDeadlinePassed,
  /// RequestTraits::may_retry_ returned false.
  kRejected,
  kNoEndpoint,
};

/// @brief Text of a denial in logs and metrics.
[[nodiscard]] std::string_view ToString(RetryDenial denial) noexcept;

/// @brief Number of an attempt within its request; the first is 1.
using AttemptNumber = std::uint32_t;

/// @brief Choose an endpoint that was not tried yet, then call OnChosen at
/// once.
struct ChooseEndpoint {
  /// Part of the response was forwarded: only an endpoint with the weights that
  /// were pinned for it may resume it.
  bool same_weights_ = false;
};
/// @brief Send the request to the endpoint.
struct SendAttempt {
  AttemptNumber attempt_ = 0;
  core::InstanceId endpoint_;
  /// Number of complete events forwarded to the caller; the response resumes
  /// after them.
  std::uint64_t resume_from_ = 0;
};
/// @brief Cancel the attempt at the agent.
struct CancelAttempt {
  AttemptNumber attempt_ = 0;
};
/// @brief Respond to the caller; no action follows.
struct FinishRequest {
  Outcome outcome_ = Outcome::kUnknown;
  /// Delay after which the caller may retry; none if a retry is not advisable.
  std::optional<core::Duration> retry_after_;
};

using RequestAction =
    std::variant<ChooseEndpoint, SendAttempt, CancelAttempt, FinishRequest>;
using RequestActions = std::vector<RequestAction>;

/// @brief Faults that tests inject to show that the tests' checks detect them;
/// all off in production.
struct RequestFaults {
  bool retry_after_send_ = false;
  /// Forwards responses of attempts that have ended, too.
  bool forward_superseded_responses_ = false;
  bool report_lost_as_not_run_ = false;
  bool resume_from_start_ = false;
  bool resume_on_other_weights_ = false;
  bool complete_on_loss_ = false;
  /// Only the last attempt counts as having run or possibly run.
  bool ignore_earlier_attempts_ = false;
  /// Responses that use weights other than the pinned ones are forwarded.
  bool ignore_other_weights_ = false;
  /// Ignores RequestTraits::may_have_run_before_ at the start.
  bool ignore_earlier_requests_ = false;
};

/// @brief Properties of a request and its limits.
struct RequestTraits {
  /// Whether it may be executed more than once, as set for its route.
  bool repeatable_ = false;
  /// Whether another endpoint can resume a response that was begun.
  bool resumable_ = false;
  core::TimePoint deadline_;
  AttemptNumber max_attempts_ = 3;
  /// The caller supplied a ticket that an earlier request may have used.
  bool may_have_run_before_ = false;
  /// Called before each further attempt; false if the retry budget is
  /// exhausted.
  std::function<bool(RetryKind, core::TimePoint now)> may_retry_ =
      [](RetryKind, core::TimePoint) { return true; };
  /// Value of `Retry-After`.
  core::Duration retry_after_ = std::chrono::seconds(1);
};

/// @brief Decides on the attempts and the outcome of one request.
///
/// A silent attempt goes on while another one is made: it ends only once the
/// other has made progress, so that it is not given up in favour of one that is
/// refused or fails.
class RequestTracker {
 public:
  explicit RequestTracker(RequestTraits traits, RequestFaults faults = {});

  [[nodiscard]] bool finished() const noexcept { return finished_; }
  [[nodiscard]] AttemptNumber attempt() const noexcept { return attempt_; }
  /// @brief Why the last attempt that failed was not followed by another.
  [[nodiscard]] RetryDenial retry_denial() const noexcept {
    return retry_denial_;
  }
  /// @brief Whether bytes of a response were forwarded to the caller.
  [[nodiscard]] bool forwarded() const noexcept { return forwarded_; }

  /// @brief Begins the request.
  /// @return the first actions, as of the other functions below; empty if there
  /// is nothing to do.
  [[nodiscard]] RequestActions Start(core::TimePoint now);
  /// @brief No attempt in flight makes progress: another one may be made beside
  /// them. To be repeated while they are silent.
  [[nodiscard]] RequestActions OnSilent(core::TimePoint now);
  /// @brief An attempt made progress that none of the others in flight may
  /// continue: these are cancelled.
  [[nodiscard]] RequestActions Select(AttemptNumber attempt);
  /// @brief The endpoint of a ChooseEndpoint action was chosen.
  /// @param endpoint none if no endpoint can accept the request.
  [[nodiscard]] RequestActions OnChosen(
      const std::optional<core::InstanceId>& endpoint, core::TimePoint now);
  /// @brief The backend has begun its response.
  /// @param weights_match whether it uses the weights pinned for the attempt;
  /// if not, no byte of it may be forwarded.
  [[nodiscard]] RequestActions OnResponseStarted(AttemptNumber attempt,
                                                 bool weights_match,
                                                 core::TimePoint now);
  /// @brief Whether bytes of this attempt may be forwarded now; if so, they
  /// count as forwarded. Only those of the sole attempt in flight may.
  /// @param events number of complete events in them, after which a response
  /// can be resumed.
  [[nodiscard]] bool AcceptResponseBytes(AttemptNumber attempt,
                                         std::uint64_t events = 1);
  /// @brief The attempt ended; ignored unless it is in flight. While others
  /// are, a failure leads to no action.
  [[nodiscard]] RequestActions OnEnded(AttemptNumber attempt, AttemptEnd end,
                                       core::TimePoint now);
  /// @brief Ends the request and cancels its attempts in flight, because the
  /// deadline passed or the caller disconnected.
  [[nodiscard]] RequestActions Abort();

 private:
  [[nodiscard]] RequestActions Finish(Outcome outcome);
  [[nodiscard]] ChooseEndpoint NextChoice() const noexcept;
  [[nodiscard]] Outcome FailureOutcome() const noexcept;
  [[nodiscard]] bool MayRetry(AttemptEnd end, core::TimePoint now);
  /// @brief Why an attempt must not follow one that ended so, apart from
  /// RequestTraits::may_retry_.
  [[nodiscard]] RetryDenial DenialOf(AttemptEnd end, core::TimePoint now) const;
  /// @brief Calls RequestTraits::may_retry_.
  [[nodiscard]] RetryDenial ConsumeRetry(core::TimePoint now) const;
  [[nodiscard]] bool InFlight(AttemptNumber attempt) const;
  /// @brief Cancels all attempts in flight but one, which may have run.
  void CancelOthers(AttemptNumber attempt, RequestActions& actions);

  RequestTraits traits_;
  RequestFaults faults_;
  AttemptNumber attempt_ = 0;
  /// Attempts that were sent and have not ended, in order. More than one only
  /// while none of them has made progress since the last was sent.
  std::vector<AttemptNumber> in_flight_;
  /// OnSilent() asked for an endpoint.
  bool choosing_beside_ = false;
  /// An attempt was sent and it is unknown whether it was executed.
  bool may_have_run_ = false;
  /// An attempt is known to have been executed.
  bool ran_ = false;
  /// Bytes of a response were forwarded.
  bool forwarded_ = false;
  /// Number of complete events forwarded.
  std::uint64_t forwarded_events_ = 0;
  RetryDenial retry_denial_ = RetryDenial::kNone;
  /// Set once; no actions are returned afterwards.
  bool finished_ = false;
};

}  // namespace chalkwell::routing
