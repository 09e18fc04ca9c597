// Slots of an endpoint: a table of verdicts, and random lives against a simple
// oracle.
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

TEST_CASE("a run starts, waits or is refused", "[routing]") {
  struct Row {
    int before_;
    SlotDecision verdict_;
  };
  const auto row =
      GENERATE(Row{0, SlotDecision::kStart}, Row{1, SlotDecision::kStart},
               Row{2, SlotDecision::kWait}, Row{4, SlotDecision::kWait},
               Row{5, SlotDecision::kFull});
  SlotQueue slots({.capacity_ = 2, .max_waiting_ = 3});
  std::uint64_t run = 0;
  for (int i = 0; i < row.before_; ++i) {
    (void)slots.Offer(++run, kNorth, kStart);
  }
  CHECK(slots.Offer(++run, kSouth, kStart) == row.verdict_);
}

TEST_CASE("entries take turns, whoever sends more", "[routing]") {
  SlotQueue slots({.capacity_ = 1, .max_waiting_ = 10});
  (void)slots.Offer(1, kNorth, kStart);
  for (const std::uint64_t run : {2, 3, 4}) {
    (void)slots.Offer(run, kNorth, kStart);
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

TEST_CASE("sharers are the senders of late, at least one", "[routing]") {
  SlotQueue slots({.sender_activity_window_ = 5s});
  CHECK(slots.active_senders(kStart) == 1);
  (void)slots.Offer(1, kNorth, kStart);
  (void)slots.Offer(2, kSouth, kStart + 3s);
  CHECK(slots.active_senders(kStart + 3s) == 2);
  CHECK(slots.active_senders(kStart + 6s) == 1);
  CHECK(slots.active_senders(kStart + 60s) == 1);
}

/// What must be true, kept as plainly as can be.
struct SlotOracle {
  std::set<std::uint64_t> running_;
  std::map<std::uint64_t, int> waiting_;
};

TEST_CASE("no run is lost or started twice, and slots do not stay empty",
          "[routing]") {
  rc::prop("slot queue", [] {
    constexpr std::size_t kCapacity = 3;
    constexpr std::size_t kMaxWaiting = 5;
    SlotQueue slots({.capacity_ = kCapacity, .max_waiting_ = kMaxWaiting});
    SlotOracle oracle;
    std::uint64_t next = 0;
    const auto start_waiting = [&] {
      while (const auto run = slots.Next()) {
        RC_ASSERT(oracle.waiting_.erase(*run) == 1U);
        RC_ASSERT(oracle.running_.insert(*run).second);
      }
    };
    const auto steps =
        *rc::gen::container<std::vector<int>>(300, rc::gen::inRange(0, 100));
    for (const int lot : steps) {
      const int sender = lot % 4;
      if (lot < 60) {
        const auto verdict = slots.Offer(
            ++next, core::InstanceId(std::to_string(sender)), kStart);
        const bool full = oracle.running_.size() == kCapacity;
        RC_ASSERT((verdict == SlotDecision::kStart) == !full);
        if (verdict == SlotDecision::kStart) {
          oracle.running_.insert(next);
        } else if (verdict == SlotDecision::kWait) {
          oracle.waiting_[next] = sender;
        } else {
          RC_ASSERT(oracle.waiting_.size() == kMaxWaiting);
        }
      } else if (lot < 85 && !oracle.running_.empty()) {
        oracle.running_.erase(oracle.running_.begin());
        slots.Release();
        start_waiting();
      } else if (lot < 97 && !oracle.waiting_.empty()) {
        const auto run = oracle.waiting_.begin()->first;
        oracle.waiting_.erase(run);
        RC_ASSERT(slots.Remove(run));
        RC_ASSERT(!slots.Remove(run));
      } else if (lot >= 97) {
        RC_ASSERT(slots.TakeWaiting().size() == oracle.waiting_.size());
        oracle.waiting_.clear();
      }
      RC_ASSERT(slots.in_use() == oracle.running_.size());
      RC_ASSERT(slots.waiting() == oracle.waiting_.size());
      RC_ASSERT(oracle.waiting_.empty() || oracle.running_.size() == kCapacity);
    }
  });
}

}  // namespace
}  // namespace chalkwell::routing
