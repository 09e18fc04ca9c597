// Slots of an endpoint: a table of results, and random sequences of calls
// checked against a reference model.
#include "chalkwell/routing/slot_queue.hpp"

#include <rapidcheck.h>
#include <rapidcheck/catch.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <map>
#include <set>

namespace chalkwell::routing {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart(1h);
const core::InstanceId kNorth("north");
const core::InstanceId kSouth("south");

TEST_CASE("an attempt starts, waits or is refused", "[routing]") {
  struct Row {
    int before_;
    SlotDecision verdict_;
  };
  const auto row =
      GENERATE(Row{0, SlotDecision::kStart}, Row{1, SlotDecision::kStart},
               Row{2, SlotDecision::kWait}, Row{4, SlotDecision::kWait},
               Row{5, SlotDecision::kFull});
  SlotQueue slots({.capacity_ = 2, .max_waiting_ = 3});
  std::uint64_t attempt = 0;
  for (int i = 0; i < row.before_; ++i) {
    (void)slots.Offer(++attempt, kNorth, kStart);
  }
  CHECK(slots.Offer(++attempt, kSouth, kStart) == row.verdict_);
}

TEST_CASE("slots are assigned round robin over entries, whatever their load",
          "[routing]") {
  SlotQueue slots({.capacity_ = 1, .max_waiting_ = 10});
  (void)slots.Offer(1, kNorth, kStart);
  for (const std::uint64_t attempt : {2, 3, 4}) {
    (void)slots.Offer(attempt, kNorth, kStart);
  }
  (void)slots.Offer(5, kSouth, kStart);
  std::vector<std::uint64_t> order;
  for (int i = 0; i < 4; ++i) {
    slots.Release();
    order.push_back(slots.Next().value());
    CHECK_FALSE(slots.Next().has_value());
  }
  CHECK(order == std::vector<std::uint64_t>{2, 5, 3, 4});
}

TEST_CASE("recently active entries are counted, at least one", "[routing]") {
  SlotQueue slots({.entry_activity_window_ = 5s});
  CHECK(slots.active_entries(kStart) == 1);
  (void)slots.Offer(1, kNorth, kStart);
  (void)slots.Offer(2, kSouth, kStart + 3s);
  CHECK(slots.active_entries(kStart + 3s) == 2);
  CHECK(slots.active_entries(kStart + 6s) == 1);
  CHECK(slots.active_entries(kStart + 60s) == 1);
}

/// Reference model.
struct SlotModel {
  std::set<std::uint64_t> running_;
  std::map<std::uint64_t, int> waiting_;
};

TEST_CASE(
    "no attempt is lost or started twice, and no slot is free while attempts "
    "wait",
    "[routing]") {
  rc::prop("slot queue", [] {
    constexpr std::size_t kCapacity = 3;
    constexpr std::size_t kMaxWaiting = 5;
    SlotQueue slots({.capacity_ = kCapacity, .max_waiting_ = kMaxWaiting});
    SlotModel model;
    std::uint64_t next = 0;
    const auto start_waiting = [&] {
      while (const auto attempt = slots.Next()) {
        RC_ASSERT(model.waiting_.erase(*attempt) == 1U);
        RC_ASSERT(model.running_.insert(*attempt).second);
      }
    };
    const auto steps =
        *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 100));
    for (const int step : steps) {
      const int entry = step % 4;
      if (step < 60) {
        const auto verdict = slots.Offer(
            ++next, core::InstanceId(std::to_string(entry)), kStart);
        const bool full = model.running_.size() == kCapacity;
        RC_ASSERT((verdict == SlotDecision::kStart) == !full);
        if (verdict == SlotDecision::kStart) {
          model.running_.insert(next);
        } else if (verdict == SlotDecision::kWait) {
          model.waiting_[next] = entry;
        } else {
          RC_ASSERT(model.waiting_.size() == kMaxWaiting);
        }
      } else if (step < 85 && !model.running_.empty()) {
        model.running_.erase(model.running_.begin());
        slots.Release();
        start_waiting();
      } else if (step < 97 && !model.waiting_.empty()) {
        const auto attempt = model.waiting_.begin()->first;
        model.waiting_.erase(attempt);
        RC_ASSERT(slots.Remove(attempt));
        RC_ASSERT(!slots.Remove(attempt));
      } else if (step >= 97) {
        RC_ASSERT(slots.TakeWaiting().size() == model.waiting_.size());
        model.waiting_.clear();
      }
      RC_ASSERT(slots.in_use() == model.running_.size());
      RC_ASSERT(slots.waiting() == model.waiting_.size());
      RC_ASSERT(model.waiting_.empty() || model.running_.size() == kCapacity);
    }
  });
}

}  // namespace
}  // namespace chalkwell::routing
