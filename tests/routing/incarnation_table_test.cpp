// Who answers at an address, by the list and by what endpoints say.
#include "chalkwell/routing/incarnation_table.hpp"

#include <catch2/catch.hpp>
#include <functional>

namespace chalkwell::routing {
namespace {

const core::InstanceId kOld("old");
const core::InstanceId kNew("new");
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

}  // namespace
}  // namespace chalkwell::routing
