// What endpoints asked for when they refused requests.
#include "chalkwell/routing/endpoint_retry_times.hpp"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "chalkwell/routing/endpoint_table.hpp"

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart(1h);

EndpointIncarnation Incarnation(std::optional<int> started_ms) {
  EndpointIncarnation incarnation{core::InstanceId("a"), std::nullopt};
  if (started_ms) {
    incarnation.started_ =
        core::StartTime(std::chrono::milliseconds(*started_ms));
  }
  return incarnation;
}

TEST_CASE("an endpoint is deferred for as long as it asked", "[routing]") {
  struct Refusal {
    core::Duration at_;
    core::Duration time_;
  };
  struct Row {
    std::string name_;
    std::vector<Refusal> refusals_;
    std::optional<int> started_ms_;
    core::Duration at_;
    core::Duration deferred_until_;
  };
  const auto row =
      GENERATE(Row{"never refused", {}, 1, 1s, 0s},
               Row{"before the end", {{0s, 3s}}, 1, 2999ms, 3s},
               Row{"at the end", {{0s, 3s}}, 1, 3s, 0s},
               Row{"the latest of several", {{0s, 3s}, {1s, 1s}}, 1, 2s, 3s},
               Row{"extended", {{0s, 3s}, {2s, 3s}}, 1, 4s, 5s},
               Row{"no time", {{0s, 0s}}, 1, 0s, 0s},
               Row{"the next incarnation", {{0s, 3s}}, 2, 1s, 0s},
               Row{"an incarnation that may be the same",
                   {{0s, 3s}},
                   std::nullopt,
                   1s,
                   3s});
  INFO(row.name_);
  EndpointRetryTimes times;
  for (const auto& refusal : row.refusals_) {
    const auto now = kStart + refusal.at_;
    (void)times.OnRefused(Incarnation(1), now + refusal.time_, now);
  }
  const bool deferred = row.deferred_until_ > 0s;
  const auto endpoint = Incarnation(row.started_ms_);
  CHECK(times.Defers(endpoint, kStart + row.at_) == deferred);
  CHECK(times.RetryAt(endpoint, kStart + row.at_) ==
        (deferred ? kStart + row.deferred_until_ : core::TimePoint{}));
}

TEST_CASE("times that have passed are not kept", "[routing]") {
  EndpointRetryTimes times;
  CHECK(times.OnRefused(Incarnation(1), kStart + 1s, kStart));
  CHECK_FALSE(times.OnRefused(Incarnation(1), kStart + 2s, kStart));
  CHECK(times.DeferredCount(kStart + 1s) == 1);
  CHECK(times.DeferredCount(kStart + 2s) == 0);
  CHECK(times.OnRefused(Incarnation(1), kStart + 4s, kStart + 3s));
}

TEST_CASE(
    "an endpoint is used within the time of its refusal after its row "
    "lapsed and returned",
    "[routing]") {
  EndpointTable table({}, 1);
  EndpointRow row;
  row.id_ = core::InstanceId("a");
  row.service_ = "plain";
  row.address_ = "10.0.0.1:80";
  row.started_ = core::StartTime(1ms);
  ChoiceRequest request;
  request.service_ = "plain";
  table.ApplyList({row}, core::StoreRevision(1, 1), true, kStart);
  REQUIRE(table.Choose(request, kStart));
  (void)table.retry_times().OnRefused(row.incarnation(), kStart + 3s, kStart);
  CHECK_FALSE(table.Choose(request, kStart + 1s));
  CHECK(table.SendWait(request, kStart + 1s) == core::Duration(2s));
  table.ApplyList({}, core::StoreRevision(1, 2), true, kStart + 1s);
  table.ApplyList({row}, core::StoreRevision(1, 3), true, kStart + 2s);
  CHECK_FALSE(table.Choose(request, kStart + 2s));
  CHECK(table.Choose(request, kStart + 3s));
}

}  // namespace
}  // namespace chalkwell::routing
