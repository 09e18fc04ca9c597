// Lost attempts that are attributed to crashes of their endpoints.
#include "chalkwell/routing/crash_detector.hpp"

#include <catch2/catch.hpp>

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart = core::TimePoint{} + 1h;
const EndpointIncarnation kEndpoint{core::InstanceId("i-1"), {}};
constexpr auto kAddress = "10.0.0.1:80";

RequestIdentity Request(const std::string& body) {
  return RequestIdentity::Of(
      {core::ClientAccountId("a"), "POST", "h", "/x", body}, {});
}

TEST_CASE("one probe confirms all attempts lost in a crash", "[routing]") {
  CrashDetector detector;
  CHECK(detector.OnLost({Request("x"), 1s}, kEndpoint, kAddress, kStart) ==
        LossAction::kProbe);
  CHECK(detector.OnLost({Request("y"), 2s}, kEndpoint, kAddress,
                        kStart + 1ms) == LossAction::kWait);
  CHECK(detector.OnLost({Request("x"), 1s}, kEndpoint, kAddress,
                        kStart + 2ms) == LossAction::kWait);
  CHECK(detector.ProbePending(Request("x").content_));
  const auto crash = detector.OnCrashed(kEndpoint);
  CHECK(crash.first_loss_at_ == kStart);
  REQUIRE(crash.attempts_.size() == 2);
  CHECK(crash.attempts_[0].request_.content_ == Request("x").content_);
  CHECK(crash.attempts_[1].request_.content_ == Request("y").content_);
  CHECK(crash.attempts_[1].elapsed_ == 2s);
  CHECK_FALSE(detector.ProbePending(Request("x").content_));
  SECTION("it is reported once") {
    CHECK(detector.OnCrashed(kEndpoint).attempts_.empty());
  }
  SECTION("a loss reported after the crash counts at once") {
    CHECK(detector.OnLost({Request("z"), 1s}, kEndpoint, kAddress,
                          kStart + 1s) == LossAction::kCrashed);
  }
}

TEST_CASE("a loss at an endpoint that answers waits for other confirmation",
          "[routing]") {
  CrashDetector detector;
  (void)detector.OnLost({Request("x"), 1s}, kEndpoint, kAddress, kStart);
  CHECK(detector.Unconfirmed(kStart).empty());
  detector.OnInconclusive(kEndpoint);
  CHECK_FALSE(detector.ProbePending(Request("x").content_));
  REQUIRE(detector.Unconfirmed(kStart + 1s).size() == 1);
  SECTION("it is confirmed") {
    CHECK(detector.OnCrashed(kEndpoint).attempts_.size() == 1);
    CHECK(detector.Unconfirmed(kStart + 1s).empty());
  }
  SECTION("it is not confirmed") {
    CHECK(detector.Unconfirmed(kStart + 10s).empty());
    CHECK(detector.OnCrashed(kEndpoint).attempts_.empty());
  }
}

TEST_CASE("a crash after a connection reset at the same endpoint is detected",
          "[routing]") {
  CrashDetector detector;
  (void)detector.OnLost({Request("reset"), 1s}, kEndpoint, kAddress, kStart);
  detector.OnInconclusive(kEndpoint);
  CHECK(detector.OnLost({Request("x"), 1s}, kEndpoint, kAddress, kStart + 1s) ==
        LossAction::kProbe);
  const auto crash = detector.OnCrashed(kEndpoint);
  CHECK(crash.first_loss_at_ == kStart + 1s);
  REQUIRE(crash.attempts_.size() == 1);
  CHECK(crash.attempts_.front().request_.content_ == Request("x").content_);
}

TEST_CASE("a crash counts for the request that was in flight, not a later one",
          "[routing]") {
  // Something else accepts connections for the terminated process, so that the
  // probes are inconclusive and further requests are sent to it and lost.
  CrashDetector detector;
  (void)detector.OnLost({Request("cause"), 50ms}, kEndpoint, kAddress, kStart);
  detector.OnInconclusive(kEndpoint);
  CHECK(detector.OnLost({Request("later"), 5ms}, kEndpoint, kAddress,
                        kStart + 1s) == LossAction::kProbe);
  detector.OnInconclusive(kEndpoint);
  SECTION("the next incarnation confirms the crash") {
    const auto crash = detector.OnCrashed(kEndpoint);
    CHECK(crash.first_loss_at_ == kStart);
    REQUIRE(crash.attempts_.size() == 1);
    CHECK(crash.attempts_.front().request_.content_ ==
          Request("cause").content_);
    CHECK(detector.OnLost({Request("stale"), 5ms}, kEndpoint, kAddress,
                          kStart + 2s) == LossAction::kIgnore);
  }
  SECTION("an answer shows that the endpoint had not crashed") {
    detector.OnAnswered(kEndpoint);
    CHECK(detector.OnCrashed(kEndpoint).attempts_.empty());
  }
}

TEST_CASE("the number of losses held is bounded", "[routing]") {
  CrashDetectorSettings settings;
  settings.max_endpoints_ = 2;
  settings.max_requests_ = 2;
  CrashDetector detector(settings);
  for (int i = 0; i < 5; ++i) {
    const EndpointIncarnation endpoint{
        core::InstanceId("i-" + std::to_string(i)), {}};
    for (int j = 0; j < 5; ++j) {
      (void)detector.OnLost({Request(std::to_string(j)), 1s}, endpoint,
                            kAddress, kStart);
    }
    detector.OnInconclusive(endpoint);
  }
  const auto waiting = detector.Unconfirmed(kStart);
  REQUIRE(waiting.size() == 2);
  CHECK(waiting.back().endpoint_.id_ == core::InstanceId("i-4"));
  CHECK(waiting.back().attempts_.size() == 2);
}

}  // namespace
}  // namespace chalkwell::routing
