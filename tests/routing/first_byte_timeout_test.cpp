// Timeouts for the first byte of an attempt.
#include "chalkwell/routing/first_byte_timeout.hpp"

#include <catch2/catch.hpp>

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kSent{1000s};

TEST_CASE("the first byte timeout of an attempt", "[routing]") {
  struct Row {
    std::string name_;
    PendingAttempt attempt_;
    core::Duration timeout_;
  };
  // The constraint takes effect 1.4 s before the version bound.
  const VersionConstraint constraint{
      .min_version_ = 0, .next_min_version_ = 2, .next_min_at_ = kSent + 260ms};
  auto row = GENERATE_COPY(
      Row{"a short target", {.target_latency_ = 100ms}, 1200ms},
      Row{"a long target", {.target_latency_ = 600ms}, 1800ms},
      Row{"a long prompt",
          {.target_latency_ = 400ms, .predicted_time_to_first_byte_ = 1s},
          2000ms},
      Row{"a late attempt",
          {.target_latency_ = 400ms, .on_time_ = false},
          2500ms},
      // Observed with engines on suspended machines: callers disconnected after
      // 2.4 s, of which half had passed before the second attempt.
      Row{"its endpoint is unresponsive",
          {.target_latency_ = 600ms, .unresponsive_ = true},
          500ms},
      Row{"late, its endpoint unresponsive",
          {.target_latency_ = 600ms, .on_time_ = false, .unresponsive_ = true},
          500ms},
      Row{"the newest version",
          {.target_latency_ = 500ms,
           .weights_version_ = 2,
           .version_constraint_ = constraint},
          1500ms},
      // Observed: sent 1.66 s before the bound, abandoned 0.15 s before it,
      // started by the endpoint 19 ms after it.
      Row{"an older version near the end of its use",
          {.target_latency_ = 500ms,
           .weights_version_ = 1,
           .version_constraint_ = constraint},
          1060ms},
      Row{"late, on an older version",
          {.target_latency_ = 500ms,
           .on_time_ = false,
           .weights_version_ = 1,
           .version_constraint_ = constraint},
          1060ms},
      Row{"a service without weights",
          {.target_latency_ = 300ms, .version_constraint_ = constraint},
          1200ms});
  CAPTURE(row.name_);
  row.attempt_.sent_at_ = kSent;
  CHECK(FirstByteDeadline(row.attempt_) == kSent + row.timeout_);
}

TEST_CASE("an attempt on outdated weights may start late", "[routing]") {
  struct Row {
    std::optional<std::uint64_t> version_;
    std::optional<core::TimePoint> latest_start_;
    std::uint64_t min_version_ = 0;
  };
  const auto row =
      GENERATE(Row{1, kSent + 1060ms}, Row{2, std::nullopt},
               Row{std::nullopt, std::nullopt}, Row{1, kSent, 2},
               Row{2, std::nullopt, 2}, Row{std::nullopt, std::nullopt, 2});
  const PendingAttempt attempt{
      .weights_version_ = row.version_,
      .version_constraint_ = {.min_version_ = row.min_version_,
                              .next_min_version_ = 2,
                              .next_min_at_ = kSent + 260ms},
      .sent_at_ = kSent};
  CHECK(LatestStart(attempt) == row.latest_start_);
}

}  // namespace
}  // namespace chalkwell::routing
