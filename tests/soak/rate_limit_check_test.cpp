// The check of stated rate limits must find what exceeds them, and only that.
#include "soak/rate_limit_check.hpp"

#include <catch2/catch.hpp>

namespace chalkwell::soak {
namespace {

using namespace std::chrono_literals;

/// Sends requests at equal intervals; the caller of each gets its response at
/// once.
bool FindsExcess(double per_second, milliseconds interval, milliseconds total,
                 bool excused) {
  RateLimitCheck check;
  const TimePoint start(1h);
  check.OnStated("endpoint", per_second, start);
  bool found = false;
  for (auto at = 0ms; at < total; at += interval) {
    const auto request = "entry/" + std::to_string(at.count());
    found = check.OnArrival("endpoint", request, "entry", excused, start + at)
                .has_value() ||
            found;
    check.OnResponse(request, start + at);
  }
  return found;
}

TEST_CASE("requests beyond a stated rate limit are found", "[soak]") {
  struct Row {
    std::string name_;
    double per_second_;
    milliseconds interval_;
    milliseconds total_;
    bool excused_;
    bool found_;
  };
  const auto row = GENERATE(
      Row{"at the limit", 2, 500ms, 20s, false, false},
      Row{"half above it, within the allowance", 2, 250ms, 20s, false, false},
      Row{"above it", 2, 200ms, 20s, false, true},
      Row{"above it before it must be kept", 2, 100ms, 2900ms, false, false},
      Row{"above it, by an entry that is excused", 2, 100ms, 20s, true, false},
      Row{"above a limit below one", 0.5, 400ms, 20s, false, true});
  INFO(row.name_);
  CHECK(FindsExcess(row.per_second_, row.interval_, row.total_, row.excused_) ==
        row.found_);
}

TEST_CASE("only entries that forwarded the limit have to keep it", "[soak]") {
  RateLimitCheck check;
  const TimePoint start(1h);
  check.OnStated("endpoint", 1, start);
  bool found = false;
  for (int i = 0; i < 100; ++i) {
    const auto entry = "entry-" + std::to_string(i);
    found = check.OnArrival("endpoint", entry, entry, false, start + i * 100ms)
                .has_value() ||
            found;
    check.OnResponse(entry, start + i * 100ms);
  }
  CHECK_FALSE(found);
}

}  // namespace
}  // namespace chalkwell::soak
