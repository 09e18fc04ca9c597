// Which statement of an endpoint's rate limit applies.
#include "chalkwell/routing/endpoint_rate_limits.hpp"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kNow{1000s};
const EndpointIncarnation kEndpoint{core::InstanceId("i-1"), std::nullopt};

TEST_CASE("a response lifts only a limit that was stated before its request",
          "[routing]") {
  struct Response {
    core::Duration sent_;
    core::Duration received_;
    std::optional<double> rate_;
    RateLimitChange change_;
  };
  struct Row {
    std::string name_;
    std::vector<Response> responses_;
    std::optional<double> rate_;
  };
  const auto row =
      GENERATE(Row{"never stated",
                   {{0s, 1s, std::nullopt, RateLimitChange::kNone}},
                   std::nullopt},
               Row{"stated again",
                   {{0s, 1s, 2, RateLimitChange::kLimited},
                    {2s, 3s, 2, RateLimitChange::kConfirmed}},
                   2},
               Row{"another value",
                   {{0s, 1s, 2, RateLimitChange::kLimited},
                    {2s, 3s, 1.5, RateLimitChange::kLimited}},
                   1.5},
               Row{"a close value",
                   {{0s, 1s, 2, RateLimitChange::kLimited},
                    {2s, 3s, 2.2, RateLimitChange::kConfirmed}},
                   2.2},
               Row{"a later request",
                   {{0s, 1s, 2, RateLimitChange::kLimited},
                    {2s, 3s, std::nullopt, RateLimitChange::kLifted}},
                   std::nullopt},
               Row{"a request that was in flight",
                   {{0s, 2s, 2, RateLimitChange::kLimited},
                    {1s, 3s, std::nullopt, RateLimitChange::kNone}},
                   2},
               Row{"stated anew",
                   {{0s, 1s, 2, RateLimitChange::kLimited},
                    {2s, 3s, std::nullopt, RateLimitChange::kLifted},
                    {4s, 5s, 2, RateLimitChange::kLimited}},
                   2});
  CAPTURE(row.name_);
  EndpointRateLimits limits;
  for (const auto& response : row.responses_) {
    CHECK(limits.OnResponse(
              {kEndpoint, response.rate_, kNow + response.received_},
              kNow + response.sent_) == response.change_);
  }
  CHECK(limits.RateOf(kEndpoint, kNow + 5s) == row.rate_);
  CHECK(limits.LimitedCount(kNow + 5s) == (row.rate_ ? 1 : 0));
}

TEST_CASE("the newest statement of any entry applies", "[routing]") {
  struct Row {
    std::string name_;
    std::optional<double> rate_;
    core::Duration stated_;
    RateLimitChange change_;
    std::optional<double> result_;
  };
  const auto row = GENERATE(
      Row{"older", 3, -1s, RateLimitChange::kNone, 2},
      Row{"the same", 2, 0s, RateLimitChange::kNone, 2},
      Row{"confirmed", 2, 1s, RateLimitChange::kConfirmed, 2},
      Row{"changed", 3, 1s, RateLimitChange::kLimited, 3},
      Row{"lifted", std::nullopt, 1s, RateLimitChange::kLifted, std::nullopt},
      Row{"lifted before", std::nullopt, -1s, RateLimitChange::kNone, 2});
  CAPTURE(row.name_);
  EndpointRateLimits limits;
  limits.OnResponse({kEndpoint, 2, kNow}, kNow);
  CHECK(limits.Merge({kEndpoint, row.rate_, kNow + row.stated_}) ==
        row.change_);
  CHECK(limits.RateOf(kEndpoint, kNow + 1s) == row.result_);
}

TEST_CASE("a lifted limit is not restored by an older statement", "[routing]") {
  EndpointRateLimits limits;
  limits.OnResponse({kEndpoint, 2, kNow}, kNow);
  limits.OnResponse({kEndpoint, std::nullopt, kNow + 2s}, kNow + 1s);
  limits.Expire(kNow + 20s);
  CHECK(limits.Merge({kEndpoint, 2, kNow + 1s}) == RateLimitChange::kNone);
  CHECK_FALSE(limits.RateOf(kEndpoint, kNow + 2s));
}

TEST_CASE("samples return all statements in turn", "[routing]") {
  EndpointRateLimits limits;
  CHECK(limits.Sample(8).empty());
  for (const auto* id : {"i-1", "i-2", "i-3"}) {
    limits.OnResponse({{core::InstanceId(id), std::nullopt}, 2, kNow}, kNow);
  }
  std::string order;
  for (int i = 0; i < 3; ++i) {
    for (const auto& statement : limits.Sample(2)) {
      order += statement.endpoint_.id_.value() + " ";
    }
  }
  CHECK(order == "i-1 i-2 i-3 i-1 i-2 i-3 ");
  CHECK(limits.Sample(8).size() == 3);
}

TEST_CASE("a limit applies to the incarnation that stated it", "[routing]") {
  struct Row {
    std::optional<core::StartTime> stated_;
    std::optional<core::StartTime> queried_;
    bool limited_;
  };
  const core::StartTime first{1ms};
  const core::StartTime second{2ms};
  const auto row = GENERATE_COPY(
      Row{first, first, true}, Row{first, second, false},
      Row{first, std::nullopt, true}, Row{std::nullopt, second, true});
  EndpointRateLimits limits;
  limits.OnResponse({{kEndpoint.id_, row.stated_}, 2, kNow}, kNow);
  CHECK(limits.RateOf({kEndpoint.id_, row.queried_}, kNow).has_value() ==
        row.limited_);
}

TEST_CASE("a limit that is not stated again expires", "[routing]") {
  struct Row {
    double rate_;
    core::Duration after_;
    bool limited_;
  };
  const auto row =
      GENERATE(Row{2, 9s, true}, Row{2, 10s, false}, Row{0.2, 19s, true},
               Row{0.2, 20s, false}, Row{0, 39s, true}, Row{0, 40s, false},
               Row{1e300, 9s, true}, Row{1e300, 10s, false});
  CAPTURE(row.rate_);
  EndpointRateLimits limits;
  limits.OnResponse({kEndpoint, row.rate_, kNow}, kNow);
  CHECK(limits.RateOf(kEndpoint, kNow + row.after_).has_value() ==
        row.limited_);
  limits.Expire(kNow + row.after_);
  CHECK(limits.LimitedCount(kNow + row.after_) == (row.limited_ ? 1 : 0));
  // Entries know for a while that it was limited.
  CHECK(limits.ExpiredLimitOf(kEndpoint, kNow + row.after_).has_value() ==
        !row.limited_);
  limits.Expire(kNow + row.after_ + EndpointRateLimits::kMaxReturnTime);
  CHECK(limits.LimitedCount(kNow) == (row.limited_ ? 1 : 0));
}

}  // namespace
}  // namespace chalkwell::routing
