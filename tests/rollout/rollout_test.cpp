// The rollout of one endpoint, step by step, and turns.
#include <catch2/catch.hpp>
#include <functional>
#include <string>

#include "chalkwell/rollout/activation.hpp"
#include "chalkwell/rollout/rollout_slots.hpp"

namespace chalkwell::rollout {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart(1h);
const Target kFirst{1, core::Digest::Of("first")};
const Target kSecond{2, core::Digest::Of("second")};

template <typename Wanted>
std::optional<Wanted> Find(const Actions& actions) {
  for (const auto& action : actions) {
    if (const auto* found = std::get_if<Wanted>(&action)) {
      return *found;
    }
  }
  return std::nullopt;
}

/// Claims an engine that holds `held` and waits out the lease.
std::uint64_t Hold(Activation& activation, const Target& held) {
  EngineState state{held.version_, held.manifest_, 0, 0};
  const auto claim =
      Find<SendClaim>(activation.OnEngineState(state, kStart, kStart));
  REQUIRE(claim.has_value());
  state.fence_ = claim->fence_;
  (void)activation.OnOrderAnswered(kStart);
  (void)activation.OnEngineState(state, kStart, kStart);
  CHECK_FALSE(activation.accepting(kStart));
  (void)activation.OnEngineState(state, kStart + 2s, kStart + 2s);
  return state.fence_;
}

TEST_CASE("one roll: fetch, turn, drain, order, confirm", "[rollout]") {
  Activation activation({.lease_ = 1s, .tie_breaker_ = 5});
  const auto fence = Hold(activation, kFirst);
  auto now = kStart + 2s;
  CHECK(activation.accepting(now));
  CHECK(Find<FetchWeights>(activation.OnTarget(kSecond)).has_value());
  CHECK(activation.OnStaged(kSecond.manifest_, now).empty());
  CHECK(activation.phase() == Phase::kWaitingForSlot);
  CHECK(Find<Drain>(activation.OnRolloutSlot()).has_value());
  CHECK_FALSE(activation.accepting(now));
  const auto order = Find<SendOrder>(activation.OnDrained(now));
  REQUIRE(order.has_value());
  CHECK(order->fence_ > fence);
  CHECK(Find<QueryEngine>(activation.OnOrderAnswered(now)).has_value());
  const EngineState confirmed{2, kSecond.manifest_, order->fence_, 0};
  const auto news =
      Find<Announce>(activation.OnEngineState(confirmed, now, now));
  REQUIRE(news.has_value());
  CHECK(news->ready_);
  CHECK(news->serving_ == kSecond);
}

TEST_CASE("an answer asked for before the order is out of date", "[rollout]") {
  Activation activation({.lease_ = 1s, .tie_breaker_ = 5});
  const auto fence = Hold(activation, kFirst);
  const auto now = kStart + 2s;
  (void)activation.OnTarget(kSecond);
  (void)activation.OnStaged(kSecond.manifest_, now);
  (void)activation.OnRolloutSlot();
  (void)activation.OnDrained(now);
  (void)activation.OnOrderAnswered(now + 100ms);
  const EngineState before{1, kFirst.manifest_, fence, 0};
  CHECK(activation.OnEngineState(before, now, now + 200ms).empty());
  CHECK_FALSE(activation.accepting(now + 200ms));
}

TEST_CASE("a process that the list names claims its engine again",
          "[rollout]") {
  struct Row {
    bool listed_;
    std::chrono::seconds since_;
    bool again_soon_;
    bool claims_;
  };
  const auto row =
      GENERATE(Row{true, 7s, false, false}, Row{true, 8s, false, true},
               Row{false, 60s, false, false}, Row{true, 7s, true, false},
               Row{true, 8s, true, true});
  Activation activation({.lease_ = 1s, .tie_breaker_ = 5});
  const auto fence = Hold(activation, kFirst);
  activation.SetListed(row.listed_);
  auto now = kStart + 2s;
  EngineState taken{1, kFirst.manifest_, fence + (1U << 25U), 0};
  (void)activation.OnEngineState(taken, now, now);
  REQUIRE(activation.phase() == Phase::kReplaced);
  if (row.again_soon_) {
    now += 8s;
    (void)activation.OnEngineState(taken, now, now);
    (void)activation.OnOrderAnswered(now);
    taken.fence_ += 1U << 27U;
    (void)activation.OnEngineState(taken, now, now);
    REQUIRE(activation.phase() == Phase::kReplaced);
  }
  now += row.since_;
  const auto claim = Find<SendClaim>(activation.OnEngineState(taken, now, now));
  CHECK(claim.has_value() == row.claims_);
  CHECK_FALSE(activation.accepting(now));
  if (claim) {
    CHECK(claim->fence_ > taken.fence_);
    taken.fence_ = claim->fence_;
    (void)activation.OnOrderAnswered(now);
    (void)activation.OnEngineState(taken, now, now);
    CHECK_FALSE(activation.accepting(now));
    (void)activation.OnEngineState(taken, now + 1s, now + 1s);
    CHECK(activation.accepting(now + 1s));
  }
}

TEST_CASE("a process that lost its engine stops for good", "[rollout]") {
  Activation activation({.lease_ = 1s, .tie_breaker_ = 5});
  const auto fence = Hold(activation, kFirst);
  const auto now = kStart + 2s;
  const EngineState taken{1, kFirst.manifest_, fence + (1U << 25U), 0};
  (void)activation.OnEngineState(taken, now, now);
  CHECK(activation.phase() == Phase::kReplaced);
  CHECK_FALSE(activation.accepting(now));
  CHECK(activation.OnTarget(kSecond).empty());
}

TEST_CASE("work is handed on only within the lease", "[rollout]") {
  Activation activation({.lease_ = 1s, .tie_breaker_ = 5});
  (void)Hold(activation, kFirst);
  CHECK(activation.accepting(kStart + 3s));
  CHECK_FALSE(activation.accepting(kStart + 3s + 1ms));
}

TEST_CASE("the first order waits for what came before", "[rollout]") {
  Activation activation({.lease_ = 1s, .tie_breaker_ = 5});
  const auto fence = Hold(activation, kFirst);
  auto now = kStart + 2s;
  const EngineState busy{1, kFirst.manifest_, fence, 3};
  (void)activation.OnEngineState(busy, now, now);
  (void)activation.OnTarget(kSecond);
  (void)activation.OnStaged(kSecond.manifest_, now);
  (void)activation.OnRolloutSlot();
  CHECK(activation.OnDrained(now).empty());
  const EngineState idle{1, kFirst.manifest_, fence, 0};
  (void)activation.OnEngineState(idle, now, now);
  CHECK(Find<SendOrder>(activation.OnDrained(now)).has_value());
}

TEST_CASE("an engine that is ahead is never ordered back", "[rollout]") {
  Activation activation({.lease_ = 1s, .tie_breaker_ = 5});
  (void)Hold(activation, kSecond);
  CHECK(activation.OnTarget(kFirst).empty());
  CHECK(activation.accepting(kStart + 2s));
}

TEST_CASE("a superseded version is dropped at any stage", "[rollout]") {
  const Target third{3, core::Digest::Of("third")};
  const auto stage = GENERATE(0, 1, 2);
  Activation activation({.lease_ = 1s, .tie_breaker_ = 5});
  (void)Hold(activation, kFirst);
  (void)activation.OnTarget(kSecond);
  if (stage > 0) {
    (void)activation.OnStaged(kSecond.manifest_, kStart + 2s);
  }
  if (stage > 1) {
    (void)activation.OnRolloutSlot();
  }
  const auto actions = activation.OnTarget(third);
  CHECK(Find<AbandonFetch>(actions)->manifest_ == kSecond.manifest_);
  CHECK(Find<FetchWeights>(actions)->target_ == third);
  CHECK(activation.accepting(kStart + 2s));
  CHECK(activation.OnStaged(kSecond.manifest_, kStart + 2s).empty());
}

TEST_CASE("what was staged counts only for an engine that did not restart",
          "[rollout]") {
  const auto stage = GENERATE(0, 1, 2);
  struct Row {
    std::string name_;
    std::function<Actions(Activation&, core::TimePoint)> strike_;
  };
  const auto row = GENERATE(
      Row{"lost", [](Activation& activation,
                     core::TimePoint) { return activation.OnEngineLost(); }},
      Row{"paused",
          [](Activation& activation, core::TimePoint now) {
            return activation.OnPause(now);
          }},
      Row{"forgotten claim", [](Activation& activation, core::TimePoint now) {
            return activation.OnEngineState({}, now, now);
          }});
  CAPTURE(row.name_, stage);
  Activation activation({.lease_ = 1s, .tie_breaker_ = 5});
  (void)Hold(activation, kFirst);
  const auto now = kStart + 2s;
  (void)activation.OnTarget(kSecond);
  if (stage > 0) {
    (void)activation.OnStaged(kSecond.manifest_, now);
  }
  if (stage > 1) {
    (void)activation.OnRolloutSlot();
  }
  const auto dropped = Find<AbandonFetch>(row.strike_(activation, now));
  REQUIRE(dropped.has_value());
  CHECK(dropped->manifest_ == kSecond.manifest_);
  CHECK(activation.OnStaged(kSecond.manifest_, now).empty());
  CHECK(activation.OnDrained(now).empty());
}

TEST_CASE("an order waits for a report asked for after staging", "[rollout]") {
  Activation activation({.lease_ = 1s, .tie_breaker_ = 5});
  const auto fence = Hold(activation, kFirst);
  const auto now = kStart + 2s;
  (void)activation.OnTarget(kSecond);
  (void)activation.OnStaged(kSecond.manifest_, now + 100ms);
  (void)activation.OnRolloutSlot();
  CHECK(activation.OnDrained(now + 100ms).empty());
  const EngineState same{1, kFirst.manifest_, fence, 0};
  (void)activation.OnEngineState(same, now + 200ms, now + 200ms);
  CHECK(Find<SendOrder>(activation.OnDrained(now + 200ms)).has_value());
}

TEST_CASE("turns keep a share of the members serving", "[rollout]") {
  std::set<core::InstanceId> members;
  for (int i = 0; i < 10; ++i) {
    members.insert(core::InstanceId("m" + std::to_string(i)));
  }
  std::vector<RolloutSlots> turns;
  for (const auto& member : members) {
    turns.emplace_back(member, 0.3, 10s);
    turns.back().SetMembers(members);
    turns.back().StartRollout(7, kStart);
  }
  const auto free_now = [&](core::TimePoint now) {
    return std::count_if(
        turns.begin(), turns.end(),
        [&](const RolloutSlots& turn) { return turn.MayDrain(now); });
  };
  CHECK(free_now(kStart) == 3);
  CHECK(free_now(kStart + 10s) == 6);
  for (auto& turn : turns) {
    for (const auto& member : members) {
      turn.OnServing(member, 7, kStart + 1s);
    }
  }
  CHECK(free_now(kStart + 1s) == 10);
}

}  // namespace
}  // namespace chalkwell::rollout
