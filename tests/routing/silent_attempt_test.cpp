// Attempts that are made beside a silent one, as the request tracker decides on
// them.
#include <catch2/catch.hpp>

#include "chalkwell/routing/request_tracker.hpp"

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart(1h);
const core::InstanceId kSilent("a");
const core::InstanceId kOther("b");

/// A tracker whose first attempt is silent.
RequestTracker SilentTracker(bool forwarded, RequestTraits traits = {}) {
  traits.repeatable_ = true;
  traits.resumable_ = true;
  traits.deadline_ = kStart + 1s;
  RequestTracker tracker(std::move(traits));
  (void)tracker.Start(kStart);
  (void)tracker.OnChosen(kSilent, kStart);
  if (forwarded) {
    (void)tracker.AcceptResponseBytes(1, 2);
  }
  return tracker;
}

bool SendBeside(RequestTracker& tracker) {
  const auto actions = tracker.OnSilent(kStart);
  return !actions.empty() && !tracker.OnChosen(kOther, kStart).empty();
}

TEST_CASE("a failed attempt beside a silent one ends the request",
          "[routing]") {
  const auto end = GENERATE(AttemptEnd::kNeverSent, AttemptEnd::kRefusedNotRun,
                            AttemptEnd::kFailedRan, AttemptEnd::kLost);
  const bool silent_fails = GENERATE(true, false);
  const bool forwarded = GENERATE(true, false);
  CAPTURE(ToString(end), silent_fails, forwarded);
  auto tracker = SilentTracker(forwarded);
  REQUIRE(SendBeside(tracker));
  const AttemptNumber failing = silent_fails ? 1 : 2;
  CHECK(tracker.OnEnded(failing, end, kStart).empty());
  CHECK_FALSE(tracker.finished());
  const auto actions =
      tracker.OnEnded(3 - failing, AttemptEnd::kComplete, kStart);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<FinishRequest>(actions[0]).outcome_ == Outcome::kAnswered);
}

TEST_CASE("a silent attempt is given up without another one", "[routing]") {
  struct Row {
    std::string name_;
    RequestTraits traits_;
    std::optional<core::InstanceId> endpoint_;
    RetryDenial denial_;
  };
  const auto row = GENERATE_COPY(
      Row{"no endpoint", {}, std::nullopt, RetryDenial::kNoEndpoint},
      Row{"the retry is rejected",
          {.may_retry_ = [](RetryKind, core::TimePoint) { return false; }},
          kOther,
          RetryDenial::kRejected},
      Row{"all attempts are used",
          {.max_attempts_ = 1},
          kOther,
          RetryDenial::kAttemptsUsed});
  CAPTURE(row.name_);
  auto tracker = SilentTracker(true, row.traits_);
  if (!tracker.OnSilent(kStart).empty()) {
    CHECK(tracker.OnChosen(row.endpoint_, kStart).empty());
  }
  CHECK(tracker.retry_denial() == row.denial_);
  CHECK(tracker.AcceptResponseBytes(1));
  const auto actions = tracker.OnEnded(1, AttemptEnd::kComplete, kStart);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<FinishRequest>(actions[0]).outcome_ == Outcome::kAnswered);
}

TEST_CASE("a retry is consumed although no endpoint is found", "[routing]") {
  int consumed = 0;
  auto tracker = SilentTracker(
      true, {.may_retry_ = [&consumed](RetryKind, core::TimePoint) {
        ++consumed;
        return true;
      }});
  for (int i = 0; i < 3; ++i) {
    (void)tracker.OnSilent(kStart);
    (void)tracker.OnChosen(std::nullopt, kStart);
  }
  CHECK(consumed == 0);
  CHECK(SendBeside(tracker));
  CHECK(consumed == 1);
}

TEST_CASE("bytes of two attempts are mixed", "[routing]") {
  const AttemptNumber selected = GENERATE(1, 2);
  auto tracker = SilentTracker(true);
  REQUIRE(SendBeside(tracker));
  CHECK_FALSE(tracker.AcceptResponseBytes(1));
  CHECK_FALSE(tracker.AcceptResponseBytes(2));
  const auto actions = tracker.Select(selected);
  REQUIRE(actions.size() == 1);
  CHECK(std::get<CancelAttempt>(actions[0]).attempt_ == 3 - selected);
  CHECK(tracker.AcceptResponseBytes(selected));
  CHECK_FALSE(tracker.AcceptResponseBytes(3 - selected));
  CHECK(tracker.OnEnded(3 - selected, AttemptEnd::kLost, kStart).empty());
}

TEST_CASE("an attempt in flight outlives its request", "[routing]") {
  auto tracker = SilentTracker(false);
  REQUIRE(SendBeside(tracker));
  const bool completes = GENERATE(true, false);
  const auto actions = completes
                           ? tracker.OnEnded(2, AttemptEnd::kComplete, kStart)
                           : tracker.Abort();
  REQUIRE(actions.size() == (completes ? 2 : 3));
  CHECK(std::get<CancelAttempt>(actions[0]).attempt_ == 1);
  CHECK(std::holds_alternative<FinishRequest>(actions.back()));
}

TEST_CASE(
    "a request that may not run twice gets an attempt beside a silent one",
    "[routing]") {
  RequestTracker tracker({.repeatable_ = false, .deadline_ = kStart + 1s});
  (void)tracker.Start(kStart);
  (void)tracker.OnChosen(kSilent, kStart);
  CHECK(tracker.OnSilent(kStart).empty());
  CHECK(tracker.OnChosen(kOther, kStart).empty());
}

}  // namespace
}  // namespace chalkwell::routing
