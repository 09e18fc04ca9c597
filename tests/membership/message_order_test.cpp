// Tests of the detection of reordered messages.
#include "chalkwell/membership/message_order.hpp"

#include <catch2/catch.hpp>
#include <vector>

namespace chalkwell::membership {
namespace {

using namespace std::chrono_literals;

TEST_CASE("a message received after a later one is late", "[membership]") {
  struct Row {
    std::string name_;
    std::vector<std::chrono::milliseconds> before_;
    std::chrono::milliseconds sent_;
    bool late_;
  };
  const auto row = GENERATE(
      Row{"the first message", {}, 700s, false},
      Row{"in order", {700s, 701s}, 702s, false},
      Row{"sent at the same time", {700s}, 700s, false},
      Row{"out of order", {700s, 701s}, 700500ms, true},
      Row{"after one that was out of order", {700s, 699s}, 699500ms, true},
      Row{"from a machine that rebooted", {700s}, 3s, false},
      Row{"the next after the reboot", {700s, 3s}, 4s, false},
      Row{"sent before the reboot", {700s, 3s}, 700s, false});
  CAPTURE(row.name_);
  MessageOrder order;
  for (const auto sent : row.before_) {
    (void)order.RecordAndCheckReordered(sent);
  }
  CHECK(order.RecordAndCheckReordered(row.sent_) == row.late_);
}

}  // namespace
}  // namespace chalkwell::membership
