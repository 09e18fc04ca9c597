// Requests that an entry has read and that wait, or arrive while it stops: each
// gets a response.
#include <atomic>
#include <catch2/catch.hpp>
#include <csignal>
#include <memory>
#include <thread>

#include "../daemon/raw_socket.hpp"
#include "arrival_count.hpp"
#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

using daemon::RawSocket;
using namespace std::chrono_literals;

/// Delay of each page of the list with which every read returns an outdated
/// list; shorter than a call to the store may take.
constexpr auto kOutdatingDelay = 330ms;

/// A deployment whose list of endpoints has several pages.
class SlowList {
 public:
  SlowList() {
    for (int i = 0; i < kMoreEndpoints; ++i) {
      more_.push_back(std::make_unique<EndpointStandin>(
          deployment_.thread_, "i-more" + std::to_string(i)));
      deployment_.store_.Put("servers/" + more_.back()->id(),
                             more_.back()->Row("plain", "z1"));
    }
  }

  /// Delays each page from now on, and waits until the list is outdated.
  void Outdate(std::chrono::milliseconds page_delay) {
    deployment_.store_.SetDelay(page_delay);
    std::this_thread::sleep_for(kMaxListAge);
  }

  Deployment deployment_;

 private:
  static constexpr int kMoreEndpoints = 6;
  /// Longer than the greatest age of a list, 1.2 s.
  static constexpr auto kMaxListAge = 1500ms;

  std::vector<std::unique_ptr<EndpointStandin>> more_;
};

TEST_CASE("a request waits without end for a list that is read too slowly",
          "[platform][unanswered]") {
  struct Row {
    std::string name_;
    std::chrono::milliseconds page_delay_;
  };
  const auto row =
      GENERATE(Row{"each read returns an outdated list", kOutdatingDelay},
               Row{"each read fails", 2000ms});
  CAPTURE(row.name_);
  SlowList list;
  auto entry =
      list.deployment_.StartEntry("e1", list.deployment_.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  list.Outdate(row.page_delay_);
  std::atomic<bool> responded{false};
  std::string response;
  std::thread caller([&] {
    response = SendRequest(entry, RequestText("/safe/x"));
    responded = true;
  });
  const bool responded_in_time = Eventually([&] { return responded.load(); });
  entry.child_.Kill();
  caller.join();
  CHECK(responded_in_time);
  CHECK(Status(response) == "200");
}

TEST_CASE("a process stops while a request waits for a fresh list",
          "[platform][unanswered]") {
  // Shortly before the process accepts no more connections.
  constexpr auto kTimeIntoStop = 2300ms;
  SlowList list;
  auto entry =
      list.deployment_.StartEntry("e1", list.deployment_.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  list.Outdate(kOutdatingDelay);
  const RawSocket caller(entry.caller_port_);
  entry.child_.Signal(SIGTERM);
  std::this_thread::sleep_for(kTimeIntoStop);
  caller.Send(RequestText("/safe/x"));
  CHECK(Status(caller.ReadUntil()) == "200");
}

TEST_CASE("a request completed after the last wait of a stop is passed on",
          "[platform][unanswered]") {
  Deployment deployment;
  auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  const ArrivalCount first_arrivals(deployment.first_);
  const ArrivalCount second_arrivals(deployment.second_);
  deployment.first_.SetRunDelay(1000ms);
  deployment.second_.SetRunDelay(1000ms);
  const auto request = RequestText("/safe/x");
  const RawSocket caller(entry.caller_port_);
  entry.child_.Signal(SIGTERM);
  std::this_thread::sleep_for(1000ms);
  caller.Send(request.substr(0, request.size() - 2));
  REQUIRE(Eventually([&] {
    return deployment.Log("e1").find(" stopped") != std::string::npos;
  }));
  caller.Send(request.substr(request.size() - 2));
  const auto response = caller.ReadUntil();
  CHECK(first_arrivals.count() + second_arrivals.count() == 0);
  CHECK((response.empty() || Status(response) == "503"));
}

}  // namespace
}  // namespace chalkwell::platform_tests
