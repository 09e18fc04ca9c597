// Who is told an endpoint's reports, how often, and what that costs.
#include "chalkwell/membership/report_subscribers.hpp"

#include <catch2/catch.hpp>
#include <iostream>

namespace chalkwell::membership {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart(1h);
constexpr auto kPoll = 110ms;

std::string Address(int number) { return "e" + std::to_string(number); }

TEST_CASE("what one reporter sends has a bound, however many listen",
          "[membership]") {
  struct Row {
    int near_;
    int far_;
    /// Reports a second that each near one gets, at least.
    double near_rate_;
  };
  const auto row = GENERATE(Row{3, 4, 9}, Row{9, 6, 9}, Row{15, 6, 4.4},
                            Row{40, 20, 2}, Row{400, 0, 2});
  ReportSubscribers audience;
  std::map<std::string, int> got;
  int sent = 0;
  constexpr int kSeconds = 10;
  for (auto now = kStart; now < kStart + std::chrono::seconds(kSeconds);
       now += kPoll) {
    for (int i = 0; i < row.near_ + row.far_; ++i) {
      audience.Subscribe(Address(i), i < row.near_, now);
    }
    for (const auto& target : audience.CollectDue(true, false, now)) {
      ++got[target.address_];
      ++sent;
    }
  }
  const auto rate = static_cast<double>(sent) / kSeconds;
  const auto near = static_cast<double>(got[Address(0)]) / kSeconds;
  std::cout << "figure reports_per_second " << row.near_ << " near, "
            << row.far_ << " far: " << rate << ", each near " << near << "\n";
  CHECK(near >= row.near_rate_);
  // The longest interval is kept even when that takes more than the budget.
  CHECK(rate <= std::max(115.0, (row.near_ + row.far_) / 0.4));
}

TEST_CASE("when a subscriber is told", "[membership]") {
  struct Row {
    std::string name_;
    core::Duration after_;
    bool changed_;
    bool urgent_;
    bool told_;
  };
  const auto row =
      GENERATE(Row{"a change soon after the last", 50ms, true, false, false},
               Row{"a change", 105ms, true, false, true},
               Row{"an urgent change", 1ms, true, true, true},
               Row{"nothing new", 400ms, false, false, false},
               Row{"nothing new for long", 500ms, false, false, true},
               Row{"its subscription ended", 8000ms, true, true, false});
  CAPTURE(row.name_);
  ReportSubscribers audience;
  CHECK(audience.Subscribe("e", true, kStart));
  CHECK_FALSE(audience.Subscribe("e", true, kStart));
  REQUIRE(audience.CollectDue(false, false, kStart).size() == 1);
  const auto due =
      audience.CollectDue(row.changed_, row.urgent_, kStart + row.after_);
  CHECK((due.size() == 1) == row.told_);
}

TEST_CASE("a change that was not told yet is told when it may be",
          "[membership]") {
  ReportSubscribers audience;
  audience.Subscribe("e", true, kStart);
  CHECK(audience.CollectDue(false, false, kStart).size() == 1);
  CHECK(audience.CollectDue(true, false, kStart + 50ms).empty());
  CHECK(audience.CollectDue(false, false, kStart + 110ms).size() == 1);
  CHECK(audience.CollectDue(false, false, kStart + 220ms).empty());
}

TEST_CASE("what seldom changes is told first, each second, and when it did",
          "[membership]") {
  ReportSubscribers audience;
  audience.Subscribe("e", true, kStart);
  const auto full = [&](core::Duration after) {
    return audience.CollectDue(true, false, kStart + after).at(0).full_;
  };
  CHECK(full(0ms));
  CHECK_FALSE(full(200ms));
  CHECK(full(1000ms));
  audience.RequestFullReports();
  CHECK(full(1200ms));
}

}  // namespace
}  // namespace chalkwell::membership
