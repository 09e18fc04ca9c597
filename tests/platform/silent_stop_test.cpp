// Requests whose endpoints send nothing while their entry stops, with a real
// entry.
#include <catch2/catch.hpp>
#include <csignal>

#include "../daemon/raw_socket.hpp"
#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

using daemon::RawSocket;
using standins::Behaviour;

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

}  // namespace
}  // namespace chalkwell::platform_tests
