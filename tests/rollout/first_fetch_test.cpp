// Which weights an empty engine fetches first.
#include "chalkwell/rollout/first_fetch.hpp"

#include <catch2/catch.hpp>
#include <string>

namespace chalkwell::rollout {
namespace {

using namespace std::chrono_literals;

TEST_CASE("older weights go first where they serve longer than they cost",
          "[rollout]") {
  struct Row {
    std::string what_;
    FirstFetchForecast forecast_;
    bool older_first_;
  };
  const auto row = GENERATE(values<Row>({
      {"the origin does not answer", {std::nullopt, 2600ms, 2600ms, 11s}, true},
      {"nor does it, but the time is up soon",
       {std::nullopt, 2600ms, 2600ms, 4s},
       false},
      {"nor does it, and the time is up",
       {std::nullopt, 2600ms, 2600ms, -1s},
       false},
      {"the newest version is out already", {0ms, 2600ms, 2600ms, 11s}, false},
      {"it is out before the older one is fetched",
       {3s, 2600ms, 2600ms, 11s},
       false},
      {"it is out long after", {9s, 2600ms, 2600ms, 11s}, true},
      {"it is out long after, but so is the time",
       {9s, 2600ms, 2600ms, 4s},
       false},
      {"the own link is the slower one", {4s, 20s, 20s, 60s}, false},
  }));
  INFO(row.what_);
  CHECK(FetchOlderFirst(row.forecast_) == row.older_first_);
}

}  // namespace
}  // namespace chalkwell::rollout
