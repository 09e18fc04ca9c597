// Endpoints that state in their responses that they are draining, while the
// store is down and their rows still say that they are ready.
#include <catch2/catch.hpp>

#include "arrival_count.hpp"
#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

using standins::Behaviour;

TEST_CASE("an endpoint gets requests after it stated that it leaves",
          "[platform][leaving]") {
  struct Row {
    std::string path_;
    Behaviour behaviour_;
  };
  const auto row = GENERATE(
      Row{"/safe/x", Behaviour::kServe}, Row{"/once/x", Behaviour::kServe},
      Row{"/stream/x", Behaviour::kServe}, Row{"/safe/x", Behaviour::kFail},
      Row{"/safe/x", Behaviour::kShed});
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  deployment.store_.SetBusy(true);
  deployment.first_.SetBehaviour(row.behaviour_);
  deployment.first_.SetStatesLeaving(true);
  const ArrivalCount arrivals(deployment.first_);
  SendUntilArrival(entry, row.path_, arrivals);
  const auto arrivals_when_stated = arrivals.count();
  for (int i = 0; i < kLaterRequests; ++i) {
    CHECK(Status(SendRequest(entry, RequestText(row.path_))) == "200");
  }
  CHECK(arrivals.count() == arrivals_when_stated);
}

TEST_CASE("an entry does not learn that an endpoint states that it leaves",
          "[platform][leaving]") {
  Deployment deployment;
  const auto first = deployment.StartEntry("e1", deployment.store_.address());
  const auto second = deployment.StartEntry("e2", deployment.store_.address(),
                                            NodeOptions{&first, 2});
  REQUIRE(Eventually([&] { return first.Ready() && second.Ready(); }));
  // The first entry publishes to the members that it knows.
  REQUIRE(Eventually([&] {
    return deployment.Log("e1").find("member=\"e2\"") != std::string::npos;
  }));
  deployment.store_.SetBusy(true);
  deployment.first_.SetStatesLeaving(true);
  const ArrivalCount arrivals(deployment.first_);
  SendUntilArrival(first, "/safe/x", arrivals);
  REQUIRE(Eventually([&] {
    return deployment.Log("e2").find("change=\"received\"") !=
           std::string::npos;
  }));
  const auto arrivals_when_received = arrivals.count();
  for (int i = 0; i < kLaterRequests; ++i) {
    CHECK(Status(SendRequest(second, RequestText("/safe/x"))) == "200");
  }
  CHECK(arrivals.count() == arrivals_when_received);
}

TEST_CASE("an agent does not report that its engine states that it leaves",
          "[platform][leaving]") {
  Deployment deployment;
  // Entries expect an agent at the IP address of its engine.
  EndpointStandin engine{deployment.thread_, "i-reporting", {"127.0.0.2", 0}};
  deployment.store_.Put("servers/" + engine.id(), engine.Row("pool", "z1"));
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  const auto agent =
      deployment.StartAgent("a1", NodeOptions{&entry, 2, engine.address()});
  REQUIRE(Eventually([&] { return engine.version() == 1; }));
  deployment.store_.SetBusy(true);
  engine.SetStatesLeaving(true);
  CHECK(Eventually([&] {
    return deployment.Log("e1").find("change=\"reported\"") !=
           std::string::npos;
  }));
}

}  // namespace
}  // namespace chalkwell::platform_tests
