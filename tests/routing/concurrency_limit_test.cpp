// How the limit on streams under way follows their outcomes.
#include "chalkwell/routing/concurrency_limit.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>

namespace chalkwell::routing {
namespace {

ConcurrencyLimit WithUnderWay(int count, ConcurrencyLimitSettings settings) {
  ConcurrencyLimit limit(settings);
  for (int i = 0; i < count; ++i) {
    limit.OnBegun();
  }
  return limit;
}

TEST_CASE("nothing is limited until a stream is late", "[routing]") {
  auto limit = WithUnderWay(1000, {});
  limit.OnOutcome(true);
  CHECK(limit.Allows());
  CHECK(limit.limit() == 0);
}

TEST_CASE("the limit follows the share that is late", "[routing]") {
  struct Row {
    std::string name_;
    /// One stream of so many is late; 0 for none.
    int late_of_;
    bool rises_;
  };
  const auto row = GENERATE(
      Row{"none is late", 0, true}, Row{"less than the share", 20, true},
      Row{"more than the share", 5, false}, Row{"all are late", 1, false});
  CAPTURE(row.name_);
  auto limit = WithUnderWay(10, {});
  limit.OnOutcome(false);
  for (int i = 0; i < 100; ++i) {
    limit.OnOutcome(false);
  }
  for (int i = 0; i < 30; ++i) {
    limit.OnOutcome(true);
  }
  const auto before = limit.limit();
  for (int i = 1; i <= 40; ++i) {
    limit.OnOutcome(row.late_of_ == 0 || i % row.late_of_ != 0);
  }
  CHECK((limit.limit() > before) == row.rises_);
}

TEST_CASE("the limit stays between its least and its headroom", "[routing]") {
  rc::check([] {
    const ConcurrencyLimitSettings settings;
    ConcurrencyLimit limit(settings);
    const auto steps =
        *rc::gen::container<std::vector<int>>(rc::gen::inRange(0, 4));
    for (const auto step : steps) {
      const auto before = limit.limit();
      const auto most =
          std::max(settings.least_, settings.headroom_ * limit.under_way());
      if (step == 0) {
        limit.OnBegun();
      } else if (step == 1) {
        limit.OnEnded();
      } else {
        limit.OnOutcome(step == 2);
        RC_ASSERT(limit.limit() <= std::max(before, most));
      }
      RC_ASSERT(limit.limit() == 0 || limit.limit() >= settings.least_);
    }
  });
}

}  // namespace
}  // namespace chalkwell::routing
