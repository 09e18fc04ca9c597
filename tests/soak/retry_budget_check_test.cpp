// The check of retries must find what exceeds their bound, and only that.
#include "soak/retry_budget_check.hpp"

#include <catch2/catch.hpp>

namespace chalkwell::soak {
namespace {

using namespace std::chrono_literals;

TEST_CASE("retries beyond their bound are found", "[soak]") {
  struct Row {
    std::string name_;
    /// Every how many requests arrive again, once or twice.
    int every_;
    int times_;
    /// Service of every second request.
    std::string other_service_;
    bool found_;
  };
  const auto row = GENERATE(
      Row{"none", 1, 0, "a", false}, Row{"one in five", 5, 1, "a", false},
      Row{"one in two", 2, 1, "a", true},
      Row{"one in five twice", 5, 2, "a", true},
      Row{"one in three of one service", 3, 1, "b", true});
  CAPTURE(row.name_);
  RetryBudgetCheck check({.window_ = 10s, .share_ = 0.2, .extra_ = 20});
  bool found = false;
  for (int i = 0; i < 4000; ++i) {
    const TimePoint now(1h + i * 10ms);
    const auto id = std::to_string(i);
    const std::string service = i % 2 == 0 ? "a" : row.other_service_;
    found = check.OnArrival(service, id, now).has_value() || found;
    for (int j = 0; i % row.every_ == 0 && j < row.times_; ++j) {
      found = check.OnArrival(service, id, now).has_value() || found;
    }
  }
  CHECK(found == row.found_);
}

}  // namespace
}  // namespace chalkwell::soak
