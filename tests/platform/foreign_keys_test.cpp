// Entries of the store whose key was chosen by another writer: they name no
// endpoint, and the pages that follow them are read as usual.
#include <catch2/catch.hpp>
#include <chrono>
#include <string>
#include <thread>

#include "deployment.hpp"

namespace chalkwell::platform_tests {
namespace {

using namespace std::chrono_literals;

constexpr int kRequests = 48;
/// In this time an entry reads a list of five pages at most four times.
constexpr auto kObservedTime = 300ms;
constexpr std::uint64_t kMaxCalls = 40;

/// Names that come between those of two endpoints, so that their entry is the
/// last one of a page in the middle of the list.
std::string ForeignName() {
  return GENERATE(as<std::string>(), "i-f&x", "i-f+x", "i-f#x", "i-f%zz",
                  "i-f%41", "i-f x", "i-f?x=y", "i-f=x", "i-f/x", "i-f\tx",
                  "i-f\r\nx", "i-g\xc3\xbc", "&afterRev=", "#", " ", "%");
}

int CountServed(const Node& entry) {
  int served = 0;
  for (int i = 0; i < kRequests; ++i) {
    served +=
        Status(SendRequest(entry, RequestText("/safe/x"))) == "200" ? 1 : 0;
  }
  return served;
}

TEST_CASE("an entry starts while a foreign key ends a page of the list",
          "[platform][foreign]") {
  const auto name = ForeignName();
  const bool valid_row = GENERATE(true, false);
  CAPTURE(name, valid_row);
  Deployment deployment;
  auto& store = deployment.store_;
  store.SetPageSize(1);
  store.PutBytes("servers/" + name,
                 valid_row ? deployment.first_.Row("plain", "z1").dump() : "?");
  const auto entry = deployment.StartEntry("e1", store.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  CHECK(CountServed(entry) == kRequests);
  CHECK(deployment.first_.runs() > 0);
  CHECK(deployment.second_.runs() > 0);
  const auto calls = store.calls();
  std::this_thread::sleep_for(kObservedTime);
  CHECK(store.calls() - calls < kMaxCalls);
}

TEST_CASE("an entry keeps serving when a foreign key appears in the list",
          "[platform][foreign]") {
  const auto name = ForeignName();
  CAPTURE(name);
  Deployment deployment;
  auto& store = deployment.store_;
  store.SetPageSize(1);
  const auto entry = deployment.StartEntry("e1", store.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  store.Put("servers/" + name, deployment.first_.Row("plain", "z1"));
  store.Remove("servers/i-second");
  const auto calls = store.calls();
  std::this_thread::sleep_for(kObservedTime);
  CHECK(store.calls() - calls < kMaxCalls);
  const auto runs = deployment.second_.runs();
  CHECK(CountServed(entry) == kRequests);
  CHECK(deployment.second_.runs() == runs);
}

TEST_CASE("an entry reads the rules behind a foreign key of the operator",
          "[platform][foreign]") {
  const auto key = GENERATE(as<std::string>(), "op/a&b", "op/a b", "op/a%zz",
                            "op/config&x", "op/evacuate/a#b", "op/version/a+b");
  const bool valid = GENERATE(true, false);
  CAPTURE(key, valid);
  Deployment deployment;
  auto& store = deployment.store_;
  store.SetPageSize(1);
  store.PutBytes(key, valid ? R"({"model":"m","version":7})" : "\xff{");
  store.Put("op/version/m", {{"model", "m"}, {"version", 1}});
  const auto entry = deployment.StartEntry("e1", store.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  CHECK(CountServed(entry) == kRequests);
  const auto calls = store.calls();
  std::this_thread::sleep_for(kObservedTime);
  CHECK(store.calls() - calls < kMaxCalls);
  CHECK(deployment.Log("e1").find(R"(version="7")") == std::string::npos);
}

}  // namespace
}  // namespace chalkwell::platform_tests
