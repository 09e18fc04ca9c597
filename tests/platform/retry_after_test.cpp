// Endpoints that refuse requests and state for how long they accept none.
#include <catch2/catch.hpp>

#include "arrival_count.hpp"
#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

using standins::Behaviour;

/// Longer than a test takes, in seconds.
const std::string kLongTime = "60";
const std::string kShortTime = "1.5";

TEST_CASE("an endpoint gets requests in the time for which it asked for none",
          "[platform][retry-after]") {
  const auto path = GENERATE(std::string("/safe/x"), std::string("/once/x"),
                             std::string("/stream/x"));
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  deployment.first_.SetBehaviour(Behaviour::kShed);
  deployment.first_.SetRetryAfter(kLongTime);
  const ArrivalCount arrivals(deployment.first_);
  SendUntilArrival(entry, path, arrivals);
  const auto arrivals_when_refused = arrivals.count();
  for (int i = 0; i < kLaterRequests; ++i) {
    CHECK(Status(SendRequest(entry, RequestText(path))) == "200");
  }
  CHECK(arrivals.count() == arrivals_when_refused);
}

TEST_CASE("an endpoint that refused for a while is used again afterwards",
          "[platform][retry-after]") {
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  deployment.first_.SetBehaviour(Behaviour::kShed);
  deployment.first_.SetRetryAfter(kShortTime);
  const ArrivalCount arrivals(deployment.first_);
  SendUntilArrival(entry, "/safe/x", arrivals);
  deployment.first_.SetBehaviour(Behaviour::kServe);
  const auto runs = deployment.first_.runs();
  CHECK(Eventually([&] {
    (void)SendRequest(entry, RequestText("/safe/x"));
    return deployment.first_.runs() > runs;
  }));
}

TEST_CASE(
    "a request is held at an entry whose endpoints all refuse for a while",
    "[platform][retry-after]") {
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  for (auto* endpoint : {&deployment.first_, &deployment.second_}) {
    endpoint->SetBehaviour(Behaviour::kShed);
    endpoint->SetRetryAfter(kLongTime);
  }
  std::string response;
  REQUIRE(Eventually([&] {
    response = SendRequest(entry, RequestText("/once/x"));
    return response.find("refuse requests for a while") != std::string::npos;
  }));
  CHECK(Status(response) == "503");
  CHECK(response.find("retry-after") != std::string::npos);
}

}  // namespace
}  // namespace chalkwell::platform_tests
