// The rollout state machine. Correctness never rests on turns: an order goes
// out only while nothing runs, and only the engine's report opens the endpoint
// again.
#include "chalkwell/rollout/activation.hpp"

#include <algorithm>

namespace chalkwell::rollout {
namespace {

/// Low bits of a fencing number tell processes apart, the rest counts.
constexpr unsigned kTieBits = 24;
constexpr std::uint64_t kTieMask = (std::uint64_t{1} << kTieBits) - 1;
constexpr std::uint64_t kOrderStep = 1;
/// A claim passes any order that the process before it can still have under
/// way, whatever its tie.
constexpr std::uint64_t kClaimStep = 2;
/// Leases that a process waits before it claims an engine again: the first
/// time, and when it was taken again soon.
constexpr int kReclaimLeases = 4;
constexpr int kMaxReclaimLeases = 8;

}  // namespace

Activation::Activation(ActivationSettings settings, ActivationFaults faults)
    : settings_(settings),
      faults_(faults),
      reclaim_wait_(kReclaimLeases * settings.lease_) {}

bool Activation::accepting(core::TimePoint now) const noexcept {
  const bool lease_stands = now - asked_at_ <= settings_.lease_;
  return accepting_ && (lease_stands || faults_.keep_state_after_pause_);
}

bool Activation::NeedsSwitch() const noexcept {
  if (!engine_ || target_.version_ == 0) {
    return false;
  }
  const Target held{engine_->version_, engine_->manifest_};
  return faults_.order_older_ ? target_ != held : target_ > held;
}

std::uint64_t Activation::NextFence(std::uint64_t step) const noexcept {
  const auto count = (fence_ >> kTieBits) + step;
  return (count << kTieBits) | (settings_.tie_breaker_ & kTieMask);
}

bool Activation::OthersAreGone(core::TimePoint now) const noexcept {
  if (ordered_ || faults_.skip_claim_) {
    return true;
  }
  // Work that an earlier process handed on may still run, and the engine
  // reports its load late: the report must be of well after the last lease.
  const auto since = claimed_at_.value_or(not_before_);
  return engine_ && engine_->load_ == 0 &&
         asked_at_ >= since + 2 * settings_.lease_ &&
         now >= since + 2 * settings_.lease_;
}

void Activation::Announcement(bool ready, Actions& actions) {
  accepting_ = ready;
  Announce announce{.ready_ = ready, .serving_ = {}};
  if (ready) {
    announce.serving_ = {engine_->version_, engine_->manifest_};
  }
  actions.emplace_back(announce);
}

void Activation::StartFetch(Actions& actions) {
  phase_ = Phase::kFetching;
  actions.emplace_back(FetchWeights{target_});
}

void Activation::Settle(Actions& actions) {
  Announcement(!engine_->manifest_.empty(), actions);
  if (NeedsSwitch()) {
    StartFetch(actions);
  } else {
    phase_ = Phase::kSettled;
  }
}

void Activation::Claim(Actions& actions) {
  phase_ = Phase::kClaiming;
  fence_ = NextFence(kClaimStep);
  own_fence_ = fence_;
  actions.emplace_back(SendClaim{own_fence_});
}

Actions Activation::OnTarget(const Target& target) {
  Actions actions;
  if (target <= target_) {
    return actions;
  }
  const auto abandoned = target_.manifest_;
  target_ = target;
  const bool fetched = phase_ == Phase::kFetching ||
                       phase_ == Phase::kWaitingForSlot ||
                       phase_ == Phase::kDraining;
  if (fetched && abandoned != target.manifest_) {
    actions.emplace_back(AbandonFetch{abandoned});
  }
  if (phase_ == Phase::kDraining) {
    Settle(actions);
  } else if ((fetched || phase_ == Phase::kSettled) && NeedsSwitch()) {
    StartFetch(actions);
  }
  return actions;
}

void Activation::DropFetch(Actions& actions) const {
  const bool fetched = phase_ == Phase::kFetching ||
                       phase_ == Phase::kWaitingForSlot ||
                       phase_ == Phase::kDraining;
  if (fetched && !faults_.keep_staged_over_restart_) {
    actions.emplace_back(AbandonFetch{target_.manifest_});
  }
}

void Activation::BecomeReplaced(core::TimePoint now, Actions& actions) {
  DropFetch(actions);
  const bool held_long = claimed_at_ && now - *claimed_at_ > reclaim_wait_;
  reclaim_wait_ = held_long ? kReclaimLeases * settings_.lease_
                            : std::min(2 * reclaim_wait_,
                                       kMaxReclaimLeases * settings_.lease_);
  phase_ = Phase::kReplaced;
  replaced_at_ = now;
  claimed_at_.reset();
  ordered_ = false;
  Announcement(false, actions);
}

bool Activation::MayReclaim(core::TimePoint now) const noexcept {
  return listed_ && !faults_.never_reclaim_ &&
         now - replaced_at_ >= reclaim_wait_;
}

bool Activation::CheckOwnership(const EngineState& state, core::TimePoint now,
                                Actions& actions) {
  if (!checks_fencing_ || faults_.skip_claim_) {
    return true;
  }
  if (state.fence_ > own_fence_ && own_fence_ != 0) {
    BecomeReplaced(now, actions);
    return false;
  }
  if (state.fence_ < own_fence_ || own_fence_ == 0) {
    // Never claimed, the claim was lost, or the engine has forgotten it.
    DropFetch(actions);
    claimed_at_.reset();
    ordered_ = false;
    Announcement(false, actions);
    Claim(actions);
    return false;
  }
  if (!claimed_at_) {
    claimed_at_ = now;
    phase_ = Phase::kHolding;
  }
  return true;
}

Actions Activation::OnEngineState(const EngineState& state,
                                  core::TimePoint asked_at,
                                  core::TimePoint now) {
  Actions actions;
  const bool out_of_date = asked_at < not_before_ || asked_at < asked_at_;
  if (out_of_date || phase_ == Phase::kAwaitingReply) {
    return actions;
  }
  fence_ = std::max(fence_, state.fence_);
  if (phase_ == Phase::kReplaced) {
    if (MayReclaim(now)) {
      Claim(actions);
    }
    return actions;
  }
  if (!CheckOwnership(state, now, actions)) {
    return actions;
  }
  const bool changed = !engine_ || engine_->manifest_ != state.manifest_ ||
                       engine_->version_ != state.version_;
  engine_ = state;
  asked_at_ = asked_at;
  const bool held_back =
      phase_ == Phase::kHolding && now - *claimed_at_ < settings_.lease_;
  if (held_back) {
    return actions;
  }
  const bool expected = phase_ == Phase::kQuerying ||
                        phase_ == Phase::kHolding ||
                        phase_ == Phase::kConfirming;
  if (expected || changed) {
    Settle(actions);
  }
  return actions;
}

Actions Activation::OnEngineLost() {
  Actions actions;
  if (phase_ == Phase::kQuerying || phase_ == Phase::kReplaced) {
    return actions;
  }
  DropFetch(actions);
  phase_ = Phase::kQuerying;
  engine_.reset();
  Announcement(false, actions);
  return actions;
}

Actions Activation::OnStaged(const core::Digest& manifest,
                             core::TimePoint now) {
  Actions actions;
  if (phase_ != Phase::kFetching || manifest != target_.manifest_) {
    return actions;
  }
  staged_at_ = now;
  if (accepting_) {
    phase_ = Phase::kWaitingForSlot;
    return actions;
  }
  phase_ = Phase::kDraining;
  return OnDrained(now);
}

Actions Activation::OnRolloutSlot() {
  Actions actions;
  if (phase_ != Phase::kWaitingForSlot) {
    return actions;
  }
  if (faults_.order_while_serving_) {
    Order(actions);
    return actions;
  }
  phase_ = Phase::kDraining;
  Announcement(false, actions);
  actions.emplace_back(Drain{});
  return actions;
}

Actions Activation::OnDrained(core::TimePoint now) {
  Actions actions;
  const bool lease_stands = now - asked_at_ <= settings_.lease_;
  // An engine that restarted since the weights were staged has lost them; only
  // a report asked for afterwards shows that it did not.
  const bool still_staged =
      asked_at_ >= staged_at_ || faults_.keep_staged_over_restart_;
  if (phase_ == Phase::kDraining && lease_stands && still_staged &&
      OthersAreGone(now)) {
    Order(actions);
  }
  return actions;
}

void Activation::Order(Actions& actions) {
  phase_ = Phase::kAwaitingReply;
  fence_ = NextFence(kOrderStep);
  own_fence_ = fence_;
  actions.emplace_back(SendOrder{target_, faults_.drop_fence_ ? 0 : fence_});
  if (faults_.announce_before_confirmation_) {
    engine_ = EngineState{target_.version_, target_.manifest_, fence_, 0};
    Announcement(true, actions);
  }
}

Actions Activation::OnOrderAnswered(core::TimePoint now) {
  Actions actions;
  if (phase_ == Phase::kAwaitingReply) {
    phase_ = Phase::kConfirming;
    ordered_ = true;
  } else if (phase_ != Phase::kClaiming) {
    return actions;
  }
  not_before_ = now;
  actions.emplace_back(QueryEngine{});
  return actions;
}

Actions Activation::OnPause(core::TimePoint now) {
  Actions actions;
  const bool ordering =
      phase_ == Phase::kAwaitingReply || phase_ == Phase::kClaiming;
  if (faults_.keep_state_after_pause_ || ordering ||
      phase_ == Phase::kReplaced) {
    return actions;
  }
  DropFetch(actions);
  phase_ = Phase::kQuerying;
  not_before_ = now;
  engine_.reset();
  Announcement(false, actions);
  actions.emplace_back(QueryEngine{});
  return actions;
}

}  // namespace chalkwell::rollout
