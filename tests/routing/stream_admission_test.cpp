// Which streams are begun, in which order, and how old a request is.
#include "chalkwell/routing/stream_admission.hpp"

#include <catch2/catch.hpp>
#include <random>

#include "chalkwell/routing/request_age_estimator.hpp"

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart{1000s};

config::EngineProfile Engine() {
  config::EngineProfile engine;
  engine.slots_ = 16;
  engine.step_time_ = 7ms;
  engine.prefill_tokens_per_second_ = 30'000;
  engine.steps_per_pass_ = 6;
  engine.mean_prompt_tokens_ = 900;
  engine.mean_output_tokens_ = 120;
  return engine;
}

EndpointTable TableWith(std::uint32_t active, std::uint32_t queued) {
  EndpointTable table({}, 1);
  EndpointRow row;
  row.id_ = core::InstanceId("a");
  row.service_ = "pool";
  row.address_ = "a:1";
  row.weights_version_ = 1;
  table.ApplyList({row}, 1, true, kStart);
  LoadReport report;
  report.weights_version_ = 1;
  report.active_ = active;
  report.queued_ = queued;
  table.ApplyReport("a:1", report, kStart);
  return table;
}

TEST_CASE("streams on time are begun by their wait, late ones by free places",
          "[routing]") {
  struct Case {
    std::string name_;
    core::Duration age_;
    std::uint32_t active_;
    std::uint32_t queued_;
    double prompt_;
    bool begun_;
    bool on_time_;
  };
  const auto row = GENERATE(
      Case{"an idle engine", 0ms, 0, 0, 900, true, true},
      Case{"a busy one", 0ms, 13, 0, 900, true, true},
      Case{"a large prompt at a busy one", 0ms, 13, 0, 3900, true, true},
      Case{"a queue", 0ms, 16, 8, 900, false, false},
      Case{"late, free places", 500ms, 8, 0, 900, true, false},
      Case{"late, few free places", 500ms, 14, 0, 900, false, false},
      Case{"just on time", 399ms, 13, 0, 900, true, true});
  CAPTURE(row.name_);
  auto table = TableWith(row.active_, row.queued_);
  const auto engine = Engine();
  ChoiceRequest wanted{.service_ = "pool", .engine_ = &engine};
  wanted.prompt_tokens_ = row.prompt_;
  const auto decision =
      DecideStream(table, wanted, {400ms, row.age_}, kStart + 1ms);
  CHECK(decision.retry_after_.has_value() != row.begun_);
  CHECK(decision.on_time_ == row.on_time_);
}

TEST_CASE("without an endpoint a stream is refused", "[routing]") {
  EndpointTable table({}, 1);
  const auto engine = Engine();
  const auto decision = DecideStream(
      table, {.service_ = "pool", .engine_ = &engine}, {400ms, 0ms}, kStart);
  CHECK_FALSE(decision.choice_);
  CHECK(decision.retry_after_);
}

TEST_CASE("late requests come behind all on time at the engine", "[routing]") {
  struct Case {
    std::optional<std::uint32_t> priority_;
    std::uint32_t late_;
  };
  const auto row = GENERATE(Case{0U, 5U}, Case{1U, 6U}, Case{4U, 9U},
                            Case{std::nullopt, 10U});
  CHECK(EnginePriority(row.priority_, true) == row.priority_);
  CHECK(EnginePriority(row.priority_, false) == row.late_);
}

TEST_CASE("late ones that wait at an engine do not hold up those on time",
          "[routing]") {
  auto table = TableWith(16, 8);
  const auto engine = Engine();
  ChoiceRequest wanted{.service_ = "pool", .engine_ = &engine};
  const auto before = table.Choose(wanted, kStart + 1ms)->time_to_first_byte_;
  // All own requests that wait there are late: so are those of others.
  table.OnSent(core::InstanceId("a"), 900, kStart, false);
  const auto after = table.Choose(wanted, kStart + 1ms)->time_to_first_byte_;
  CHECK(after < before);
  wanted.on_time_ = false;
  CHECK(table.Choose(wanted, kStart + 1ms)->time_to_first_byte_ > after);
}

TEST_CASE("a late request that waits long says nothing of its endpoint",
          "[routing]") {
  auto table = TableWith(4, 0);
  const auto engine = Engine();
  const ChoiceRequest wanted{.service_ = "pool", .engine_ = &engine};
  const auto before = table.Choose(wanted, kStart + 1ms)->time_to_first_byte_;
  const core::InstanceId id("a");
  table.OnSent(id, 900, kStart, false);
  table.OnFirstByte(id, 900, kStart, 100ms, kStart + 900ms);
  LoadReport report;
  report.weights_version_ = 1;
  report.active_ = 4;
  table.ApplyReport("a:1", report, kStart + 900ms);
  CHECK(table.Choose(wanted, kStart + 901ms)->time_to_first_byte_ == before);
}

TEST_CASE("the age of a request shows in the time it has left", "[routing]") {
  RequestAgeEstimator ages;
  CHECK(ages.AddAndEstimate("r", 6000ms) == 0ms);
  CHECK(ages.AddAndEstimate("r", 5400ms) == 600ms);
  for (int i = 0; i < 200; ++i) {
    CHECK(ages.AddAndEstimate("r", 6000ms) == 0ms);
    const auto other = ages.AddAndEstimate("r", 2000ms);
    CHECK((i < 2 || other == 0ms));
  }
  // Callers of two kinds: the next time above counts.
  CHECK(ages.AddAndEstimate("r", 5000ms) == 1000ms);
  CHECK(ages.AddAndEstimate("r", 1500ms) == 500ms);
  CHECK(ages.AddAndEstimate("other", 1500ms) == 0ms);
}

TEST_CASE("callers who each give a time of their own are not taken for old",
          "[routing]") {
  RequestAgeEstimator ages;
  core::Duration oldest{};
  for (int i = 0; i < 500; ++i) {
    const auto age =
        ages.AddAndEstimate("r", std::chrono::milliseconds(9000 - 7 * i));
    oldest = i < 100 ? oldest : std::max(oldest, age);
  }
  CHECK(oldest == 0ms);
}

TEST_CASE("callers who give times from a range are not taken for late",
          "[routing]") {
  struct Row {
    std::string name_;
    /// Times of fresh requests, in milliseconds.
    int least_;
    int most_;
    /// One of so many requests came back; 0 for none.
    int back_of_;
  };
  const auto row = GENERATE(Row{"one time", 6000, 6000, 0},
                            Row{"one time, some come back", 6000, 6000, 3},
                            Row{"a range", 5100, 6000, 0},
                            Row{"a range, some come back", 5100, 6000, 3},
                            Row{"a wide range", 3000, 6000, 0});
  CAPTURE(row.name_);
  constexpr auto kTarget = 400ms;
  std::mt19937 random(7);
  std::uniform_int_distribution<> time(row.least_, row.most_);
  std::uniform_int_distribution<> pause(1500, 2000);
  RequestAgeEstimator ages;
  int fresh = 0;
  int fresh_late = 0;
  int back = 0;
  int back_on_time = 0;
  for (int i = 0; i < 1000; ++i) {
    const auto given = time(random);
    const bool comes_back = row.back_of_ > 0 && i % row.back_of_ == 0;
    const auto left = given - (comes_back ? pause(random) : 0);
    const bool late =
        ages.AddAndEstimate("r", std::chrono::milliseconds(left)) >= kTarget;
    if (i < 100) {
      continue;
    }
    (comes_back ? back : fresh) += 1;
    fresh_late += !comes_back && late ? 1 : 0;
    back_on_time += comes_back && !late ? 1 : 0;
  }
  CHECK(fresh_late <= fresh / 50);
  CHECK(back_on_time <= back / 5);
}

}  // namespace
}  // namespace chalkwell::routing
