// Requests whose endpoints send nothing while their entry stops, with a real
// entry.
#include <catch2/catch.hpp>
#include <chrono>
#include <csignal>
#include <string>
#include <thread>

#include "../daemon/raw_socket.hpp"
#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

using daemon::RawSocket;
using standins::Behaviour;
using namespace std::chrono_literals;

/// Longer than stop.drain_ms of the entry.
constexpr int kRequestTimeoutMs = 20000;

TEST_CASE("a stopping entry closes connections of requests without a response",
          "[platform][silent]") {
  const auto* const path = GENERATE("/safe/x", "/stream/x", "/once/x");
  CAPTURE(path);
  Deployment deployment;
  deployment.limits_.request_timeout_ms_ = kRequestTimeoutMs;
  deployment.PutRules(2, {"k1"});
  deployment.first_.SetBehaviour(Behaviour::kHang);
  deployment.second_.SetBehaviour(Behaviour::kHang);
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  const RawSocket caller(entry.caller_port_);
  caller.Send(RequestText(path, "k1", "", "body", kRequestTimeoutMs));
  REQUIRE(Eventually([&] {
    return deployment.first_.runs() + deployment.second_.runs() > 0;
  }));
  entry.child_.Signal(SIGTERM);
  CHECK(Status(caller.ReadUntil()) == "502");
}

TEST_CASE("a stopping entry cuts off a request that may not be repeated",
          "[platform]") {
  // Runs end after the entry, which stops draining after 5 s.
  struct Row {
    std::string path_;
    int deadline_ms_;
    std::chrono::milliseconds run_delay_;
    std::string status_;
    int runs_;
  };
  const auto row = GENERATE(Row{"/once/x", 8000, 4800ms, "503", 0},
                            Row{"/once/x", 3000, 100ms, "200", 1},
                            Row{"/safe/x", 8000, 100ms, "200", 1},
                            Row{"/stream/x", 8000, 100ms, "200", 1});
  CAPTURE(row.path_, row.deadline_ms_);
  Deployment deployment;
  deployment.limits_.request_timeout_ms_ = kRequestTimeoutMs;
  deployment.PutRules(2, {"k1"});
  for (auto* endpoint : {&deployment.first_, &deployment.second_}) {
    endpoint->SetRunDelay(row.run_delay_);
  }
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  entry.child_.Signal(SIGTERM);
  REQUIRE(Eventually([&] { return !entry.Ready(); }));
  std::this_thread::sleep_for(1s);
  const auto response = SendRequest(
      entry, RequestText(row.path_, "k1", "", "body", row.deadline_ms_));
  CHECK(Status(response) == row.status_);
  CHECK((response.find("retry-after") != std::string::npos) ==
        (row.status_ == "503"));
  CHECK(deployment.first_.runs() + deployment.second_.runs() == row.runs_);
}

}  // namespace
}  // namespace chalkwell::platform_tests
