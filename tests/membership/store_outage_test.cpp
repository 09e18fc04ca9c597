// Which lists may lack endpoints that live.
#include "chalkwell/membership/store_outage.hpp"

#include <catch2/catch.hpp>
#include <vector>

namespace chalkwell::membership {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart(1h);

TEST_CASE("only a store that was away for long makes lists incomplete",
          "[membership]") {
  // Calls that failed one by one made all lists incomplete for 2.5 s each:
  // endpoints that were gone got requests for up to 2.6 s, the bound was 2
  // to 4.
  struct Row {
    std::string name_;
    /// When reads failed, after the list of the start.
    std::vector<core::Duration> failed_;
    core::Duration next_list_;
    core::Duration asked_;
    bool may_have_lapsed_;
  };
  const auto row = GENERATE(
      Row{"no failure", {}, 600ms, 600ms, false},
      Row{"nobody read for a while", {}, 5s, 5s, false},
      Row{"one call failed", {1s}, 1100ms, 1100ms, false},
      Row{"one in two", {600ms}, 700ms, 1300ms, false},
      Row{"away", {600ms, 1100ms, 1700ms}, 2s, 2s, true},
      Row{"away, a while after", {600ms, 1100ms, 1700ms}, 2s, 4400ms, true},
      Row{"away, long ago", {600ms, 1100ms, 1700ms}, 2s, 4600ms, false});
  INFO(row.name_);
  StoreOutage outage({});
  outage.OnListReceived(kStart, kStart);
  for (std::size_t i = 0; i < row.failed_.size(); ++i) {
    outage.OnReadFailed();
  }
  outage.OnListReceived(kStart + row.next_list_, kStart + row.next_list_);
  CHECK(outage.LeasesMayHaveExpired(kStart + row.asked_) ==
        row.may_have_lapsed_);
}

TEST_CASE("while the store is away lists stay incomplete", "[membership]") {
  StoreOutage outage({});
  outage.OnListReceived(kStart, kStart);
  outage.OnReadFailed();
  CHECK_FALSE(outage.LeasesMayHaveExpired(kStart + 1s));
  CHECK(outage.LeasesMayHaveExpired(kStart + 1200ms));
  // A list from before, told late, shows nothing.
  outage.OnListReceived(kStart - 1s, kStart + 2s);
  CHECK(outage.LeasesMayHaveExpired(kStart + 2s));
}

TEST_CASE("a process that starts while the store is away learns of it",
          "[membership]") {
  StoreOutage outage({});
  CHECK_FALSE(outage.LeasesMayHaveExpired(kStart));
  outage.OnReadFailed();
  CHECK(outage.LeasesMayHaveExpired(kStart));
  outage.OnListReceived(kStart + 1s, kStart + 1s);
  CHECK(outage.LeasesMayHaveExpired(kStart + 2s));
  CHECK_FALSE(outage.LeasesMayHaveExpired(kStart + 4s));
}

}  // namespace
}  // namespace chalkwell::membership
