// The rate that entries share while an endpoint is in slow start.
#include "chalkwell/routing/slow_start.hpp"

#include <catch2/catch.hpp>
#include <string>

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart{1000s};
constexpr config::SlowStart kLimit{3s, 14};

double RatePerSecond(core::Duration interval) {
  return 1 / std::chrono::duration<double>(interval).count();
}

TEST_CASE("entries that share an endpoint keep to its rate, at any size",
          "[routing]") {
  struct Row {
    std::size_t entries_;
    std::size_t endpoints_;
    /// Entries whose subset contains the endpoint.
    std::size_t users_;
    bool reported_;
  };
  const auto row = GENERATE(Row{1, 1, 1, false}, Row{44, 3, 44, false},
                            Row{39, 40, 16, false}, Row{39, 40, 22, true},
                            Row{327, 260, 28, false}, Row{327, 260, 30, true},
                            Row{654, 520, 28, false}, Row{340, 3100, 5, false});
  SlowStartSharers sharers;
  sharers.entries_ = row.entries_;
  sharers.endpoints_ = row.endpoints_;
  sharers.subset_size_ = 16;
  sharers.reported_users_ = row.reported_ ? row.users_ : 0;
  const auto in_subset =
      RatePerSecond(SlowStartInterval(kLimit, sharers, true));
  const auto others = RatePerSecond(SlowStartInterval(kLimit, sharers, false));
  CAPTURE(row.entries_, row.endpoints_, in_subset, others);
  const auto users = static_cast<double>(row.users_);
  const auto rest = static_cast<double>(row.entries_ - row.users_);
  CHECK(users * in_subset <= 1.0 * kLimit.requests_per_second_);
  CHECK(users * in_subset + rest * others <= 1.2 * kLimit.requests_per_second_);
  CHECK(users * in_subset >= 0.5 * kLimit.requests_per_second_);
}

TEST_CASE("an entry that does not know the others assumes many", "[routing]") {
  SlowStartSharers sharers;
  sharers.entries_known_ = false;
  sharers.subset_size_ = 16;
  sharers.endpoints_ = 40;
  CHECK(16 * RatePerSecond(SlowStartInterval(kLimit, sharers, true)) <= 14);
  CHECK(SlowStartInterval(kLimit, sharers, false) >= 5s);
  sharers.endpoints_ = 3;
  CHECK(SlowStartInterval(kLimit, sharers, true) >= 5s);
}

TEST_CASE("entries begin at offsets that spread over the interval",
          "[routing]") {
  constexpr int kEntries = 200;
  int first_half = 0;
  for (int i = 0; i < kEntries; ++i) {
    const auto offset =
        SlowStartOffset(core::InstanceId("entry-" + std::to_string(i)),
                        core::InstanceId("i-1"), 1s);
    REQUIRE(offset >= 0s);
    REQUIRE(offset < 1s);
    first_half += offset < 500ms ? 1 : 0;
  }
  CHECK(first_half > kEntries / 3);
  CHECK(first_half < kEntries * 2 / 3);
}

TEST_CASE("the times between two requests of an entry follow its state",
          "[routing]") {
  SlowStartState state;
  CHECK_FALSE(state.Active(kStart));
  state.OnSent(kStart - 1s);
  state.Begin(kStart, kStart + 3s);
  CHECK(state.Active(kStart + 2s));
  // A request from before the slow start does not count.
  CHECK(state.NextSend(1s, 300ms) == kStart + 300ms);
  state.OnSent(kStart + 400ms);
  CHECK(state.NextSend(1s, 300ms) == kStart + 1400ms);
  SECTION("the endpoint states another end") {
    state.SetEnd(kStart + 1s, kStart + 5s);
    CHECK(state.Active(kStart + 4s));
    CHECK(state.NextSend(1s, 300ms) == kStart + 1400ms);
    state.SetEnd(kStart + 1s, kStart + 1s);
    CHECK_FALSE(state.Active(kStart + 1s));
  }
  SECTION("it begins again at any later time") {
    state.SetEnd(kStart + 10s, kStart + 12s);
    CHECK(state.Active(kStart + 11s));
    CHECK(state.NextSend(1s, 300ms) == kStart + 10300ms);
  }
}

}  // namespace
}  // namespace chalkwell::routing
