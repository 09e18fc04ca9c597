// Tests of how often subscribers get an endpoint's reports, and of the total
// rate.
#include "chalkwell/membership/report_subscribers.hpp"

#include <catch2/catch.hpp>
#include <iostream>

namespace chalkwell::membership {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart(1h);
constexpr auto kPollInterval = 110ms;

std::string Address(int number) { return "e" + std::to_string(number); }

TEST_CASE(
    "the report rate of an endpoint is bounded for any number of subscribers",
    "[membership]") {
  struct Row {
    int local_;
    int remote_;
    /// Minimum reports per second to each local subscriber.
    double min_local_rate_;
  };
  const auto row = GENERATE(Row{3, 4, 9}, Row{9, 6, 9}, Row{15, 6, 4.4},
                            Row{40, 20, 2}, Row{400, 0, 2});
  ReportSubscribers subscribers;
  std::map<std::string, int> received;
  int sent = 0;
  constexpr int kSeconds = 10;
  for (auto now = kStart; now < kStart + std::chrono::seconds(kSeconds);
       now += kPollInterval) {
    for (int i = 0; i < row.local_ + row.remote_; ++i) {
      subscribers.Subscribe(Address(i), i < row.local_, now);
    }
    for (const auto& target : subscribers.CollectDue(true, false, now)) {
      ++received[target.address_];
      ++sent;
    }
  }
  const auto rate = static_cast<double>(sent) / kSeconds;
  const auto local_rate = static_cast<double>(received[Address(0)]) / kSeconds;
  std::cout << "figure reports_per_second " << row.local_ << " near, "
            << row.remote_ << " far: " << rate << ", each near " << local_rate
            << "\n";
  CHECK(local_rate >= row.min_local_rate_);
  // The largest interval is kept even if that exceeds the budget.
  CHECK(rate <= std::max(115.0, (row.local_ + row.remote_) / 0.4));
}

TEST_CASE("when a report is due to a subscriber", "[membership]") {
  struct Row {
    std::string name_;
    core::Duration after_;
    bool changed_;
    bool urgent_;
    bool due_;
  };
  const auto row =
      GENERATE(Row{"a change soon after the last", 50ms, true, false, false},
               Row{"a change", 105ms, true, false, true},
               Row{"an urgent change", 1ms, true, true, true},
               Row{"no change", 400ms, false, false, false},
               Row{"no change for long", 500ms, false, false, true},
               Row{"its subscription expired", 8000ms, true, true, false});
  CAPTURE(row.name_);
  ReportSubscribers subscribers;
  CHECK(subscribers.Subscribe("e", true, kStart));
  CHECK_FALSE(subscribers.Subscribe("e", true, kStart));
  REQUIRE(subscribers.CollectDue(false, false, kStart).size() == 1);
  const auto due =
      subscribers.CollectDue(row.changed_, row.urgent_, kStart + row.after_);
  CHECK((due.size() == 1) == row.due_);
}

TEST_CASE("a change that was held back is sent once the interval has passed",
          "[membership]") {
  ReportSubscribers subscribers;
  subscribers.Subscribe("e", true, kStart);
  CHECK(subscribers.CollectDue(false, false, kStart).size() == 1);
  CHECK(subscribers.CollectDue(true, false, kStart + 50ms).empty());
  CHECK(subscribers.CollectDue(false, false, kStart + 110ms).size() == 1);
  CHECK(subscribers.CollectDue(false, false, kStart + 220ms).empty());
}

TEST_CASE("full reports go out first, each second and on request",
          "[membership]") {
  ReportSubscribers subscribers;
  subscribers.Subscribe("e", true, kStart);
  const auto full = [&](core::Duration after) {
    return subscribers.CollectDue(true, false, kStart + after).at(0).full_;
  };
  CHECK(full(0ms));
  CHECK_FALSE(full(200ms));
  CHECK(full(1000ms));
  subscribers.RequestFullReports();
  CHECK(full(1200ms));
}

}  // namespace
}  // namespace chalkwell::membership
