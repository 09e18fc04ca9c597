// Tickets and their replay protection, and a counterexample for idempotency
// keys that the caller chooses and that are assigned to endpoints by hashing.
#include "chalkwell/routing/execution_guard.hpp"

#include <catch2/catch.hpp>

#include "chalkwell/membership/role_assignment.hpp"

namespace chalkwell::routing {
namespace {

const core::InstanceId kId("a.b-1");

TEST_CASE("tickets are unchanged by a round trip through their text form",
          "[routing]") {
  const ExecutionTicket ticket{kId, 7, 8, 9};
  CHECK(ParseTicket(ToString(ticket)) == ticket);
  const auto text =
      GENERATE(as<std::string>{}, "", "cw1.", "cw1.1.2.3", "cw1.1.2.0.a",
               "cw1.x.2.3.a", "cw2.1.2.3.a", "cw1.1.2.3.", "my-own-key");
  CHECK_FALSE(ParseTicket(text).has_value());
}

TEST_CASE("a ticket is accepted once, by its endpoint and incarnation only",
          "[routing]") {
  using enum TicketStatus;
  ExecutionGuard guard(kId, 7);
  const auto issuer = guard.RegisterIssuer();
  const ExecutionTicket ticket{kId, 7, issuer, 5};
  CHECK(guard.Use(ticket) == kAccepted);
  CHECK(guard.Use(ticket) == kUsed);
  CHECK(guard.Use({kId, 7, issuer, 4}) == kAccepted);
  CHECK(guard.Use({kId, 6, issuer, 1}) == kOtherIncarnation);
  CHECK(guard.Use({core::InstanceId("c"), 7, issuer, 1}) == kOtherIncarnation);
  CHECK(guard.Use({kId, 7, issuer + 1, 1}) == kOutsideWindow);
  guard.CacheResponse(ticket, "answer");
  CHECK(guard.Use(ticket) == kResponseCached);
  CHECK(*guard.FindCachedResponse(ticket) == "answer");
  const auto above_window = 5 + ExecutionGuard::kWindowSize;
  CHECK(guard.Use({kId, 7, issuer, above_window}) == kAccepted);
  CHECK(guard.Use({kId, 7, issuer, 3}) == kOutsideWindow);
}

TEST_CASE("the guard evicts the oldest issuers and responses", "[routing]") {
  ExecutionGuard guard(kId, 7, {.max_issuers_ = 4, .max_cached_responses_ = 2});
  const auto first = guard.RegisterIssuer();
  for (int i = 0; i < 100; ++i) {
    (void)guard.RegisterIssuer();
  }
  CHECK(guard.issuer_count() == 4);
  CHECK(guard.Use({kId, 7, first, 1}) == TicketStatus::kOutsideWindow);
  const auto issuer = guard.RegisterIssuer();
  for (std::uint64_t i = 1; i <= 3; ++i) {
    guard.CacheResponse({kId, 7, issuer, i}, "x");
  }
  CHECK(guard.FindCachedResponse({kId, 7, issuer, 1}) == nullptr);
  CHECK(guard.FindCachedResponse({kId, 7, issuer, 3}) != nullptr);
}

/// A design that was not chosen: the caller chooses the key, and the endpoint
/// that ranks first for it by rendezvous hashing records its use.
TEST_CASE(
    "a key assigned by hashing is executed twice if its endpoint is removed",
    "[routing]") {
  const std::vector<core::InstanceId> before{
      core::InstanceId("a"), core::InstanceId("b"), core::InstanceId("c")};
  const auto assigned = membership::HighestRanked("order-1", before, 1).front();
  std::vector<core::InstanceId> after;
  for (const auto& id : before) {
    if (id != assigned) {
      after.push_back(id);
    }
  }
  // The assigned endpoint executes the request, its response is lost and it is
  // removed from the list; the caller retries with the same key.
  std::map<core::InstanceId, int> runs;
  ++runs[assigned];
  const auto next = membership::HighestRanked("order-1", after, 1).front();
  ++runs[next];
  CHECK(runs.size() == 2);
  // A ticket names its endpoint, so the next one refuses it.
  ExecutionGuard guard(next, 1);
  CHECK(guard.Use({assigned, 1, 1, 1}) == TicketStatus::kOtherIncarnation);
}

}  // namespace
}  // namespace chalkwell::routing
