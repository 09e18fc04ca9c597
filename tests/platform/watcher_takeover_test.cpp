// Entries whose watchers of the store terminate.
#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

#include "chalkwell/membership/watcher_role.hpp"
#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

constexpr auto kOperationsPrefix = "op/";
/// Longer than a test: such an entry gets its first rules from a seed.
constexpr int kFirstReadWaitMs = 60'000;

/// Ids of entries in the priority order of the watcher role.
std::vector<std::string> NamesInRank(std::size_t count) {
  std::vector<core::InstanceId> ids;
  for (std::size_t i = 0; i < count; ++i) {
    ids.emplace_back("e" + std::to_string(i));
  }
  std::vector<std::string> names;
  for (const auto& id : membership::WatcherRole::FirstInRank(ids, count)) {
    names.push_back(id.value());
  }
  return names;
}

TEST_CASE("an entry that becomes a watcher later never watches the store",
          "[platform]") {
  Deployment deployment;
  const auto names = NamesInRank(3);
  const auto store = deployment.store_.address();
  auto first = deployment.StartEntry(names[0], store);
  REQUIRE(Eventually([&] { return first.Ready(); }));
  NodeOptions options{&first, 2};
  options.first_read_wait_ms_ = kFirstReadWaitMs;
  auto second = deployment.StartEntry(names[1], store, options);
  REQUIRE(Eventually([&] { return second.Ready(); }));
  REQUIRE(Eventually([&] {
    return deployment.store_.WaitingWatches(kOperationsPrefix) == 2;
  }));
  options.host_number_ = 3;
  const auto third = deployment.StartEntry(names[2], store, options);
  REQUIRE(Eventually([&] { return third.Ready(); }));
  first.child_.Kill();
  second.child_.Kill();
  REQUIRE(Eventually([&] {
    return deployment.Log(names[2]).find("watches=\"yes\"") !=
           std::string::npos;
  }));
  deployment.PutRules(9, {"k2"});
  CHECK(Eventually([&] {
    return Status(SendRequest(third, RequestText("/safe/x", "k2"))) == "200";
  }));
}

}  // namespace
}  // namespace chalkwell::platform_tests
