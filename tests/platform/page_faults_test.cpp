// Pages of the store that cannot be read to their end: what was read is used,
// what was not read holds, and reads neither go on nor are repeated at once.
#include <algorithm>
#include <atomic>
#include <catch2/catch.hpp>
#include <chrono>
#include <functional>
#include <nlohmann/json.hpp>
#include <string>
#include <thread>

#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

using nlohmann::json;
using namespace std::chrono_literals;

constexpr int kRequests = 10;
/// Reads and polls come every 100 ms, with two or three pages each.
constexpr auto kObservedTime = 500ms;
constexpr std::uint64_t kMaxCalls = 40;
const std::string kEndpoints = "servers/";
/// The first endpoint's page is the second of three.
const std::string kFirstKey = "servers/i-first";

/// A response to the page behind that of the first endpoint.
struct PageFault {
  std::string name_;
  /// Fills in the response; it gets the key after which the page begins.
  std::function<StoreStandin::RangeResponse(const std::string&)> respond_;
};

StoreStandin::RangeResponse PageOf(const json& items, bool more) {
  return {200, json{{"items", items}, {"morePages", more}, {"asOf", 9}}.dump()};
}

json OddItem(const std::string& key) {
  return {{"tlsKey", key}, {"value", "?"}, {"rev", 1}};
}

PageFault GeneratePageFault() {
  static std::atomic<int> next_key{0};
  return GENERATE(
      PageFault{"always 400",
                [](const auto&) {
                  return StoreStandin::RangeResponse{400, ""};
                }},
      PageFault{"always 503",
                [](const auto&) {
                  return StoreStandin::RangeResponse{503, ""};
                }},
      PageFault{"not JSON",
                [](const auto&) {
                  return StoreStandin::RangeResponse{200, "{\"items\":"};
                }},
      PageFault{
          "nested deeply",
          [](const auto&) {
            return StoreStandin::RangeResponse{200, std::string(300'000, '[')};
          }},
      PageFault{"without items",
                [](const auto&) {
                  return StoreStandin::RangeResponse{200, "{\"asOf\":9}"};
                }},
      PageFault{"empty, and more follow",
                [](const auto&) { return PageOf(json::array(), true); }},
      PageFault{"items without a key, and more follow",
                [](const auto&) {
                  return PageOf({{{"value", "?"}}}, true);
                }},
      PageFault{"the page before, again",
                [](const auto&) {
                  return PageOf(json::array({OddItem(kFirstKey)}), true);
                }},
      PageFault{"two keys by turns",
                [](const std::string& after) {
                  const auto key =
                      after == "servers/a" ? "servers/b" : "servers/a";
                  return PageOf(json::array({OddItem(key)}), true);
                }},
      PageFault{"new keys without end", [](const auto&) {
                  auto items = json::array();
                  for (int i = 0; i < 50; ++i) {
                    auto item =
                        OddItem("servers/i-g" + std::to_string(next_key++));
                    item["value"] = std::string(40'000, 'x');
                    items.push_back(item);
                  }
                  return PageOf(items, true);
                }});
}

/// Replaces the pages behind that of the first endpoint.
void Apply(StoreStandin& store, const PageFault& fault) {
  store.SetPageSize(1);
  store.OverrideRanges([respond = fault.respond_](const std::string& prefix,
                                                  const std::string& after)
                           -> std::optional<StoreStandin::RangeResponse> {
    const bool replaced =
        prefix == kEndpoints && !after.empty() && after != "servers/i-engine";
    return replaced ? std::optional(respond(after)) : std::nullopt;
  });
}

int CountServed(const Node& entry) {
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    served +=
        Status(SendRequest(entry, RequestText("/safe/x"))) == "200" ? 1 : 0;
  }
  return served;
}

void CheckCalls(StoreStandin& store) {
  const auto calls = store.calls();
  std::this_thread::sleep_for(kObservedTime);
  CHECK(store.calls() - calls < kMaxCalls);
}

TEST_CASE("an entry uses the pages before one that it cannot read",
          "[platform][foreign]") {
  const auto fault = GeneratePageFault();
  CAPTURE(fault.name_);
  Deployment deployment;
  Apply(deployment.store_, fault);
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  CHECK(CountServed(entry) == kRequests);
  CHECK(deployment.second_.runs() == 0);
  CheckCalls(deployment.store_);
  deployment.store_.OverrideRanges(nullptr);
  CHECK(Eventually([&] {
    (void)CountServed(entry);
    return deployment.second_.runs() > 0;
  }));
}

TEST_CASE("endpoints behind a page that cannot be read are not taken as gone",
          "[platform][foreign]") {
  const auto fault = GeneratePageFault();
  CAPTURE(fault.name_);
  Deployment deployment;
  deployment.store_.SetPageSize(1);
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] {
    return entry.Ready() && CountServed(entry) > 0 &&
           deployment.second_.runs() > 0;
  }));
  Apply(deployment.store_, fault);
  // Longer than rows that a complete list lacks are kept.
  std::this_thread::sleep_for(3s);
  const auto runs = deployment.second_.runs();
  CHECK(CountServed(entry) == kRequests);
  CHECK(deployment.second_.runs() > runs);
  CheckCalls(deployment.store_);
}

}  // namespace
}  // namespace chalkwell::platform_tests
