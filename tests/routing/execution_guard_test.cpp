// Tickets and the agent's memory of them; and why a key that the caller
// chooses and hashing homes is not used instead.
#include "chalkwell/routing/execution_guard.hpp"

#include <catch2/catch.hpp>

#include "chalkwell/membership/role_assignment.hpp"

namespace chalkwell::routing {
namespace {

const core::InstanceId kId("a.b-1");

TEST_CASE("tickets survive their text form", "[routing]") {
  const ExecutionTicket ticket{kId, 7, 8, 9};
  CHECK(ParseTicket(ToString(ticket)) == ticket);
  const auto text =
      GENERATE(as<std::string>{}, "", "cw1.", "cw1.1.2.3", "cw1.1.2.0.a",
               "cw1.x.2.3.a", "cw2.1.2.3.a", "cw1.1.2.3.", "my-own-key");
  CHECK_FALSE(ParseTicket(text).has_value());
}

TEST_CASE("a ticket runs once, here and now or never", "[routing]") {
  using enum TicketStatus;
  ExecutionGuard guard(kId, 7);
  const auto minter = guard.RegisterIssuer();
  const ExecutionTicket ticket{kId, 7, minter, 5};
  CHECK(guard.Use(ticket) == kAccepted);
  CHECK(guard.Use(ticket) == kUsed);
  CHECK(guard.Use({kId, 7, minter, 4}) == kAccepted);
  CHECK(guard.Use({kId, 6, minter, 1}) == kOtherIncarnation);
  CHECK(guard.Use({core::InstanceId("c"), 7, minter, 1}) == kOtherIncarnation);
  CHECK(guard.Use({kId, 7, minter + 1, 1}) == kExpired);
  guard.CacheResponse(ticket, "answer");
  CHECK(guard.Use(ticket) == kResponseCached);
  CHECK(*guard.FindCachedResponse(ticket) == "answer");
  const auto far = 5 + ExecutionGuard::kWindow;
  CHECK(guard.Use({kId, 7, minter, far}) == kAccepted);
  CHECK(guard.Use({kId, 7, minter, 3}) == kExpired);
}

TEST_CASE("the guard's memory is bounded", "[routing]") {
  ExecutionGuard guard(kId, 7, {.max_issuers_ = 4, .max_cached_responses_ = 2});
  const auto first = guard.RegisterIssuer();
  for (int i = 0; i < 100; ++i) {
    (void)guard.RegisterIssuer();
  }
  CHECK(guard.issuer_count() == 4);
  CHECK(guard.Use({kId, 7, first, 1}) == TicketStatus::kExpired);
  const auto minter = guard.RegisterIssuer();
  for (std::uint64_t i = 1; i <= 3; ++i) {
    guard.CacheResponse({kId, 7, minter, i}, "x");
  }
  CHECK(guard.FindCachedResponse({kId, 7, minter, 1}) == nullptr);
  CHECK(guard.FindCachedResponse({kId, 7, minter, 3}) != nullptr);
}

/// The way not taken: the caller chooses the key, and the first endpoint in
/// rank for it remembers it.
TEST_CASE("a key homed by hashing runs twice when its home moves",
          "[routing]") {
  const std::vector<core::InstanceId> before{
      core::InstanceId("a"), core::InstanceId("b"), core::InstanceId("c")};
  const auto home = membership::HighestRanked("order-1", before, 1).front();
  std::vector<core::InstanceId> after;
  for (const auto& id : before) {
    if (id != home) {
      after.push_back(id);
    }
  }
  // The home runs the order, its answer is lost, and the list no longer names
  // it; the caller asks again with the same key.
  std::map<core::InstanceId, int> runs;
  ++runs[home];
  const auto next = membership::HighestRanked("order-1", after, 1).front();
  ++runs[next];
  CHECK(runs.size() == 2);
  // By ticket: the same ticket names the home, and the next one refuses it.
  ExecutionGuard guard(next, 1);
  CHECK(guard.Use({home, 1, 1, 1}) == TicketStatus::kOtherIncarnation);
}

}  // namespace
}  // namespace chalkwell::routing
