// Entries on machines that are suspended: the steady clock does not count the
// time.
#include "fleet/suspension.hpp"

#include <catch2/catch.hpp>
#include <csignal>
#include <thread>

#include "../daemon/raw_socket.hpp"
#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

using namespace std::chrono_literals;

TEST_CASE("an entry that was suspended reads the list before it chooses",
          "[platform][suspend]") {
  constexpr std::size_t kWaiting = 8;
  Deployment deployment;
  fleet::Suspension suspension(deployment.folder_ / "suspended");
  deployment.environment_ = suspension.environment();
  auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  REQUIRE(Eventually([&] {
    (void)Ask(entry, RequestText("/safe/warm"));
    return deployment.first_.runs() > 0 && deployment.second_.runs() > 0;
  }));
  entry.child_.Signal(SIGSTOP);
  // Its callers' requests are there before the store's answer.
  deployment.store_.SetDelay(100ms);
  deployment.store_.Put("servers/i-first",
                        deployment.first_.Row("plain", "z1", "draining"));
  const auto before = deployment.first_.runs();
  std::vector<std::string> answers(kWaiting);
  std::vector<std::thread> callers;
  callers.reserve(kWaiting);
  for (auto& answer : answers) {
    callers.emplace_back(
        [&] { answer = Ask(entry, RequestText("/safe/waiting")); });
  }
  std::this_thread::sleep_for(100ms);
  suspension.Add(6s);
  entry.child_.Signal(SIGCONT);
  for (auto& caller : callers) {
    caller.join();
  }
  for (const auto& answer : answers) {
    CHECK(Status(answer) == "200");
  }
  CHECK(deployment.first_.runs() == before);
}

TEST_CASE("a deadline that passes during a suspension ends the request",
          "[platform][suspend]") {
  Deployment deployment;
  deployment.limits_.timeout_ms_ = 600000;
  deployment.PutRules(2, {"k1", "k2"});
  fleet::Suspension suspension(deployment.folder_ / "suspended");
  deployment.environment_ = suspension.environment();
  deployment.first_.SetBehaviour(standins::Behaviour::kHang);
  deployment.second_.SetBehaviour(standins::Behaviour::kHang);
  auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  std::atomic<bool> answered{false};
  std::string answer;
  std::thread caller([&] {
    answer = Ask(entry,
                 "POST /once/x HTTP/1.1\r\nhost: h\r\nattempt-id: a1\r\n"
                 "deadline-ms: 300000\r\nauthorization: Bearer k1\r\n"
                 "connection: close\r\ncontent-length: 0\r\n\r\n");
    answered = true;
  });
  REQUIRE(Eventually([&] {
    return deployment.first_.runs() + deployment.second_.runs() > 0;
  }));
  suspension.Add(400s);
  const bool in_time = Eventually([&] { return answered.load(); });
  entry.child_.Kill();
  caller.join();
  CHECK(in_time);
  CHECK(Status(answer) == "504");
}

}  // namespace
}  // namespace chalkwell::platform_tests
