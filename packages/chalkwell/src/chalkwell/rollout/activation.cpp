// State machine of a rollout. Rollout slots only limit how many endpoints are
// unavailable; correctness does not depend on them: an activation order is sent
// only while the engine runs no requests, and the endpoint accepts requests
// again only after the engine has reported its state.
#include "chalkwell/rollout/activation.hpp"

#include <algorithm>

namespace chalkwell::rollout {
namespace {

/// The low bits of a fencing number distinguish processes; the high bits are a
/// counter.
constexpr unsigned kTieBreakerBits = 24;
constexpr std::uint64_t kTieBreakerMask =
    (std::uint64_t{1} << kTieBreakerBits) - 1;
constexpr std::uint64_t kOrderStep = 1;
/// A claim must exceed every order that the previous process may still have in
/// flight, whatever its tie breaker.
constexpr std::uint64_t kClaimStep = 2;
/// Leases that a process waits before it reclaims an engine. The wait doubles,
/// up to the maximum, each time the process is replaced before that wait has
/// passed since its claim was confirmed.
constexpr int kReclaimLeases = 4;
constexpr int kMaxReclaimLeases = 8;

}  // namespace

Activation::Activation(ActivationSettings settings, ActivationFaults faults)
    : settings_(settings),
      faults_(faults),
      reclaim_wait_(kReclaimLeases * settings.lease_) {}

bool Activation::accepting(core::TimePoint now) const noexcept {
  const bool lease_valid = now - queried_at_ <= settings_.lease_;
  return accepting_ && (lease_valid || faults_.keep_state_after_suspension_);
}

bool Activation::NeedsSwitch() const noexcept {
  if (!engine_ || target_.version_ == 0) {
    return false;
  }
  const Target active{engine_->version_, engine_->manifest_};
  return faults_.order_older_ ? target_ != active : target_ > active;
}

std::uint64_t Activation::NextFence(std::uint64_t step) const noexcept {
  const auto count = (fence_ >> kTieBreakerBits) + step;
  return (count << kTieBreakerBits) |
         (settings_.tie_breaker_ & kTieBreakerMask);
}

bool Activation::EarlierProcessesDone(core::TimePoint now) const noexcept {
  if (has_ordered_ || faults_.skip_claim_) {
    return true;
  }
  // Requests from an earlier process may still be running, and the engine
  // reports its load with a delay. The report must therefore be queried well
  // after the earlier process's lease has expired: two leases after the claim.
  const auto since = claimed_at_.value_or(min_query_time_);
  return engine_ && engine_->load_ == 0 &&
         queried_at_ >= since + 2 * settings_.lease_ &&
         now >= since + 2 * settings_.lease_;
}

void Activation::AppendAnnouncement(bool ready, Actions& actions) {
  accepting_ = ready;
  Announce announcement{.ready_ = ready, .serving_ = {}};
  if (ready) {
    announcement.serving_ = {engine_->version_, engine_->manifest_};
  }
  actions.emplace_back(announcement);
}

void Activation::StartFetch(Actions& actions) {
  phase_ = Phase::kFetching;
  actions.emplace_back(FetchWeights{target_});
}

void Activation::Reconcile(Actions& actions) {
  AppendAnnouncement(!engine_->manifest_.empty(), actions);
  if (NeedsSwitch()) {
    StartFetch(actions);
  } else {
    phase_ = Phase::kUpToDate;
  }
}

void Activation::AppendClaim(Actions& actions) {
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
  const auto previous_manifest = target_.manifest_;
  target_ = target;
  const bool has_fetch = phase_ == Phase::kFetching ||
                         phase_ == Phase::kWaitingForSlot ||
                         phase_ == Phase::kDraining;
  if (has_fetch && previous_manifest != target.manifest_) {
    actions.emplace_back(AbandonFetch{previous_manifest});
  }
  if (phase_ == Phase::kDraining) {
    Reconcile(actions);
  } else if ((has_fetch || phase_ == Phase::kUpToDate) && NeedsSwitch()) {
    StartFetch(actions);
  }
  return actions;
}

void Activation::AbandonCurrentFetch(Actions& actions) const {
  const bool has_fetch = phase_ == Phase::kFetching ||
                         phase_ == Phase::kWaitingForSlot ||
                         phase_ == Phase::kDraining;
  if (has_fetch && !faults_.keep_staged_over_restart_) {
    actions.emplace_back(AbandonFetch{target_.manifest_});
  }
}

void Activation::EnterReplaced(core::TimePoint now, Actions& actions) {
  AbandonCurrentFetch(actions);
  const bool was_stable = claimed_at_ && now - *claimed_at_ > reclaim_wait_;
  reclaim_wait_ = was_stable ? kReclaimLeases * settings_.lease_
                             : std::min(2 * reclaim_wait_,
                                        kMaxReclaimLeases * settings_.lease_);
  phase_ = Phase::kReplaced;
  replaced_at_ = now;
  claimed_at_.reset();
  has_ordered_ = false;
  AppendAnnouncement(false, actions);
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
    EnterReplaced(now, actions);
    return false;
  }
  if (state.fence_ < own_fence_ || own_fence_ == 0) {
    // Not claimed yet, the claim was lost, or the engine restarted and lost it.
    AbandonCurrentFetch(actions);
    claimed_at_.reset();
    has_ordered_ = false;
    AppendAnnouncement(false, actions);
    AppendClaim(actions);
    return false;
  }
  if (!claimed_at_) {
    claimed_at_ = now;
    phase_ = Phase::kWaitingForLeases;
  }
  return true;
}

Actions Activation::OnEngineState(const EngineState& state,
                                  core::TimePoint queried_at,
                                  core::TimePoint now) {
  Actions actions;
  const bool stale = queried_at < min_query_time_ || queried_at < queried_at_;
  if (stale || phase_ == Phase::kAwaitingReply) {
    return actions;
  }
  fence_ = std::max(fence_, state.fence_);
  if (phase_ == Phase::kReplaced) {
    if (MayReclaim(now)) {
      AppendClaim(actions);
    }
    return actions;
  }
  if (!CheckOwnership(state, now, actions)) {
    return actions;
  }
  const bool changed = !engine_ || engine_->manifest_ != state.manifest_ ||
                       engine_->version_ != state.version_;
  engine_ = state;
  queried_at_ = queried_at;
  const bool lease_pending = phase_ == Phase::kWaitingForLeases &&
                             now - *claimed_at_ < settings_.lease_;
  if (lease_pending) {
    return actions;
  }
  const bool was_awaited = phase_ == Phase::kQuerying ||
                           phase_ == Phase::kWaitingForLeases ||
                           phase_ == Phase::kConfirming;
  if (was_awaited || changed) {
    Reconcile(actions);
  }
  return actions;
}

Actions Activation::OnEngineLost() {
  Actions actions;
  if (phase_ == Phase::kQuerying || phase_ == Phase::kReplaced) {
    return actions;
  }
  AbandonCurrentFetch(actions);
  phase_ = Phase::kQuerying;
  engine_.reset();
  AppendAnnouncement(false, actions);
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
    AppendOrder(actions);
    return actions;
  }
  phase_ = Phase::kDraining;
  AppendAnnouncement(false, actions);
  actions.emplace_back(Drain{});
  return actions;
}

Actions Activation::OnDrained(core::TimePoint now) {
  Actions actions;
  const bool lease_valid = now - queried_at_ <= settings_.lease_;
  // An engine that restarted after staging has lost the staged weights. Only a
  // report queried after staging shows that it did not restart.
  const bool staging_confirmed =
      queried_at_ >= staged_at_ || faults_.keep_staged_over_restart_;
  if (phase_ == Phase::kDraining && lease_valid && staging_confirmed &&
      EarlierProcessesDone(now)) {
    AppendOrder(actions);
  }
  return actions;
}

void Activation::AppendOrder(Actions& actions) {
  phase_ = Phase::kAwaitingReply;
  fence_ = NextFence(kOrderStep);
  own_fence_ = fence_;
  actions.emplace_back(SendOrder{target_, faults_.drop_fence_ ? 0 : fence_});
  if (faults_.announce_before_confirmation_) {
    engine_ = EngineState{target_.version_, target_.manifest_, fence_, 0};
    AppendAnnouncement(true, actions);
  }
}

Actions Activation::OnOrderReply(core::TimePoint now) {
  Actions actions;
  if (phase_ == Phase::kAwaitingReply) {
    phase_ = Phase::kConfirming;
    has_ordered_ = true;
  } else if (phase_ != Phase::kClaiming) {
    return actions;
  }
  min_query_time_ = now;
  actions.emplace_back(QueryEngine{});
  return actions;
}

Actions Activation::OnSuspension(core::TimePoint now) {
  Actions actions;
  const bool awaits_reply =
      phase_ == Phase::kAwaitingReply || phase_ == Phase::kClaiming;
  if (faults_.keep_state_after_suspension_ || awaits_reply ||
      phase_ == Phase::kReplaced) {
    return actions;
  }
  AbandonCurrentFetch(actions);
  phase_ = Phase::kQuerying;
  min_query_time_ = now;
  engine_.reset();
  AppendAnnouncement(false, actions);
  actions.emplace_back(QueryEngine{});
  return actions;
}

}  // namespace chalkwell::rollout
