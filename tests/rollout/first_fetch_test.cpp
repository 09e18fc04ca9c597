// Which version an engine without weights fetches first.
#include "chalkwell/rollout/first_fetch.hpp"

#include <catch2/catch.hpp>
#include <string>

namespace chalkwell::rollout {
namespace {

using namespace std::chrono_literals;

TEST_CASE(
    "the older version is fetched first if it serves longer than it delays the "
    "newest",
    "[rollout]") {
  struct Row {
    std::string name_;
    FirstFetchForecast forecast_;
    bool older_first_;
  };
  const auto row = GENERATE(values<Row>({
      {"origin unreachable", {std::nullopt, 2600ms, 2600ms, 11s}, true},
      {"origin unreachable, older version expires soon",
       {std::nullopt, 2600ms, 2600ms, 4s},
       false},
      {"origin unreachable, older version has expired",
       {std::nullopt, 2600ms, 2600ms, -1s},
       false},
      {"newest version available", {0ms, 2600ms, 2600ms, 11s}, false},
      {"newest version available before the older one is fetched",
       {3s, 2600ms, 2600ms, 11s},
       false},
      {"newest version available much later", {9s, 2600ms, 2600ms, 11s}, true},
      {"newest version available after the older one expires",
       {9s, 2600ms, 2600ms, 4s},
       false},
      {"local link slower than the origin", {4s, 20s, 20s, 60s}, false},
  }));
  INFO(row.name_);
  CHECK(FetchOlderFirst(row.forecast_) == row.older_first_);
}

}  // namespace
}  // namespace chalkwell::rollout
