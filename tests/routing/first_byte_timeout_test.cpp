// How long a first byte is awaited.
#include "chalkwell/routing/first_byte_timeout.hpp"

#include <catch2/catch.hpp>

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kSent{1000s};

TEST_CASE("how long the first byte of an attempt is awaited", "[routing]") {
  struct Row {
    std::string name_;
    PendingAttempt attempt_;
    core::Duration patience_;
  };
  // The rule's time is 1.4 s before the bound.
  const VersionConstraint ends{
      .min_version_ = 0, .next_min_version_ = 2, .next_min_at_ = kSent + 260ms};
  auto row = GENERATE_COPY(
      Row{"a short target", {.target_latency_ = 100ms}, 1200ms},
      Row{"a long target", {.target_latency_ = 600ms}, 1800ms},
      Row{"a long prompt",
          {.target_latency_ = 400ms, .predicted_first_byte_ = 1s},
          2000ms},
      Row{"a late one", {.target_latency_ = 400ms, .on_time_ = false}, 2500ms},
      // Seen: engines on frozen machines; their callers left after 2.4 s, half
      // of which had gone by before the second attempt.
      Row{"its endpoint fell silent",
          {.target_latency_ = 600ms, .unresponsive_ = true},
          500ms},
      Row{"a late one whose endpoint fell silent",
          {.target_latency_ = 600ms, .on_time_ = false, .unresponsive_ = true},
          500ms},
      Row{"the newest weights",
          {.target_latency_ = 500ms,
           .weights_version_ = 2,
           .version_constraint_ = ends},
          1500ms},
      // Seen: sent 1.66 s before the bound, given up 0.15 s before it, begun
      // 19 ms after it.
      Row{"old weights near their end",
          {.target_latency_ = 500ms,
           .weights_version_ = 1,
           .version_constraint_ = ends},
          1060ms},
      Row{"a late one on old weights",
          {.target_latency_ = 500ms,
           .on_time_ = false,
           .weights_version_ = 1,
           .version_constraint_ = ends},
          1060ms},
      Row{"a plain service",
          {.target_latency_ = 300ms, .version_constraint_ = ends},
          1200ms});
  CAPTURE(row.name_);
  row.attempt_.sent_at_ = kSent;
  CHECK(FirstByteDeadline(row.attempt_) == kSent + row.patience_);
}

}  // namespace
}  // namespace chalkwell::routing
