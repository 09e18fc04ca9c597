// Who answers at an address, by the list and by what endpoints say.
#include "chalkwell/routing/incarnation_table.hpp"

#include <catch2/catch.hpp>
#include <functional>

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

core::StartTime At(std::chrono::milliseconds time) {
  return core::StartTime(time);
}

// Lives that do not tell when they started.
const EndpointIncarnation kOld{core::InstanceId("old"), std::nullopt};
const EndpointIncarnation kNew{core::InstanceId("new"), std::nullopt};
// Lives of one id.
const EndpointIncarnation kFirst{core::InstanceId("id"), At(1000ms)};
const EndpointIncarnation kAgain{core::InstanceId("id"), At(9000ms)};
/// Its clock was stepped back before it started.
const EndpointIncarnation kStepped{core::InstanceId("id"), At(500ms)};
const EndpointIncarnation kUntold{core::InstanceId("id"), std::nullopt};
const std::string kAddress = "10.0.0.1:80";

TEST_CASE("one incarnation answers at an address", "[routing]") {
  struct Case {
    std::string name_;
    std::function<void(IncarnationTable&)> act_;
    bool old_lives_;
    bool new_lives_;
  };
  const auto row = GENERATE(
      Case{"nothing is known", [](auto&) {}, true, true},
      Case{"one row", [](auto& table) { table.OnRow(kAddress, kOld, 5); }, true,
           false},
      Case{"a newer row",
           [](auto& table) {
             table.OnRow(kAddress, kOld, 5);
             table.OnRow(kAddress, kNew, 9);
           },
           false, true},
      Case{"the rows come in another order",
           [](auto& table) {
             table.OnRow(kAddress, kNew, 9);
             table.OnRow(kAddress, kOld, 5);
           },
           false, true},
      Case{"it is told before its row is seen",
           [](auto& table) {
             table.OnRow(kAddress, kOld, 5);
             table.OnTold(kAddress, kNew);
             table.OnRow(kAddress, kOld, 5);
           },
           false, true},
      Case{"a dead one's row is written late",
           [](auto& table) {
             table.OnRow(kAddress, kOld, 5);
             table.OnTold(kAddress, kNew);
             table.OnRow(kAddress, kNew, 9);
             table.OnRow(kAddress, kOld, 12);
           },
           false, true},
      Case{"it is told first, before any row",
           [](auto& table) {
             table.OnTold(kAddress, kNew);
             table.OnRow(kAddress, kOld, 5);
             table.OnRow(kAddress, kNew, 9);
           },
           false, true},
      Case{"a message overtook a newer one and is corrected",
           [](auto& table) {
             table.OnRow(kAddress, kOld, 5);
             table.OnTold(kAddress, kNew);
             table.OnTold(kAddress, kOld);
             table.OnTold(kAddress, kNew);
           },
           false, true});
  CAPTURE(row.name_);
  IncarnationTable table;
  row.act_(table);
  CHECK(table.Lives(kAddress, kOld) == row.old_lives_);
  CHECK(table.Lives(kAddress, kNew) == row.new_lives_);
  CHECK(table.Lives("10.0.0.2:80", kOld));
}

TEST_CASE("an endpoint that starts again under its id is another life",
          "[routing]") {
  struct Case {
    std::string name_;
    std::function<void(IncarnationTable&)> act_;
    EndpointIncarnation living_;
    EndpointIncarnation dead_;
  };
  const auto row =
      GENERATE(Case{"its row shows it",
                    [](auto& table) {
                      table.OnRow(kAddress, kFirst, 5);
                      table.OnRow(kAddress, kAgain, 5);
                    },
                    kAgain, kFirst},
               Case{"its agent tells it",
                    [](auto& table) {
                      table.OnRow(kAddress, kFirst, 5);
                      table.OnTold(kAddress, kAgain);
                    },
                    kAgain, kFirst},
               Case{"its agent tells it, and the old row is read once more",
                    [](auto& table) {
                      table.OnRow(kAddress, kFirst, 5);
                      table.OnTold(kAddress, kAgain);
                      table.OnRow(kAddress, kFirst, 5);
                    },
                    kAgain, kFirst},
               Case{"with an earlier time",
                    [](auto& table) {
                      table.OnRow(kAddress, kFirst, 5);
                      table.OnRow(kAddress, kStepped, 5);
                    },
                    kStepped, kFirst},
               Case{"after another one had its address",
                    [](auto& table) {
                      table.OnRow(kAddress, kFirst, 5);
                      table.OnRow(kAddress, kNew, 9);
                      table.OnRow(kAddress, kAgain, 5);
                    },
                    kAgain, kNew},
               Case{"after another one had its address, told without a time",
                    [](auto& table) {
                      table.OnRow(kAddress, kFirst, 5);
                      table.OnTold(kAddress, kNew);
                      table.OnTold(kAddress, kUntold);
                    },
                    kAgain, kNew},
               Case{"a time that is not told tells nothing",
                    [](auto& table) {
                      table.OnRow(kAddress, kFirst, 5);
                      table.OnTold(kAddress, kUntold);
                    },
                    kFirst, kAgain});
  CAPTURE(row.name_);
  IncarnationTable table;
  row.act_(table);
  CHECK(table.Lives(kAddress, row.living_));
  CHECK_FALSE(table.Lives(kAddress, row.dead_));
}

}  // namespace
}  // namespace chalkwell::routing
