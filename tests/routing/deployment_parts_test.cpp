// Entries that divide a limit of the whole deployment by what they know.
#include "chalkwell/routing/deployment_parts.hpp"

#include <catch2/catch.hpp>
#include <functional>
#include <string>
#include <vector>

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kDomains = 3;
/// Connections that an endpoint accepts from all entries.
constexpr std::size_t kLimit = 6000;
const core::TimePoint kStart(1h);

struct Row {
  std::string name_;
  /// Entries of the own failure domain that an entry knows from 5 s on.
  std::function<std::size_t(std::size_t entry, std::size_t local)> known_;
  /// Failure domains with entries that it knows then.
  std::size_t known_domains_ = kDomains;
};

TEST_CASE("connections of all entries exceed the limit of an endpoint",
          "[routing]") {
  const std::size_t entries = GENERATE(3, 9, 39, 330, 660);
  const auto row = GENERATE(
      Row{"equal views", [](auto, auto local) { return local; }},
      Row{"domains cut off", [](auto, auto local) { return local; }, 1},
      Row{"every entry cut off", [](auto, auto) { return 1; }, 1},
      Row{"every second entry cut off", [](auto entry, auto local) {
            return entry % 2 == 0 ? 1 : (local + 1) / 2;
          }});
  CAPTURE(row.name_, entries);
  const auto local = entries / kDomains;
  std::vector<DeploymentParts> views(entries);
  for (auto time = 0s; time < 60s; time += 1s) {
    std::size_t connections = 0;
    for (std::size_t i = 0; i < entries; ++i) {
      const auto now = kStart + time;
      const bool before = time < 5s;
      views[i].SetDomains(before ? kDomains : row.known_domains_, now);
      views[i].SetLocalEntries(before ? local : row.known_(i, local), now);
      connections += kLimit / views[i].Count(now);
    }
    CHECK(connections <= kLimit);
  }
}

TEST_CASE("an entry that knows no other takes more than its domain's part",
          "[routing]") {
  DeploymentParts parts;
  CHECK(parts.Count(kStart) == 1);
  parts.SetDomains(kDomains, kStart);
  CHECK_FALSE(parts.known(kStart));
  CHECK(parts.Count(kStart) == kDomains);
  parts.SetLocalEntries(4, kStart + 1s);
  CHECK(parts.known(kStart + 1s));
  CHECK(parts.Count(kStart + 1s) == 4 * kDomains);
}

}  // namespace
}  // namespace chalkwell::routing
