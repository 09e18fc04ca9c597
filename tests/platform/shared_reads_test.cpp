// Load that many processes put on a shared service: the configuration store,
// over a link that all machines of a failure domain share, and the weights
// origin.
//
// A deployment of 35 entries and 76 engines responded 404 on routes added 3.4 s
// before, sent requests to endpoints that had been draining for 3.2 s, and
// after a power loss served no stream again.
//
// Rules of 4,250 routes (1.3 MB) were published. Each entry fetched them twice,
// by its watch and by a read when another entry announced them, and each agent
// that started fetched them repeatedly for four fields. This filled a failure
// domain's link of 3 MB/s for 16 s (24.4 MB to nine entries for one change, 4
// to 6 MB in each second to the three other failure domains), so that calls
// timed out, entries took a working store for lost 26 times, restarted watches
// and lists, and requested all documents from each other.
//
// The weights origin accepts 48 connections, and each of 76 agents kept one
// open. Machines that lose power close none, so after the restart the origin
// reset every agent, and each retried after 40 ms: 1,900 manifest requests a
// second (from 2,087 to 39,649 in 20 s), of which about twenty succeeded.
//
// The common cause: every process requested the whole of a shared document
// itself, at the same time as all others, and retried without backoff.
#include <catch2/catch.hpp>
#include <thread>

#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

using namespace std::chrono_literals;

/// Prefix of everything that operators publish, which entries watch.
constexpr auto kOperationsPrefix = "op/";
constexpr auto kRulesKey = "op/config";
/// About 1.3 MB as published.
constexpr std::size_t kManyRoutes = 4250;

/// Responses of the store that contained the rules.
int ReadsOfRules(const Deployment& deployment) {
  return deployment.store_.ResponsesWithValues(kOperationsPrefix) +
         deployment.store_.ResponsesWithValues(kRulesKey);
}

bool KnowsMember(const Deployment& deployment, const std::string& name,
                 const std::string& other) {
  return deployment.Log(name).find("member=\"" + other + "\"") !=
         std::string::npos;
}

TEST_CASE(
    "a failure domain fetches a change of large rules from the store once",
    "[platform]") {
  Deployment deployment;
  deployment.extra_routes_ = kManyRoutes;
  deployment.PutRules(2, {"k1", "k2"});
  const auto store = deployment.store_.address();
  const auto first = deployment.StartEntry("e1", store);
  REQUIRE(Eventually([&] { return first.Ready(); }));
  const auto second =
      deployment.StartEntry("e2", store, NodeOptions{&first, 2});
  const auto third = deployment.StartEntry("e3", store, NodeOptions{&first, 3});
  REQUIRE(Eventually([&] { return second.Ready() && third.Ready(); }));
  REQUIRE(Eventually([&] {
    return KnowsMember(deployment, "e1", "e2") &&
           KnowsMember(deployment, "e1", "e3") &&
           KnowsMember(deployment, "e2", "e3") &&
           KnowsMember(deployment, "e3", "e2");
  }));
  CHECK(Eventually([&] {
    return deployment.store_.WaitingWatches(kOperationsPrefix) == 1;
  }));
  const auto before = ReadsOfRules(deployment);
  deployment.PutRules(9, {"k1"});
  for (const auto* entry : {&first, &second, &third}) {
    CHECK(Eventually([&] {
      return Status(SendRequest(*entry, RequestText("/safe/x", "k2"))) == "401";
    }));
    CHECK(Status(SendRequest(*entry, RequestText("/more4249/x", "k1"))) ==
          "200");
  }
  CHECK(ReadsOfRules(deployment) - before == 1);
}

TEST_CASE("an agent that starts reads no rules from the store", "[platform]") {
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  const auto before = ReadsOfRules(deployment);
  const auto agent = deployment.StartAgent("a1", NodeOptions{&entry, 2});
  REQUIRE(Eventually([&] { return deployment.engine_.version() == 1; }));
  CHECK(ReadsOfRules(deployment) - before == 0);
}

TEST_CASE("at a first start an entry receives everything from a seed",
          "[platform]") {
  Deployment deployment;
  const auto seed = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return seed.Ready(); }));
  const StoreStandin unused(deployment.thread_);
  NodeOptions options{&seed, 2};
  options.first_read_wait_ms_ = 60'000;
  const auto entry = deployment.StartEntry("e2", unused.address(), options);
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  CHECK(Status(SendRequest(entry, RequestText("/safe/x"))) == "200");
  CHECK(unused.calls() == 0);
}

TEST_CASE("a change of any number of rows reaches entries without the store",
          "[platform]") {
  // A change of more rows than a datagram holds was not published: each entry
  // read the whole list from the store.
  constexpr int kRows = 600;
  Deployment deployment;
  const auto seed = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return seed.Ready(); }));
  // A read of the list from this store would return a row.
  StoreStandin unused(deployment.thread_);
  unused.Put("servers/i-unused", deployment.first_.Row("plain", "z1"));
  NodeOptions options{&seed, 2};
  options.first_read_wait_ms_ = 60'000;
  const auto entry = deployment.StartEntry("e2", unused.address(), options);
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  for (int i = 0; i < kRows; ++i) {
    deployment.store_.Put("servers/i-more" + std::to_string(i),
                          deployment.first_.Row("plain", "z1"));
  }
  CHECK(Eventually([&] {
    return deployment.Log("e2").find("endpoints=\"603\"") != std::string::npos;
  }));
  CHECK(unused.ResponsesWithValues("servers/") == 0);
}

TEST_CASE("requests to an origin that responds 503 back off", "[platform]") {
  Deployment deployment;
  deployment.origin_.SetDown(true);
  const auto agent = deployment.StartAgent("a1");
  REQUIRE(
      Eventually([&] { return deployment.origin_.manifest_requests() > 0; }));
  // The engine is queried every 50 ms meanwhile; without backoff the origin was
  // queried every 40 ms.
  const auto reports = deployment.engine_.report_queries();
  REQUIRE(Eventually(
      [&] { return deployment.engine_.report_queries() >= reports + 60; }));
  CHECK(deployment.origin_.manifest_requests() < 12);
  deployment.origin_.SetDown(false);
  CHECK(Eventually([&] { return deployment.engine_.version() == 1; }));
}

TEST_CASE("an agent without a fetch keeps no connection to the origin",
          "[platform]") {
  // The origin accepts 48 connections, fewer than the 76 agents. Machines that
  // lose power close none: when each agent kept one, the origin reset every
  // connection after the restart within a millisecond.
  Deployment deployment;
  const auto agent = deployment.StartAgent("a1");
  REQUIRE(Eventually([&] { return deployment.engine_.version() == 1; }));
  CHECK(Eventually([&] { return deployment.origin_.connections() == 0; }));
}

}  // namespace
}  // namespace chalkwell::platform_tests
