// Entries whose watchers of the store terminate.
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "chalkwell/membership/watcher_role.hpp"
#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

/// Not in the rules that a deployment starts with.
constexpr auto kNewKey = "k9";
/// The last one in rank knows two watchers when it gets its first rules.
constexpr std::size_t kEntries = 5;
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

/// Whether the log of an entry shows that it got the watcher role.
bool TookOver(const Deployment& deployment, const std::string& name) {
  return deployment.Log(name).find("watches=\"yes\"") != std::string::npos;
}

TEST_CASE("an entry that becomes a watcher later never watches the store",
          "[platform]") {
  Deployment deployment;
  const auto names = NamesInRank(kEntries);
  const auto store = deployment.store_.address();
  std::vector<Node> others;
  others.push_back(deployment.StartEntry(names[0], store));
  REQUIRE(Eventually([&] { return others[0].Ready(); }));
  NodeOptions options{&others[0], 2};
  options.first_read_wait_ms_ = kFirstReadWaitMs;
  for (std::size_t i = 1; i + 1 < kEntries; ++i, ++options.host_number_) {
    options.seed_ = &others[0];
    others.push_back(deployment.StartEntry(names[i], store, options));
    REQUIRE(Eventually([&] { return others.back().Ready(); }));
  }
  options.seed_ = &others[0];
  const auto last = deployment.StartEntry(names.back(), store, options);
  REQUIRE(Eventually([&] { return last.Ready(); }));
  REQUIRE_FALSE(TookOver(deployment, names.back()));
  for (auto& other : others) {
    other.child_.Kill();
  }
  REQUIRE(Eventually([&] { return TookOver(deployment, names.back()); }));

  deployment.PutRules(9, {kNewKey});
  CHECK(Eventually([&] {
    return Status(SendRequest(last, RequestText("/safe/x", kNewKey))) == "200";
  }));
}

}  // namespace
}  // namespace chalkwell::platform_tests
