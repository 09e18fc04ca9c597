// State machine of the rollout of one endpoint, and rollout slots.
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

template <typename ActionType>
std::optional<ActionType> Find(const Actions& actions) {
  for (const auto& action : actions) {
    if (const auto* found = std::get_if<ActionType>(&action)) {
      return *found;
    }
  }
  return std::nullopt;
}

/// Claims an engine with the weights `active` and waits for the lease to
/// expire.
/// @return the fencing number of the claim.
std::uint64_t ClaimEngine(Activation& activation, const Target& active) {
  EngineState state{active.version_, active.manifest_, 0, 0};
  const auto claim =
      Find<SendClaim>(activation.OnEngineState(state, kStart, kStart));
  REQUIRE(claim.has_value());
  state.fence_ = claim->fence_;
  (void)activation.OnOrderReply(kStart);
  (void)activation.OnEngineState(state, kStart, kStart);
  CHECK_FALSE(activation.accepting(kStart));
  (void)activation.OnEngineState(state, kStart + 2s, kStart + 2s);
  return state.fence_;
}

TEST_CASE("a rollout fetches, waits for its slot, drains, orders and confirms",
          "[rollout]") {
  Activation activation({.lease_ = 1s, .tie_breaker_ = 5});
  const auto fence = ClaimEngine(activation, kFirst);
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
  CHECK(Find<QueryEngine>(activation.OnOrderReply(now)).has_value());
  const EngineState confirmed{2, kSecond.manifest_, order->fence_, 0};
  const auto announcement =
      Find<Announce>(activation.OnEngineState(confirmed, now, now));
  REQUIRE(announcement.has_value());
  CHECK(announcement->ready_);
  CHECK(announcement->serving_ == kSecond);
}

TEST_CASE("the reply to a query sent before the order is stale", "[rollout]") {
  Activation activation({.lease_ = 1s, .tie_breaker_ = 5});
  const auto fence = ClaimEngine(activation, kFirst);
  const auto now = kStart + 2s;
  (void)activation.OnTarget(kSecond);
  (void)activation.OnStaged(kSecond.manifest_, now);
  (void)activation.OnRolloutSlot();
  (void)activation.OnDrained(now);
  (void)activation.OnOrderReply(now + 100ms);
  const EngineState before{1, kFirst.manifest_, fence, 0};
  CHECK(activation.OnEngineState(before, now, now + 200ms).empty());
  CHECK_FALSE(activation.accepting(now + 200ms));
}

TEST_CASE("a process in the published list reclaims its engine", "[rollout]") {
  struct Row {
    bool listed_;
    std::chrono::seconds wait_;
    bool replaced_again_;
    bool reclaims_;
  };
  const auto row =
      GENERATE(Row{true, 7s, false, false}, Row{true, 8s, false, true},
               Row{false, 60s, false, false}, Row{true, 7s, true, false},
               Row{true, 8s, true, true});
  Activation activation({.lease_ = 1s, .tie_breaker_ = 5});
  const auto fence = ClaimEngine(activation, kFirst);
  activation.SetListed(row.listed_);
  auto now = kStart + 2s;
  EngineState taken{1, kFirst.manifest_, fence + (1U << 25U), 0};
  (void)activation.OnEngineState(taken, now, now);
  REQUIRE(activation.phase() == Phase::kReplaced);
  if (row.replaced_again_) {
    now += 8s;
    (void)activation.OnEngineState(taken, now, now);
    (void)activation.OnOrderReply(now);
    taken.fence_ += 1U << 27U;
    (void)activation.OnEngineState(taken, now, now);
    REQUIRE(activation.phase() == Phase::kReplaced);
  }
  now += row.wait_;
  const auto claim = Find<SendClaim>(activation.OnEngineState(taken, now, now));
  CHECK(claim.has_value() == row.reclaims_);
  CHECK_FALSE(activation.accepting(now));
  if (claim) {
    CHECK(claim->fence_ > taken.fence_);
    taken.fence_ = claim->fence_;
    (void)activation.OnOrderReply(now);
    (void)activation.OnEngineState(taken, now, now);
    CHECK_FALSE(activation.accepting(now));
    (void)activation.OnEngineState(taken, now + 1s, now + 1s);
    CHECK(activation.accepting(now + 1s));
  }
}

TEST_CASE("a replaced process that is not listed stays idle", "[rollout]") {
  Activation activation({.lease_ = 1s, .tie_breaker_ = 5});
  const auto fence = ClaimEngine(activation, kFirst);
  const auto now = kStart + 2s;
  const EngineState taken{1, kFirst.manifest_, fence + (1U << 25U), 0};
  (void)activation.OnEngineState(taken, now, now);
  CHECK(activation.phase() == Phase::kReplaced);
  CHECK_FALSE(activation.accepting(now));
  CHECK(activation.OnTarget(kSecond).empty());
}

TEST_CASE("requests are accepted only within the lease", "[rollout]") {
  Activation activation({.lease_ = 1s, .tie_breaker_ = 5});
  (void)ClaimEngine(activation, kFirst);
  CHECK(activation.accepting(kStart + 3s));
  CHECK_FALSE(activation.accepting(kStart + 3s + 1ms));
}

TEST_CASE("the first order waits for requests of earlier processes",
          "[rollout]") {
  Activation activation({.lease_ = 1s, .tie_breaker_ = 5});
  const auto fence = ClaimEngine(activation, kFirst);
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

TEST_CASE("an engine with a newer version is never downgraded", "[rollout]") {
  Activation activation({.lease_ = 1s, .tie_breaker_ = 5});
  (void)ClaimEngine(activation, kSecond);
  CHECK(activation.OnTarget(kFirst).empty());
  CHECK(activation.accepting(kStart + 2s));
}

TEST_CASE("a superseded target is abandoned in any phase", "[rollout]") {
  const Target third{3, core::Digest::Of("third")};
  const auto stage = GENERATE(0, 1, 2);
  Activation activation({.lease_ = 1s, .tie_breaker_ = 5});
  (void)ClaimEngine(activation, kFirst);
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

TEST_CASE("staged weights are abandoned when the engine may have restarted",
          "[rollout]") {
  const auto stage = GENERATE(0, 1, 2);
  struct Row {
    std::string name_;
    std::function<Actions(Activation&, core::TimePoint)> interrupt_;
  };
  const auto row = GENERATE(
      Row{"lost", [](Activation& activation,
                     core::TimePoint) { return activation.OnEngineLost(); }},
      Row{"suspended",
          [](Activation& activation, core::TimePoint now) {
            return activation.OnSuspension(now);
          }},
      Row{"lost claim", [](Activation& activation, core::TimePoint now) {
            return activation.OnEngineState({}, now, now);
          }});
  CAPTURE(row.name_, stage);
  Activation activation({.lease_ = 1s, .tie_breaker_ = 5});
  (void)ClaimEngine(activation, kFirst);
  const auto now = kStart + 2s;
  (void)activation.OnTarget(kSecond);
  if (stage > 0) {
    (void)activation.OnStaged(kSecond.manifest_, now);
  }
  if (stage > 1) {
    (void)activation.OnRolloutSlot();
  }
  const auto dropped = Find<AbandonFetch>(row.interrupt_(activation, now));
  REQUIRE(dropped.has_value());
  CHECK(dropped->manifest_ == kSecond.manifest_);
  CHECK(activation.OnStaged(kSecond.manifest_, now).empty());
  CHECK(activation.OnDrained(now).empty());
}

TEST_CASE("an order waits for a report queried after staging", "[rollout]") {
  Activation activation({.lease_ = 1s, .tie_breaker_ = 5});
  const auto fence = ClaimEngine(activation, kFirst);
  const auto now = kStart + 2s;
  (void)activation.OnTarget(kSecond);
  (void)activation.OnStaged(kSecond.manifest_, now + 100ms);
  (void)activation.OnRolloutSlot();
  CHECK(activation.OnDrained(now + 100ms).empty());
  const EngineState same{1, kFirst.manifest_, fence, 0};
  (void)activation.OnEngineState(same, now + 200ms, now + 200ms);
  CHECK(Find<SendOrder>(activation.OnDrained(now + 200ms)).has_value());
}

TEST_CASE("rollout slots keep a share of the members serving", "[rollout]") {
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
  const auto members_with_slot = [&](core::TimePoint now) {
    return std::count_if(
        turns.begin(), turns.end(),
        [&](const RolloutSlots& turn) { return turn.MayDrain(now); });
  };
  CHECK(members_with_slot(kStart) == 3);
  CHECK(members_with_slot(kStart + 10s) == 6);
  for (auto& turn : turns) {
    for (const auto& member : members) {
      turn.OnServing(member, 7, kStart + 1s);
    }
  }
  CHECK(members_with_slot(kStart + 1s) == 10);
}

}  // namespace
}  // namespace chalkwell::rollout
