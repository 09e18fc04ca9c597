// Endpoints that run a request and fail with a status that says the contrary,
// with a real entry.
#include <catch2/catch.hpp>
#include <string>

#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

using standins::Behaviour;

struct Row {
  std::string path_;
  int status_;
  std::string forwarded_;
  /// Endpoints that run the request.
  int runs_;
};

TEST_CASE("a request that ran is reported as not run", "[platform]") {
  // Regression: the status of an endpoint that ran the request, but did not
  // state so, was forwarded: 503, which promises that it was not run.
  const auto row =
      GENERATE(Row{"/once/x", 503, "502", 1}, Row{"/once/x", 429, "502", 1},
               Row{"/once/x", 408, "502", 1}, Row{"/once/x", 500, "500", 1},
               Row{"/safe/x", 503, "502", 2}, Row{"/safe/x", 429, "502", 2},
               Row{"/stream/x", 503, "502", 2}, Row{"/safe/x", 404, "404", 1});
  CAPTURE(row.path_, row.status_);
  Deployment deployment;
  for (auto* endpoint : {&deployment.first_, &deployment.second_}) {
    endpoint->SetBehaviour(row.status_ == 404 ? Behaviour::kReject
                                              : Behaviour::kFail);
    endpoint->SetFailureStatus(row.status_);
  }
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  const auto response = SendRequest(entry, RequestText(row.path_));
  CHECK(Status(response) == row.forwarded_);
  const bool own = row.forwarded_ == "502";
  CHECK((response.find("response-seal") == std::string::npos) == own);
  CHECK(deployment.first_.runs() + deployment.second_.runs() == row.runs_);
}

TEST_CASE("a response with a status that is none is forwarded", "[platform]") {
  const auto row =
      GENERATE(Row{"/once/x", 600, "502", 1}, Row{"/once/x", 999, "502", 1},
               Row{"/safe/x", 999, "502", 2}, Row{"/stream/x", 999, "502", 2});
  CAPTURE(row.path_, row.status_);
  Deployment deployment;
  for (auto* endpoint : {&deployment.first_, &deployment.second_}) {
    endpoint->SetBehaviour(Behaviour::kFail);
    endpoint->SetFailureStatus(row.status_);
  }
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  const auto response = SendRequest(entry, RequestText(row.path_));
  CHECK(Status(response) == row.forwarded_);
  CHECK(response.find("response-seal") == std::string::npos);
  CHECK(deployment.first_.runs() + deployment.second_.runs() == row.runs_);
}

}  // namespace
}  // namespace chalkwell::platform_tests
