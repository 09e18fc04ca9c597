// Index of traffic rules: routes by longest prefix, keys, traffic split, and
// the order of versions.
#include "chalkwell/config/traffic_rules.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace chalkwell::config {
namespace {

TrafficRoute RouteTo(const std::string& host, const std::string& prefix,
                     const std::string& service) {
  TrafficRoute route;
  route.name_ = host + prefix;
  route.host_ = host;
  route.path_prefix_ = prefix;
  route.services_ = {{service, 1}};
  return route;
}

TrafficRules Rules(std::uint64_t version) {
  TrafficRules rules;
  rules.version_ = version;
  rules.routes_ = {RouteTo("a", "/", "root"), RouteTo("a", "/x/", "short"),
                   RouteTo("a", "/x/y/", "long"), RouteTo("b", "/x/", "other")};
  rules.accounts_.emplace();
  rules.accounts_->push_back(
      {core::ClientAccountId("one"), {"k1", "k2"}, std::nullopt});
  return rules;
}

TEST_CASE("a request is routed by the longest path prefix of its host",
          "[config]") {
  struct Row {
    std::string host_;
    std::string path_;
    std::string service_;
  };
  const auto row =
      GENERATE(Row{"a", "/x/y/z", "long"}, Row{"a", "/x/yz", "short"},
               Row{"a", "/x/?q=/y/", "short"}, Row{"a", "/q", "root"},
               Row{"a:8080", "/x/y/", "long"}, Row{"b", "/x/y/z", "other"},
               Row{"b", "/y/", ""}, Row{"c", "/x/", ""}, Row{"b", "/x", ""});
  CAPTURE(row.host_, row.path_);
  TrafficTable table;
  REQUIRE(table.Accept(Rules(7)));
  const auto* route = table.FindRoute(row.host_, row.path_);
  const auto found =
      route == nullptr ? std::string() : route->services_.front().service_;
  CHECK(found == row.service_);
}

TEST_CASE("older rules are refused and lookups use the newest rules",
          "[config]") {
  TrafficTable table;
  CHECK(table.empty());
  REQUIRE(table.Accept(Rules(7)));
  CHECK_FALSE(table.Accept(Rules(7)));
  CHECK_FALSE(table.Accept(Rules(6)));
  auto next = Rules(30);
  next.routes_.pop_back();
  next.accounts_->front().keys_ = {"k2"};
  const bool accepted = table.Accept(std::move(next));
  REQUIRE(accepted);
  CHECK(table.rules().version_ == 30);
  CHECK(table.FindRoute("b", "/x/") == nullptr);
  CHECK(table.FindAccount("k1") == nullptr);
  REQUIRE(table.FindAccount("k2") != nullptr);
  CHECK(table.FindAccount("k2")->id_.value() == "one");
}

TEST_CASE("requests are split by weight, and the choice is stable",
          "[config]") {
  auto route = RouteTo("a", "/", "x");
  route.services_ = {{"x", 90}, {"y", 10}};
  int to_y = 0;
  constexpr int kRequests = 4000;
  for (int i = 0; i < kRequests; ++i) {
    const auto id = std::to_string(i);
    const auto& service = TrafficTable::SelectService(route, id);
    CHECK(&service == &TrafficTable::SelectService(route, id));
    to_y += service == "y" ? 1 : 0;
  }
  CHECK(to_y > kRequests / 10 - kRequests / 50);
  CHECK(to_y < kRequests / 10 + kRequests / 50);
}

TEST_CASE("the highest version is active in any order of arrival", "[config]") {
  CHECK(rc::check([](const std::vector<std::uint8_t>& versions) {
    TrafficTable table;
    std::uint64_t highest = 0;
    for (const auto version : versions) {
      const bool newer = version > highest;
      RC_ASSERT(table.Accept(Rules(version)) == newer);
      highest = std::max<std::uint64_t>(highest, version);
      RC_ASSERT(table.rules().version_ == highest);
    }
  }));
}

}  // namespace
}  // namespace chalkwell::config
