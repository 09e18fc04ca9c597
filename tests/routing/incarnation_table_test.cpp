// Tests of the current incarnation at an address, as derived from the list and
// from announcements.
#include "chalkwell/routing/incarnation_table.hpp"

#include <catch2/catch.hpp>
#include <functional>

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

core::StartTime At(std::chrono::milliseconds time) {
  return core::StartTime(time);
}

core::StoreRevision Created(std::uint64_t revision, std::uint64_t era = 1) {
  return core::StoreRevision(era, revision);
}

// Incarnations of two ids, with unknown start times.
const EndpointIncarnation kOld{core::InstanceId("old"), std::nullopt};
const EndpointIncarnation kNew{core::InstanceId("new"), std::nullopt};
// Incarnations of one id.
const EndpointIncarnation kFirst{core::InstanceId("id"), At(1000ms)};
const EndpointIncarnation kSecond{core::InstanceId("id"), At(9000ms)};
/// Started after its clock was stepped back.
const EndpointIncarnation kSteppedBack{core::InstanceId("id"), At(500ms)};
const EndpointIncarnation kUnknownStart{core::InstanceId("id"), std::nullopt};
const std::string kAddress = "10.0.0.1:80";

TEST_CASE("one incarnation is current at an address", "[routing]") {
  struct Case {
    std::string name_;
    std::function<void(IncarnationTable&)> act_;
    bool old_is_current_;
    bool new_is_current_;
  };
  const auto row = GENERATE(
      Case{"nothing is known", [](auto&) {}, true, true},
      Case{"one row",
           [](auto& table) { table.OnRow(kAddress, kOld, Created(5)); }, true,
           false},
      Case{"newer row of another id",
           [](auto& table) {
             table.OnRow(kAddress, kOld, Created(5));
             table.OnRow(kAddress, kNew, Created(9));
           },
           false, true},
      Case{"rows in reverse order",
           [](auto& table) {
             table.OnRow(kAddress, kNew, Created(9));
             table.OnRow(kAddress, kOld, Created(5));
           },
           false, true},
      Case{"newer row at a revision that the store passed again",
           [](auto& table) {
             table.OnRow(kAddress, kOld, Created(9));
             table.OnRow(kAddress, kNew, Created(5, 2));
           },
           false, true},
      Case{"row of the older era read late",
           [](auto& table) {
             table.OnRow(kAddress, kNew, Created(5, 2));
             table.OnRow(kAddress, kOld, Created(9));
           },
           false, true},
      Case{"announced before its row is seen",
           [](auto& table) {
             table.OnRow(kAddress, kOld, Created(5));
             table.OnAnnounced(kAddress, kNew);
             table.OnRow(kAddress, kOld, Created(5));
           },
           false, true},
      Case{"row of a terminated one written late",
           [](auto& table) {
             table.OnRow(kAddress, kOld, Created(5));
             table.OnAnnounced(kAddress, kNew);
             table.OnRow(kAddress, kNew, Created(9));
             table.OnRow(kAddress, kOld, Created(12));
           },
           false, true},
      Case{"announced before any row",
           [](auto& table) {
             table.OnAnnounced(kAddress, kNew);
             table.OnRow(kAddress, kOld, Created(5));
             table.OnRow(kAddress, kNew, Created(9));
           },
           false, true},
      Case{"late announcement, then corrected",
           [](auto& table) {
             table.OnRow(kAddress, kOld, Created(5));
             table.OnAnnounced(kAddress, kNew);
             table.OnAnnounced(kAddress, kOld);
             table.OnAnnounced(kAddress, kNew);
           },
           false, true});
  CAPTURE(row.name_);
  IncarnationTable table;
  row.act_(table);
  CHECK(table.IsCurrent(kAddress, kOld) == row.old_is_current_);
  CHECK(table.IsCurrent(kAddress, kNew) == row.new_is_current_);
  CHECK(table.IsCurrent("10.0.0.2:80", kOld));
}

TEST_CASE("an endpoint that restarts under its id is a new incarnation",
          "[routing]") {
  struct Case {
    std::string name_;
    std::function<void(IncarnationTable&)> act_;
    EndpointIncarnation current_;
    EndpointIncarnation previous_;
  };
  const auto row = GENERATE(
      Case{"by its row",
           [](auto& table) {
             table.OnRow(kAddress, kFirst, Created(5));
             table.OnRow(kAddress, kSecond, Created(5));
           },
           kSecond, kFirst},
      Case{"announced by its agent",
           [](auto& table) {
             table.OnRow(kAddress, kFirst, Created(5));
             table.OnAnnounced(kAddress, kSecond);
           },
           kSecond, kFirst},
      Case{"announced by its agent, then the old row is read again",
           [](auto& table) {
             table.OnRow(kAddress, kFirst, Created(5));
             table.OnAnnounced(kAddress, kSecond);
             table.OnRow(kAddress, kFirst, Created(5));
           },
           kSecond, kFirst},
      Case{"with an earlier start time",
           [](auto& table) {
             table.OnRow(kAddress, kFirst, Created(5));
             table.OnRow(kAddress, kSteppedBack, Created(5));
           },
           kSteppedBack, kFirst},
      Case{"after another id had its address",
           [](auto& table) {
             table.OnRow(kAddress, kFirst, Created(5));
             table.OnRow(kAddress, kNew, Created(9));
             table.OnRow(kAddress, kSecond, Created(5));
           },
           kSecond, kNew},
      Case{"after another id had its address, announced without a start time",
           [](auto& table) {
             table.OnRow(kAddress, kFirst, Created(5));
             table.OnAnnounced(kAddress, kNew);
             table.OnAnnounced(kAddress, kUnknownStart);
           },
           kSecond, kNew},
      Case{"an unknown start time is not a restart",
           [](auto& table) {
             table.OnRow(kAddress, kFirst, Created(5));
             table.OnAnnounced(kAddress, kUnknownStart);
           },
           kFirst, kSecond});
  CAPTURE(row.name_);
  IncarnationTable table;
  row.act_(table);
  CHECK(table.IsCurrent(kAddress, row.current_));
  CHECK_FALSE(table.IsCurrent(kAddress, row.previous_));
}

}  // namespace
}  // namespace chalkwell::routing
