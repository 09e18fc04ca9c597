// Where real entries send requests: data residency and evacuated failure
// domains, as published in the store.
#include <catch2/catch.hpp>

#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

using standins::Behaviour;

constexpr int kRequests = 10;

/// Sends requests of route "/safe/" one after the other.
/// @return how many got status 200.
int SendSafe(const Node& entry) {
  int answered = 0;
  for (int i = 0; i < kRequests; ++i) {
    answered +=
        Status(SendRequest(entry, RequestText("/safe/x"))) == "200" ? 1 : 0;
  }
  return answered;
}

/// Publishes the second endpoint in the remote failure domain.
void SplitDomains(Deployment& deployment) {
  deployment.store_.Put("servers/" + deployment.second_.id(),
                        deployment.second_.Row("plain", "z2"));
}

TEST_CASE("a request is processed in its allowed regions only, also on retries",
          "[platform]") {
  Deployment deployment;
  SplitDomains(deployment);
  const bool by_account = GENERATE(false, true);
  (by_account ? deployment.account_regions_
              : deployment.safe_route_regions_) = {"south"};
  deployment.PutRules(2, {"k1"});
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  CHECK(SendSafe(entry) == kRequests);
  CHECK(deployment.first_.runs() == 0);
  CHECK(deployment.second_.runs() == kRequests);
  // The endpoint of the other region could serve them.
  deployment.second_.SetBehaviour(Behaviour::kShed);
  CHECK(Status(SendRequest(entry, RequestText("/safe/x"))) == "503");
  CHECK(deployment.first_.runs() == 0);
}

TEST_CASE("a request that no region may process is rejected at once",
          "[platform]") {
  Deployment deployment;
  SplitDomains(deployment);
  deployment.safe_route_regions_ = {"south"};
  deployment.account_regions_ = {"north"};
  deployment.PutRules(2, {"k1"});
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  const auto response = SendRequest(entry, RequestText("/safe/x"));
  CHECK(Status(response) == "503");
  CHECK(response.find("no region may process") != std::string::npos);
  CHECK(response.find("retry-after") == std::string::npos);
  CHECK(deployment.first_.runs() + deployment.second_.runs() == 0);
}

TEST_CASE("an evacuated failure domain gets no requests until it is withdrawn",
          "[platform]") {
  Deployment deployment;
  SplitDomains(deployment);
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  const auto other = deployment.StartEntry("e2", deployment.store_.address(),
                                           NodeOptions{&entry, 2});
  REQUIRE(Eventually([&] { return other.Ready(); }));
  deployment.store_.Put("op/evacuate/z1", nlohmann::json::object());
  for (const auto* name : {"e1", "e2"}) {
    REQUIRE(Eventually([&] {
      return deployment.Log(name).find("domains=\"z1\"") != std::string::npos;
    }));
  }
  const auto before = deployment.first_.runs();
  CHECK(SendSafe(entry) == kRequests);
  CHECK(SendSafe(other) == kRequests);
  CHECK(deployment.first_.runs() == before);
  deployment.store_.Remove("op/evacuate/z1");
  CHECK(Eventually([&] {
    (void)SendSafe(entry);
    return deployment.first_.runs() > before;
  }));
}

}  // namespace
}  // namespace chalkwell::platform_tests
