// Endpoint rows that another writer put into the store: a malformed row is
// skipped and reported, and affects neither the other rows nor the revision.
#include <catch2/catch.hpp>
#include <functional>
#include <limits>
#include <nlohmann/json.hpp>
#include <random>
#include <string>
#include <vector>

#include "deployment.hpp"
#include "platform/adapter.hpp"
#include "platform/published_json.hpp"

namespace chalkwell::platform_tests {
namespace {

using daemon::direct::ReadOutcome;
using daemon::direct::Section;
using daemon::direct::StoreSnapshot;
using nlohmann::json;
using namespace std::chrono_literals;

json GoodRow() {
  return {{"service", "plain"},
          {"addr", "1.2.3.4:5"},
          {"zone", "z1"},
          {"version", "v1"},
          {"slots", 4},
          {"state", "ready"},
          {"coldLeftMs", 0},
          {"born", 1764720000000},
          {"models", {{{"name", "m"}, {"version", 3}}}},
          {"seq", 7}};
}

json NestedList(int depth) {
  auto list = json::array();
  for (int i = 1; i < depth; ++i) {
    list = json::array({std::move(list)});
  }
  return list;
}

std::string Base64(const std::string& bytes) {
  static const std::string kDigits =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t i = 0; i < bytes.size(); i += 3) {
    std::uint32_t group = 0;
    for (std::size_t k = 0; k < 3; ++k) {
      const auto byte =
          i + k < bytes.size() ? static_cast<unsigned char>(bytes[i + k]) : 0U;
      group = group << 8 | byte;
    }
    for (std::size_t k = 0; k < 4; ++k) {
      const bool padding = i + k > bytes.size();
      text += padding ? '=' : kDigits[group >> (18 - 6 * k) & 63];
    }
  }
  return text;
}

json Item(const std::string& key, const std::string& value) {
  return {{"tlsKey", key}, {"value", value}, {"rev", 5}, {"createdAt", 5}};
}

StoreSnapshot Decode(const json& items) {
  daemon::Loop loop;
  daemon::HttpClient http(loop, 1s);
  const auto store = platform::MakeStoreClient(http, {"127.0.0.1", 1});
  const json page{{"items", items}, {"morePages", false}, {"asOf", 42}};
  return store.decode_(Section::kEndpoints, 0, {page.dump()});
}

TEST_CASE("a malformed row is skipped and the other rows are decoded",
          "[platform]") {
  struct Row {
    std::string name_;
    std::function<void(json&)> corrupt_;
  };
  const auto row = GENERATE(
      Row{"no service", [](json& value) { value.erase("service"); }},
      Row{"a service that is a number",
          [](json& value) { value["service"] = 3; }},
      Row{"no address", [](json& value) { value.erase("addr"); }},
      Row{"an address without a port",
          [](json& value) { value["addr"] = "a"; }},
      Row{"no zone", [](json& value) { value.erase("zone"); }},
      Row{"no slots", [](json& value) { value.erase("slots"); }},
      Row{"slots below zero", [](json& value) { value["slots"] = -4; }},
      Row{"slots that are text", [](json& value) { value["slots"] = "4"; }},
      Row{"no state", [](json& value) { value.erase("state"); }},
      Row{"an unknown state", [](json& value) { value["state"] = "warming"; }},
      Row{"a state that is a list",
          [](json& value) { value["state"] = {"ready"}; }},
      Row{"a start time that is text",
          [](json& value) { value["born"] = "now"; }},
      Row{"a start time with a fraction",
          [](json& value) { value["born"] = 1.5; }},
      Row{"a slow start that is text",
          [](json& value) { value["coldLeftMs"] = "soon"; }},
      Row{"a slow start below zero",
          [](json& value) { value["coldLeftMs"] = -1; }},
      Row{"models that are text", [](json& value) { value["models"] = "m"; }},
      Row{"a model without a version",
          [](json& value) { value["models"][0].erase("version"); }},
      Row{"a version below zero",
          [](json& value) { value["models"][0]["version"] = -1; }},
      Row{"port 0", [](json& value) { value["addr"] = "1.2.3.4:0"; }},
      Row{"a port out of range",
          [](json& value) { value["addr"] = "1.2.3.4:99999"; }},
      Row{"slots beyond 32 bits",
          [](json& value) { value["slots"] = 4294967297; }},
      Row{"a start time beyond the clock",
          [](json& value) {
            value["born"] = std::numeric_limits<std::int64_t>::max();
          }},
      Row{"a version near 2^64",
          [](json& value) {
            value["models"][0]["version"] =
                std::numeric_limits<std::uint64_t>::max();
          }},
      Row{"models nested deeply",
          [](json& value) { value["models"] = NestedList(100); }},
      Row{"not an object", [](json& value) { value = 7; }});
  CAPTURE(row.name_);
  auto corrupt = GoodRow();
  row.corrupt_(corrupt);
  const auto published =
      Decode({Item("servers/i-1", Base64(GoodRow().dump())),
              Item("servers/i-2", Base64(corrupt.dump())),
              Item("servers/i-3", Base64(GoodRow().dump()))});
  CHECK(published.outcome_ == ReadOutcome::kRead);
  CHECK(published.revision_.number_ == 42);
  CHECK(published.endpoints_.size() == 2);
  REQUIRE(published.decode_errors_.size() == 1);
  CHECK(published.decode_errors_[0].starts_with("servers/i-2: "));
}

TEST_CASE("a row that cannot be parsed is skipped and reported", "[platform]") {
  const auto value =
      GENERATE(std::string("%%%"), Base64("{\"service\":"), Base64("\xff\xfe"),
               Base64(""), Base64("null"), std::string("e30"),
               Base64(R"({"slots":1e999})"), Base64(std::string(300'000, '[')),
               Base64(R"({"models":)" + std::string(300'000, '[') +
                      std::string(300'000, ']') + "}"));
  const auto published =
      Decode({Item("servers/i-1", value),
              Item("servers/i-2", Base64(GoodRow().dump()))});
  CHECK(published.outcome_ == ReadOutcome::kRead);
  CHECK(published.endpoints_.size() == 1);
  CHECK(published.decode_errors_.size() == 1);
}

TEST_CASE("an item with odd fields of its own hides no other item",
          "[platform]") {
  struct Row {
    std::string name_;
    std::function<void(json&)> corrupt_;
  };
  const auto row = GENERATE(
      Row{"no key", [](json& item) { item.erase("tlsKey"); }},
      Row{"a key that is a number", [](json& item) { item["tlsKey"] = 3; }},
      Row{"no value", [](json& item) { item.erase("value"); }},
      Row{"a value that is a list",
          [](json& item) { item["value"] = json::array(); }},
      Row{"a creation that is text",
          [](json& item) { item["createdAt"] = "5"; }},
      Row{"a creation below zero", [](json& item) { item["createdAt"] = -5; }},
      Row{"a removal that is text", [](json& item) { item["removed"] = "no"; }},
      Row{"an evacuation with a revision that is text",
          [](json& item) {
            item["tlsKey"] = "op/evacuate/z";
            item["rev"] = "5";
          }},
      Row{"a list", [](json& item) { item = json::array(); }},
      Row{"nothing", [](json& item) { item = nullptr; }});
  CAPTURE(row.name_);
  auto odd = Item("servers/i-2", Base64(GoodRow().dump()));
  row.corrupt_(odd);
  const auto published =
      Decode({Item("servers/i-1", Base64(GoodRow().dump())), odd,
              Item("servers/i-3", Base64(GoodRow().dump()))});
  CHECK(published.outcome_ == ReadOutcome::kRead);
  CHECK(published.revision_.number_ == 42);
  CHECK(published.endpoints_.size() == 2);
  CHECK(published.decode_errors_.size() == 1);
}

TEST_CASE("a valid row under a foreign name is skipped", "[platform]") {
  const auto name = GENERATE(as<std::string>(), "", "i-2&x", "i-2+x", "i-2#x",
                             "i-2%41", "i-2 x", "x/i-1", "i-2\r\nx",
                             "i-\xc3\xbc", "i-2,x", "i-2;x", "i-2=x", "i-2\"x");
  CAPTURE(name);
  const auto published =
      Decode({Item("servers/i-1", Base64(GoodRow().dump())),
              Item("servers/" + name, Base64(GoodRow().dump()))});
  CHECK(published.endpoints_.size() == 1);
  CHECK(published.decode_errors_.size() == 1);
}

TEST_CASE("a target version under a foreign name is skipped", "[platform]") {
  struct Row {
    std::string key_;
    json value_;
    std::size_t versions_;
  };
  const auto row =
      GENERATE(Row{"op/version/m", {{"model", "m"}, {"version", 2}}, 1},
               Row{"op/version/m&x", {{"model", "m"}, {"version", 2}}, 0},
               Row{"op/version/", {{"model", "m"}, {"version", 2}}, 0},
               Row{"op/version/m",
                   {{"model", "m"},
                    {"version", std::numeric_limits<std::uint64_t>::max()}},
                   0},
               Row{"op/version/m", {{"model", "m"}, {"version", 2.5}}, 0});
  const auto published =
      Decode(json::array({Item(row.key_, Base64(row.value_.dump()))}));
  CAPTURE(row.key_, row.value_.dump(), published.decode_errors_);
  CHECK(published.weights_.size() == row.versions_);
  CHECK(published.decode_errors_.size() == 1 - row.versions_);
}

/// Replaces or removes one value of a document, at any depth.
void Mutate(json& value, std::mt19937& random) {
  const auto pick = [&](std::size_t count) {
    return std::uniform_int_distribution<std::size_t>(0, count - 1)(random);
  };
  if (value.is_structured() && !value.empty() && pick(4) > 0) {
    auto child = value.begin();
    std::advance(child, pick(value.size()));
    Mutate(*child, random);
    return;
  }
  static const std::vector<json> kValues{nullptr,
                                         true,
                                         -1,
                                         0,
                                         1e300,
                                         "",
                                         "ready",
                                         "draining",
                                         "x:1",
                                         json::array(),
                                         json::object(),
                                         std::uint64_t{1} << 63,
                                         {{"name", "m"}}};
  if (value.is_object() && !value.empty() && pick(2) == 0) {
    auto child = value.begin();
    std::advance(child, pick(value.size()));
    value.erase(child);
    return;
  }
  value = kValues[pick(kValues.size())];
}

TEST_CASE("no content of a row prevents decoding of the others", "[platform]") {
  for (std::uint32_t seed = 0; seed < 3000; ++seed) {
    CAPTURE(seed);
    std::mt19937 random(seed);
    auto corrupt = GoodRow();
    for (std::uint32_t change = 0; change <= seed % 4; ++change) {
      Mutate(corrupt, random);
    }
    auto text = corrupt.dump();
    if (seed % 5 == 0 && !text.empty()) {
      text[random() % text.size()] = static_cast<char>(random());
    }
    const auto published =
        Decode({Item("servers/i-1", Base64(GoodRow().dump())),
                Item("servers/i-2", Base64(text)),
                Item("servers/i-3", Base64(GoodRow().dump()))});
    REQUIRE(published.outcome_ == ReadOutcome::kRead);
    REQUIRE(published.revision_.number_ == 42);
    REQUIRE(published.endpoints_.size() + published.decode_errors_.size() == 3);
    REQUIRE(published.endpoints_.size() >= 2);
  }
}

TEST_CASE("a row of an unknown service hides no endpoint at its address",
          "[platform]") {
  // The row has the address of a valid endpoint and a later revision.
  Deployment deployment;
  const auto entry = deployment.StartEntry("e1", deployment.store_.address());
  REQUIRE(Eventually([&] { return entry.Ready(); }));
  deployment.store_.Remove("servers/i-second");
  deployment.store_.Put("servers/i-foreign",
                        deployment.first_.Row("nobody-knows", "z1"));
  REQUIRE(Eventually([&] {
    return deployment.Log("e1").find("no such service") != std::string::npos;
  }));
  for (int i = 0; i < 5; ++i) {
    CHECK(Status(SendRequest(entry, RequestText("/safe/x"))) == "200");
  }
  const auto log = deployment.Log("e1");
  CHECK(log.find("no such service") == log.rfind("no such service"));
}

}  // namespace
}  // namespace chalkwell::platform_tests
