// The check of rules must find a version that is not in force in time, and no
// other.
#include "soak/rules_check.hpp"

#include <catch2/catch.hpp>
#include <string>

namespace chalkwell::soak {
namespace {

using namespace std::chrono_literals;

TEST_CASE("the newest version that must be in force is probed", "[soak]") {
  struct Row {
    milliseconds at_;
    unsigned due_;
  };
  const auto row = GENERATE(Row{2999ms, 0}, Row{3000ms, 4}, Row{3239ms, 4},
                            Row{3240ms, 6}, Row{1h, 6});
  const TimePoint start(1h);
  RulesCheck check(3s);
  check.OnAcknowledged(4, start);
  check.OnAcknowledged(6, start + 240ms);
  CHECK(check.Due(start + row.at_) == row.due_);
}

TEST_CASE("a version that is not in force is found", "[soak]") {
  const bool rejected = GENERATE(false, true);
  const TimePoint start(1h);
  RulesCheck check(3s);
  check.OnAcknowledged(4, start);
  const auto found = check.OnProbe(4, rejected, start + 3100ms);
  CHECK(found == (rejected ? std::optional(3100ms) : std::nullopt));
  CHECK(check.probes() == 1);
}

}  // namespace
}  // namespace chalkwell::soak
