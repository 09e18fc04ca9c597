// Which requests may grow, which are rejected, and which are ended for others.
#include "chalkwell/routing/request_memory.hpp"

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <catch2/catch.hpp>
#include <string>
#include <vector>

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kTotal = 1000;
constexpr std::size_t kSmall = 100;
/// A quarter is left to small requests.
constexpr std::size_t kForLarge = 750;
constexpr std::size_t kLargest = 400;
constexpr core::TimePoint kStart{};

RequestMemorySettings Settings() {
  return {.total_bytes_ = kTotal,
          .small_share_ = 0.25,
          .small_bytes_ = kSmall,
          .protected_time_ = 1s,
          .min_retry_after_ = 100ms};
}

RequestMemory::HolderId AddReceiving(RequestMemory& memory, std::size_t bytes,
                                     core::TimePoint since) {
  const auto holder = memory.Add();
  memory.BeginReceiving(holder, since);
  REQUIRE(memory.Grow(holder, bytes, since).granted_);
  return holder;
}

TEST_CASE("requests are accepted beyond the memory", "[routing]") {
  struct Row {
    std::string name_;
    /// Sizes of requests that are being received.
    std::vector<std::size_t> received_;
    /// Sizes of complete requests.
    std::vector<std::size_t> running_;
    /// Age of the received ones.
    core::Duration age_;
    std::size_t size_;
    bool granted_;
    std::size_t ended_;
  };
  const auto row = GENERATE(
      Row{"nothing is held", {}, {}, 0s, kLargest, true, 0},
      Row{"a large one fits", {300}, {}, 0s, kLargest, true, 0},
      Row{"a large one does not fit", {300, 300}, {}, 0s, kLargest, false, 0},
      Row{"a small one fits then", {300, 300}, {}, 0s, kSmall, true, 0},
      Row{"an old one is ended", {300, 300}, {}, 2s, kLargest, true, 1},
      Row{"a small one ends none", {300, 300}, {}, 2s, kSmall, true, 0},
      Row{"a complete one is not ended",
          {},
          {300, 300},
          2s,
          kLargest,
          false,
          0},
      Row{"small ones fill all",
          {},
          {100, 100, 100, 100, 100, 100, 100, 100, 100, 100},
          0s,
          kSmall,
          false,
          0});
  CAPTURE(row.name_);
  RequestMemory memory(Settings());
  for (const auto size : row.received_) {
    (void)AddReceiving(memory, size, kStart);
  }
  for (const auto size : row.running_) {
    memory.EndReceiving(AddReceiving(memory, size, kStart));
  }
  const auto holder = memory.Add();
  const auto growth = memory.Grow(holder, row.size_, kStart + row.age_);
  CHECK(growth.granted_ == row.granted_);
  CHECK(growth.ended_.size() == row.ended_);
}

TEST_CASE("a request of the largest size is rejected in calm", "[routing]") {
  const std::size_t total = GENERATE(1, 200, 399, 400, 1000);
  auto settings = Settings();
  settings.total_bytes_ = total;
  RequestMemory memory(settings);
  memory.SetLargestRequest(kLargest);
  const auto first = memory.Add();
  CHECK(memory.Grow(first, kLargest, kStart).granted_);
  CHECK_FALSE(memory.Grow(memory.Add(), kLargest + 1, kStart).granted_);
  if (total < 2 * kLargest) {
    CHECK_FALSE(memory.Grow(memory.Add(), kLargest, kStart).granted_);
  }
  memory.Remove(first);
  CHECK(memory.Grow(memory.Add(), kLargest, kStart).granted_);
}

TEST_CASE("a request that has just begun is ended before an old one",
          "[routing]") {
  RequestMemory memory(Settings());
  const auto newer = AddReceiving(memory, 300, kStart + 500ms);
  const auto older = AddReceiving(memory, 300, kStart);
  CHECK(memory.RetryAfter(kStart + 600ms) == 400ms);
  const auto holder = memory.Add();
  const auto growth = memory.Grow(holder, 400, kStart + 1600ms);
  CHECK(growth.ended_ == std::vector{older});
  CHECK(memory.held() == 700);
  memory.Remove(older);
  CHECK(memory.held() == 700);
  memory.Remove(newer);
  CHECK(memory.held() == 400);
}

TEST_CASE("the sum of what is held exceeds the limits", "[routing]") {
  rc::prop("for any series of requests", [] {
    RequestMemory memory(Settings());
    std::vector<RequestMemory::HolderId> holders;
    std::map<RequestMemory::HolderId, std::size_t> sizes;
    auto now = kStart;
    const auto steps = *rc::gen::inRange(1, 200);
    for (int i = 0; i < steps; ++i) {
      now += std::chrono::milliseconds(*rc::gen::inRange(0, 400));
      if (holders.empty() || *rc::gen::inRange(0, 4) == 0) {
        holders.push_back(memory.Add());
        memory.BeginReceiving(holders.back(), now);
      }
      const auto holder = *rc::gen::elementOf(holders);
      switch (*rc::gen::inRange(0, 4)) {
        case 0:
          memory.EndReceiving(holder);
          break;
        case 1:
          memory.Remove(holder);
          std::erase(holders, holder);
          sizes.erase(holder);
          break;
        default: {
          const auto size = *rc::gen::inRange<std::size_t>(0, kTotal);
          const auto growth = memory.Grow(holder, size, now);
          for (const auto ended : growth.ended_) {
            RC_ASSERT(ended != holder);
            std::erase(holders, ended);
            sizes.erase(ended);
          }
          if (growth.granted_) {
            sizes[holder] = size;
          }
        }
      }
      std::size_t sum = 0;
      std::size_t large = 0;
      for (const auto& [id, size] : sizes) {
        sum += size;
        large += size > kSmall ? size : 0;
      }
      RC_ASSERT(memory.held() == sum);
      RC_ASSERT(sum <= kTotal);
      RC_ASSERT(large <= kForLarge);
    }
  });
}

}  // namespace
}  // namespace chalkwell::routing
