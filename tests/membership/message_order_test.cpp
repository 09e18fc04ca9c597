// Which messages of one sender are late.
#include "chalkwell/membership/message_order.hpp"

#include <catch2/catch.hpp>
#include <vector>

namespace chalkwell::membership {
namespace {

using namespace std::chrono_literals;

TEST_CASE("a message that a later one overtook is late", "[membership]") {
  struct Row {
    std::string name_;
    std::vector<std::chrono::milliseconds> before_;
    std::chrono::milliseconds sent_;
    bool late_;
  };
  const auto row = GENERATE(
      Row{"the first one", {}, 700s, false},
      Row{"in order", {700s, 701s}, 702s, false},
      Row{"sent at the same time", {700s}, 700s, false},
      Row{"overtaken", {700s, 701s}, 700500ms, true},
      Row{"after one that was overtaken", {700s, 699s}, 699500ms, true},
      Row{"of a machine that started anew", {700s}, 3s, false},
      Row{"the next of it", {700s, 3s}, 4s, false},
      Row{"one from before it started anew", {700s, 3s}, 700s, false});
  CAPTURE(row.name_);
  MessageOrder order;
  for (const auto sent : row.before_) {
    (void)order.CheckLate(sent);
  }
  CHECK(order.CheckLate(row.sent_) == row.late_);
}

}  // namespace
}  // namespace chalkwell::membership
