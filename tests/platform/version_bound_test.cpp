// Use of older weights by entries that learn late of a newer version.
//
// Entries counted the bound from when they learned of a version. Entries that
// restarted 8.5 s after its publication sent requests to older weights for four
// more seconds, while the others refused them.
#include <atomic>
#include <catch2/catch.hpp>
#include <regex>

#include "../daemon/raw_socket.hpp"
#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

/// Longer than the entry takes to start, even beside load, and the time before
/// the bound at which entries stop to use older weights.
constexpr int kVersionBoundMs = 6400;

void PublishVersion(Deployment& deployment, int version) {
  deployment.store_.Put("op/version/m", {{"model", "m"}, {"version", version}});
}

TEST_CASE("an entry that starts after the version bound uses no older weights",
          "[platform][rollout]") {
  Deployment deployment;
  deployment.engine_.SetVersion(1);
  deployment.PutRows();
  PublishVersion(deployment, 1);
  NodeOptions options;
  options.version_bound_ms_ = kVersionBoundMs;
  const auto first =
      deployment.StartEntry("e1", deployment.store_.address(), options);
  const auto status_at = [](const Node& entry) {
    return Status(SendRequest(entry, RequestText("/model/x")));
  };
  REQUIRE(Eventually([&] { return status_at(first) == "200"; }));
  PublishVersion(deployment, 2);
  REQUIRE(Eventually([&] { return status_at(first) == "503"; }));
  options.seed_ = &first;
  const auto second =
      deployment.StartEntry("e2", deployment.store_.address(), options);
  REQUIRE(Eventually([&] { return second.Ready(); }));
  // The first entry has known version 2 for seconds.
  const std::regex learned("weights-named.* age_ms=\"[0-9]{4,}\".*");
  CHECK(Eventually(
      [&] { return std::regex_search(deployment.Log("e2"), learned); }));
  CHECK(status_at(second) == "503");
}

TEST_CASE("a silent attempt starts on older weights after the version bound",
          "[platform][rollout][silent]") {
  Deployment deployment;
  deployment.limits_.request_timeout_ms_ = 2 * kVersionBoundMs;
  deployment.PutRules(2, {"k1"});
  deployment.engine_.SetVersion(1);
  deployment.PutRows();
  PublishVersion(deployment, 1);
  NodeOptions options;
  options.version_bound_ms_ = kVersionBoundMs;
  const auto entry =
      deployment.StartEntry("e1", deployment.store_.address(), options);
  const auto status = [&] {
    return Status(SendRequest(entry, RequestText("/model/x")));
  };
  REQUIRE(Eventually([&] { return status() == "200"; }));
  deployment.engine_.SetRunDelay(std::chrono::milliseconds(kVersionBoundMs) +
                                 std::chrono::seconds(2));
  std::atomic<bool> arrived = false;
  deployment.engine_.OnArrival([&](const std::string&) { arrived = true; });
  const daemon::RawSocket caller(entry.caller_port_);
  caller.Send(RequestText("/model/x", "k1", "", "body",
                          deployment.limits_.request_timeout_ms_));
  REQUIRE(Eventually([&] { return arrived.load(); }));
  PublishVersion(deployment, 2);
  CHECK(Status(caller.ReadUntil()) == "502");
}

}  // namespace
}  // namespace chalkwell::platform_tests
