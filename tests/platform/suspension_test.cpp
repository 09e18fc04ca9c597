// Entries on suspended machines: the steady clock does not advance during a
// suspension, so deadlines and snapshot ages must be measured otherwise.
#include "fleet/suspension.hpp"

#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

#include "../daemon/raw_socket.hpp"
#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

using namespace std::chrono_literals;

TEST_CASE("an entry resumed after a suspension reads the list before it routes",
          "[platform][suspend]") {
  constexpr std::size_t kWaitingRequests = 8;
  Deployment deployment;
  fleet::Suspension suspension(deployment.folder_ / "suspended");
  deployment.environment_ = suspension.environment();
  auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  REQUIRE(Eventually([&] {
    (void)SendRequest(entry, RequestText("/safe/warm"));
    return deployment.first_.runs() > 0 && deployment.second_.runs() > 0;
  }));
  entry.child_.Signal(SIGSTOP);
  // The callers' requests arrive before the store's response.
  deployment.store_.SetDelay(100ms);
  deployment.store_.Put("servers/i-first",
                        deployment.first_.Row("plain", "z1", "draining"));
  const auto before = deployment.first_.runs();
  std::vector<std::string> responses(kWaitingRequests);
  std::vector<std::thread> callers;
  callers.reserve(kWaitingRequests);
  for (auto& response : responses) {
    callers.emplace_back(
        [&] { response = SendRequest(entry, RequestText("/safe/waiting")); });
  }
  std::this_thread::sleep_for(100ms);
  suspension.AddSuspendedTime(6s);
  entry.child_.Signal(SIGCONT);
  for (auto& caller : callers) {
    caller.join();
  }
  for (const auto& response : responses) {
    CHECK(Status(response) == "200");
  }
  CHECK(deployment.first_.runs() == before);
}

TEST_CASE("a deadline that passes during a suspension ends the request",
          "[platform][suspend]") {
  Deployment deployment;
  deployment.limits_.request_timeout_ms_ = 600000;
  deployment.PutRules(2, {"k1", "k2"});
  fleet::Suspension suspension(deployment.folder_ / "suspended");
  deployment.environment_ = suspension.environment();
  deployment.first_.SetBehaviour(standins::Behaviour::kHang);
  deployment.second_.SetBehaviour(standins::Behaviour::kHang);
  auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  std::atomic<bool> responded{false};
  std::string response;
  std::thread caller([&] {
    response =
        SendRequest(entry,
                    "POST /once/x HTTP/1.1\r\nhost: h\r\nattempt-id: a1\r\n"
                    "deadline-ms: 300000\r\nauthorization: Bearer k1\r\n"
                    "connection: close\r\ncontent-length: 0\r\n\r\n");
    responded = true;
  });
  REQUIRE(Eventually([&] {
    return deployment.first_.runs() + deployment.second_.runs() > 0;
  }));
  suspension.AddSuspendedTime(400s);
  const bool responded_in_time = Eventually([&] { return responded.load(); });
  entry.child_.Kill();
  caller.join();
  CHECK(responded_in_time);
  CHECK(Status(response) == "504");
}

}  // namespace
}  // namespace chalkwell::platform_tests
