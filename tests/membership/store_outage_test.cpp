// Tests of which lists may lack live endpoints.
#include "chalkwell/membership/store_outage.hpp"

#include <catch2/catch.hpp>
#include <vector>

namespace chalkwell::membership {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart(1h);

TEST_CASE("only a long outage of the store makes lists incomplete",
          "[membership]") {
  // Each isolated failed call used to make all lists incomplete for 2.5 s, so
  // that removed endpoints got requests for up to 2.6 s; the bound is 2 to 4 s.
  struct Row {
    std::string name_;
    /// Times of failed reads after the first list.
    std::vector<core::Duration> failed_;
    core::Duration next_list_;
    core::Duration queried_at_;
    bool may_have_expired_;
  };
  const auto row = GENERATE(
      Row{"no failure", {}, 600ms, 600ms, false},
      Row{"no reads for a while", {}, 5s, 5s, false},
      Row{"one call failed", {1s}, 1100ms, 1100ms, false},
      Row{"every second call failed", {600ms}, 700ms, 1300ms, false},
      Row{"outage", {600ms, 1100ms, 1700ms}, 2s, 2s, true},
      Row{"shortly after an outage", {600ms, 1100ms, 1700ms}, 2s, 4400ms, true},
      Row{"long after an outage", {600ms, 1100ms, 1700ms}, 2s, 4600ms, false});
  INFO(row.name_);
  StoreOutage outage({});
  outage.OnListReceived(kStart, kStart);
  for (std::size_t i = 0; i < row.failed_.size(); ++i) {
    outage.OnReadFailed();
  }
  outage.OnListReceived(kStart + row.next_list_, kStart + row.next_list_);
  CHECK(outage.LeasesMayHaveExpired(kStart + row.queried_at_) ==
        row.may_have_expired_);
}

TEST_CASE("lists stay incomplete during an outage of the store",
          "[membership]") {
  StoreOutage outage({});
  outage.OnListReceived(kStart, kStart);
  outage.OnReadFailed();
  CHECK_FALSE(outage.LeasesMayHaveExpired(kStart + 1s));
  CHECK(outage.LeasesMayHaveExpired(kStart + 1200ms));
  // An older list that is received late changes nothing.
  outage.OnListReceived(kStart - 1s, kStart + 2s);
  CHECK(outage.LeasesMayHaveExpired(kStart + 2s));
}

TEST_CASE("a process that starts during an outage detects it", "[membership]") {
  StoreOutage outage({});
  CHECK_FALSE(outage.LeasesMayHaveExpired(kStart));
  outage.OnReadFailed();
  CHECK(outage.LeasesMayHaveExpired(kStart));
  outage.OnListReceived(kStart + 1s, kStart + 1s);
  CHECK(outage.LeasesMayHaveExpired(kStart + 2s));
  CHECK_FALSE(outage.LeasesMayHaveExpired(kStart + 4s));
}

TEST_CASE("a store that returned from an older copy may lack live endpoints",
          "[membership][era]") {
  // No read failed: the store was away for less than an interval between reads.
  StoreOutage outage({});
  outage.OnListReceived(kStart, kStart);
  outage.OnListReceived(kStart + 600ms, kStart + 600ms);
  CHECK_FALSE(outage.LeasesMayHaveExpired(kStart + 600ms));
  outage.OnStoreReturned(kStart + 600ms);
  CHECK(outage.LeasesMayHaveExpired(kStart + 3s));
  CHECK_FALSE(outage.LeasesMayHaveExpired(kStart + 3100ms));
}

}  // namespace
}  // namespace chalkwell::membership
