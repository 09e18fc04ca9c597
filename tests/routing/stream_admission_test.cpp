// Tests of stream admission and of the estimated age of requests.
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
  table.ApplyList({row}, core::StoreRevision(1, 1), true, kStart);
  LoadReport report;
  report.weights_version_ = 1;
  report.active_ = active;
  report.queued_ = queued;
  table.ApplyReport("a:1", report, kStart);
  return table;
}

TEST_CASE(
    "admission depends on the predicted wait, for late streams on free slots",
    "[routing]") {
  struct Case {
    std::string name_;
    core::Duration age_;
    std::uint32_t active_;
    std::uint32_t queued_;
    double prompt_tokens_;
    bool admitted_;
    bool on_time_;
  };
  const auto row = GENERATE(
      Case{"idle engine", 0ms, 0, 0, 900, true, true},
      Case{"busy engine", 0ms, 13, 0, 900, true, true},
      Case{"large prompt at a busy engine", 0ms, 13, 0, 3900, true, true},
      Case{"requests are queued", 0ms, 16, 8, 900, false, false},
      Case{"late, enough free slots", 500ms, 8, 0, 900, true, false},
      Case{"late, too few free slots", 500ms, 14, 0, 900, false, false},
      Case{"just on time", 399ms, 13, 0, 900, true, true});
  CAPTURE(row.name_);
  auto table = TableWith(row.active_, row.queued_);
  const auto engine = Engine();
  ChoiceRequest wanted{.service_ = "pool", .engine_ = &engine};
  wanted.prompt_tokens_ = row.prompt_tokens_;
  const auto decision =
      DecideStream(table, wanted, {400ms, row.age_}, kStart + 1ms);
  CHECK(decision.retry_after_.has_value() != row.admitted_);
  CHECK(decision.on_time_ == row.on_time_);
}

TEST_CASE("a stream is refused when no endpoint is available", "[routing]") {
  EndpointTable table({}, 1);
  const auto engine = Engine();
  const auto decision = DecideStream(
      table, {.service_ = "pool", .engine_ = &engine}, {400ms, 0ms}, kStart);
  CHECK_FALSE(decision.choice_);
  CHECK(decision.retry_after_);
}

TEST_CASE("late requests have a lower engine priority than any on time",
          "[routing]") {
  struct Case {
    std::optional<std::uint32_t> priority_;
    std::uint32_t late_priority_;
  };
  const auto row = GENERATE(Case{0U, 5U}, Case{1U, 6U}, Case{4U, 9U},
                            Case{std::nullopt, 10U});
  CHECK(EnginePriority(row.priority_, true) == row.priority_);
  CHECK(EnginePriority(row.priority_, false) == row.late_priority_);
}

TEST_CASE("queued late requests do not delay requests on time", "[routing]") {
  auto table = TableWith(16, 8);
  const auto engine = Engine();
  ChoiceRequest wanted{.service_ = "pool", .engine_ = &engine};
  const auto before = table.Choose(wanted, kStart + 1ms)->time_to_first_byte_;
  // All waiting requests of this entry are late, so the queued requests of
  // other entries are assumed to be late as well.
  table.OnSent(core::InstanceId("a"), 900, kStart, false);
  const auto after = table.Choose(wanted, kStart + 1ms)->time_to_first_byte_;
  CHECK(after < before);
  wanted.on_time_ = false;
  CHECK(table.Choose(wanted, kStart + 1ms)->time_to_first_byte_ > after);
}

TEST_CASE("the wait of a late request does not count against its endpoint",
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

TEST_CASE("the age of a request is derived from its remaining time",
          "[routing]") {
  RequestAgeEstimator ages;
  CHECK(ages.AddAndEstimate("r", 6000ms) == 0ms);
  CHECK(ages.AddAndEstimate("r", 5400ms) == 600ms);
  for (int i = 0; i < 200; ++i) {
    CHECK(ages.AddAndEstimate("r", 6000ms) == 0ms);
    const auto other = ages.AddAndEstimate("r", 2000ms);
    CHECK((i < 2 || other == 0ms));
  }
  // With two typical deadlines, the next longer one is the reference.
  CHECK(ages.AddAndEstimate("r", 5000ms) == 1000ms);
  CHECK(ages.AddAndEstimate("r", 1500ms) == 500ms);
  CHECK(ages.AddAndEstimate("other", 1500ms) == 0ms);
}

TEST_CASE("callers with individual deadlines are not treated as retries",
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

TEST_CASE("callers with deadlines from a range are not treated as late",
          "[routing]") {
  struct Row {
    std::string name_;
    /// Deadlines of first attempts, in milliseconds.
    int min_;
    int max_;
    /// Every n-th request is a retry; 0 for none.
    int retry_interval_;
  };
  const auto row =
      GENERATE(Row{"one deadline", 6000, 6000, 0},
               Row{"one deadline, some retries", 6000, 6000, 3},
               Row{"range of deadlines", 5100, 6000, 0},
               Row{"range of deadlines, some retries", 5100, 6000, 3},
               Row{"wide range of deadlines", 3000, 6000, 0});
  CAPTURE(row.name_);
  constexpr auto kTarget = 400ms;
  std::mt19937 random(7);
  std::uniform_int_distribution<> deadline(row.min_, row.max_);
  std::uniform_int_distribution<> pause(1500, 2000);
  RequestAgeEstimator ages;
  int first_attempts = 0;
  int late_first_attempts = 0;
  int retries = 0;
  int retries_on_time = 0;
  for (int i = 0; i < 1000; ++i) {
    const auto given = deadline(random);
    const bool is_retry =
        row.retry_interval_ > 0 && i % row.retry_interval_ == 0;
    const auto left = given - (is_retry ? pause(random) : 0);
    const bool late =
        ages.AddAndEstimate("r", std::chrono::milliseconds(left)) >= kTarget;
    if (i < 100) {
      continue;
    }
    (is_retry ? retries : first_attempts) += 1;
    late_first_attempts += !is_retry && late ? 1 : 0;
    retries_on_time += is_retry && !late ? 1 : 0;
  }
  CHECK(late_first_attempts <= first_attempts / 50);
  CHECK(retries_on_time <= retries / 5);
}

}  // namespace
}  // namespace chalkwell::routing
