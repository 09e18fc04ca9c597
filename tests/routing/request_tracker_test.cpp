// Outcomes of requests by the ends of their attempts.
#include "chalkwell/routing/request_tracker.hpp"

#include <catch2/catch.hpp>

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;
using enum AttemptEnd;

constexpr auto kAnswered = Outcome::kAnswered;
constexpr auto kReportedNotRun = Outcome::kRefusedNotRun;
constexpr auto kReportedFailed = Outcome::kFailedRan;
constexpr auto kUnknown = Outcome::kUnknown;

const core::TimePoint kStart(1h);

std::optional<Outcome> Run(RequestTracker& tracker,
                           const std::vector<AttemptEnd>& ends,
                           bool forwarded) {
  auto actions = tracker.Start(kStart);
  int endpoint = 0;
  for (const auto end : ends) {
    if (!std::holds_alternative<ChooseEndpoint>(actions.back())) {
      break;
    }
    (void)tracker.OnChosen(core::InstanceId(std::to_string(++endpoint)),
                           kStart);
    if (forwarded) {
      (void)tracker.AcceptResponseBytes(tracker.attempt());
    }
    actions = tracker.OnEnded(tracker.attempt(), end, kStart);
  }
  if (std::holds_alternative<ChooseEndpoint>(actions.back())) {
    actions = tracker.OnChosen(std::nullopt, kStart);
  }
  return std::get<FinishRequest>(actions.back()).outcome_;
}

TEST_CASE("every request ends in one of four outcomes", "[routing]") {
  struct Row {
    bool repeatable_;
    bool forwarded_;
    std::vector<AttemptEnd> ends_;
    Outcome outcome_;
    AttemptNumber attempts_;
  };
  const auto row = GENERATE(values<Row>(
      {{true, false, {kComplete}, kAnswered, 1},
       {true, false, {kLost, kComplete}, kAnswered, 2},
       {true, false, {kFailedRan, kComplete}, kAnswered, 2},
       {true, true, {kLost, kComplete}, kUnknown, 1},
       {true, true, {kFailedRan}, kReportedFailed, 1},
       {true, false, {kRefusedNotRun, kRefusedNotRun}, kReportedNotRun, 2},
       {true, false, {kLost, kRefusedNotRun}, kUnknown, 2},
       {true, false, {kLost, kFailedRan, kRefusedNotRun}, kReportedFailed, 3},
       {true, false, std::vector<AttemptEnd>{}, kReportedNotRun, 0},
       {false, false, {kComplete}, kAnswered, 1},
       {false, false, {kNeverSent, kComplete}, kAnswered, 2},
       {false, false, {kRefusedNotRun, kComplete}, kAnswered, 2},
       {false, false, {kLost, kComplete}, kUnknown, 1},
       {false, false, {kFailedRan, kComplete}, kReportedFailed, 1}}));
  RequestTracker tracker(
      {.repeatable_ = row.repeatable_, .deadline_ = kStart + 1s});
  CHECK(Run(tracker, row.ends_, row.forwarded_) == row.outcome_);
  CHECK(tracker.attempt() == row.attempts_);
}

TEST_CASE("with a caller's ticket only the agent can report that nothing ran",
          "[routing]") {
  struct Row {
    std::vector<AttemptEnd> ends_;
    Outcome outcome_;
  };
  const auto [ends, outcome] =
      GENERATE(Row{{}, kUnknown}, Row{{kNeverSent}, kUnknown},
               Row{{kRefusedNotRun}, kReportedNotRun});
  RequestTracker tracker(
      {.deadline_ = kStart + 1s, .may_have_run_before_ = true});
  CHECK(Run(tracker, ends, false) == outcome);
}

TEST_CASE("a response that was begun resumes after the events forwarded",
          "[routing]") {
  RequestTracker tracker(
      {.repeatable_ = true, .resumable_ = true, .deadline_ = kStart + 1s});
  CHECK_FALSE(
      std::get<ChooseEndpoint>(tracker.Start(kStart).back()).same_weights_);
  (void)tracker.OnChosen(core::InstanceId("a"), kStart);
  CHECK(tracker.AcceptResponseBytes(1, 3));
  const auto actions = tracker.OnEnded(1, AttemptEnd::kLost, kStart);
  CHECK(std::get<ChooseEndpoint>(actions.back()).same_weights_);
  const auto sent = tracker.OnChosen(core::InstanceId("b"), kStart);
  CHECK(std::get<SendAttempt>(sent.back()).resume_from_ == 3);
}

TEST_CASE(
    "retries stop when the budget is exhausted or the deadline has passed",
    "[routing]") {
  RequestTracker without_budget(
      {.repeatable_ = true,
       .deadline_ = kStart + 1s,
       .may_retry_ = [](RetryKind, core::TimePoint) { return false; }});
  CHECK(Run(without_budget, {AttemptEnd::kLost, AttemptEnd::kComplete},
            false) == kUnknown);
  RequestTracker late({.repeatable_ = true, .deadline_ = kStart});
  CHECK(std::get<FinishRequest>(late.Start(kStart).back()).outcome_ ==
        kReportedNotRun);
}

TEST_CASE("responses and ends of earlier attempts are ignored", "[routing]") {
  RequestTracker tracker({.repeatable_ = true, .deadline_ = kStart + 1s});
  (void)tracker.Start(kStart);
  (void)tracker.OnChosen(core::InstanceId("a"), kStart);
  (void)tracker.OnEnded(1, AttemptEnd::kLost, kStart);
  (void)tracker.OnChosen(core::InstanceId("b"), kStart);
  CHECK_FALSE(tracker.AcceptResponseBytes(1));
  CHECK(tracker.OnEnded(1, AttemptEnd::kComplete, kStart).empty());
  CHECK(tracker.AcceptResponseBytes(2));
}

TEST_CASE(
    "a response from other weights is cancelled before any byte is forwarded",
    "[routing]") {
  RequestTracker tracker({.repeatable_ = true, .deadline_ = kStart + 1s});
  (void)tracker.Start(kStart);
  (void)tracker.OnChosen(core::InstanceId("a"), kStart);
  const auto actions = tracker.OnResponseStarted(1, false, kStart);
  CHECK(std::holds_alternative<CancelAttempt>(actions.front()));
  CHECK(std::holds_alternative<ChooseEndpoint>(actions.back()));
  CHECK_FALSE(tracker.AcceptResponseBytes(1));
}

TEST_CASE("giving up finishes the request at once", "[routing]") {
  RequestTracker tracker({.repeatable_ = true, .deadline_ = kStart + 1s});
  (void)tracker.Start(kStart);
  (void)tracker.OnChosen(core::InstanceId("a"), kStart);
  const auto actions = tracker.Abort();
  REQUIRE(actions.size() == 2);
  CHECK(std::get<FinishRequest>(actions.back()).outcome_ == kUnknown);
  CHECK(std::get<FinishRequest>(actions.back()).retry_after_.has_value());
  CHECK(tracker.Abort().empty());
}

}  // namespace
}  // namespace chalkwell::routing
