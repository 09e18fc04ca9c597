// Which lost attempts count as crashes of their endpoints.
#include "chalkwell/routing/crash_detector.hpp"

#include <catch2/catch.hpp>

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart = core::TimePoint{} + 1h;
const EndpointIncarnation kLife{core::InstanceId("i-1"), {}};
constexpr auto kAddress = "10.0.0.1:80";

RequestDigest Request(const std::string& body) {
  return RequestDigest::Of(
      {core::ClientAccountId("a"), "POST", "h", "/x", body});
}

TEST_CASE("all attempts that a crash ended are found by one probe",
          "[routing]") {
  CrashDetector evidence;
  CHECK(evidence.OnLost({Request("x"), 1s}, kLife, kAddress, kStart) ==
        LossAction::kProbe);
  CHECK(evidence.OnLost({Request("y"), 2s}, kLife, kAddress, kStart + 1ms) ==
        LossAction::kWait);
  CHECK(evidence.OnLost({Request("x"), 1s}, kLife, kAddress, kStart + 2ms) ==
        LossAction::kWait);
  CHECK(evidence.ProbePending(Request("x")));
  const auto crash = evidence.OnCrashed(kLife);
  CHECK(crash.first_loss_at_ == kStart);
  REQUIRE(crash.attempts_.size() == 2);
  CHECK(crash.attempts_[0].request_ == Request("x"));
  CHECK(crash.attempts_[1].request_ == Request("y"));
  CHECK(crash.attempts_[1].elapsed_ == 2s);
  CHECK_FALSE(evidence.ProbePending(Request("x")));
  SECTION("it is reported once") {
    CHECK(evidence.OnCrashed(kLife).attempts_.empty());
  }
  SECTION("a loss that is seen late counts at once") {
    CHECK(evidence.OnLost({Request("z"), 1s}, kLife, kAddress, kStart + 1s) ==
          LossAction::kCrashed);
  }
}

TEST_CASE("a loss at an endpoint that answers waits for other evidence",
          "[routing]") {
  CrashDetector evidence;
  (void)evidence.OnLost({Request("x"), 1s}, kLife, kAddress, kStart);
  CHECK(evidence.Unconfirmed(kStart).empty());
  evidence.OnInconclusive(kLife);
  CHECK_FALSE(evidence.ProbePending(Request("x")));
  REQUIRE(evidence.Unconfirmed(kStart + 1s).size() == 1);
  SECTION("that comes") {
    CHECK(evidence.OnCrashed(kLife).attempts_.size() == 1);
    CHECK(evidence.Unconfirmed(kStart + 1s).empty());
  }
  SECTION("that does not come") {
    CHECK(evidence.Unconfirmed(kStart + 10s).empty());
    CHECK(evidence.OnCrashed(kLife).attempts_.empty());
  }
}

TEST_CASE("a crash after a reset of the same endpoint's connections is seen",
          "[routing]") {
  CrashDetector evidence;
  (void)evidence.OnLost({Request("reset"), 1s}, kLife, kAddress, kStart);
  evidence.OnInconclusive(kLife);
  CHECK(evidence.OnLost({Request("x"), 1s}, kLife, kAddress, kStart + 1s) ==
        LossAction::kProbe);
  const auto crash = evidence.OnCrashed(kLife);
  CHECK(crash.first_loss_at_ == kStart + 1s);
  REQUIRE(crash.attempts_.size() == 1);
  CHECK(crash.attempts_.front().request_ == Request("x"));
}

TEST_CASE("the memory of losses is bounded", "[routing]") {
  CrashDetectorSettings settings;
  settings.max_endpoints_ = 2;
  settings.max_requests_ = 2;
  CrashDetector evidence(settings);
  for (int i = 0; i < 5; ++i) {
    const EndpointIncarnation life{core::InstanceId("i-" + std::to_string(i)),
                                   {}};
    for (int j = 0; j < 5; ++j) {
      (void)evidence.OnLost({Request(std::to_string(j)), 1s}, life, kAddress,
                            kStart);
    }
    evidence.OnInconclusive(life);
  }
  const auto waiting = evidence.Unconfirmed(kStart);
  REQUIRE(waiting.size() == 2);
  CHECK(waiting.back().endpoint_.id_ == core::InstanceId("i-4"));
  CHECK(waiting.back().attempts_.size() == 2);
}

}  // namespace
}  // namespace chalkwell::routing
