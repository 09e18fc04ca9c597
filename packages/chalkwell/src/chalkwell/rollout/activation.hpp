// Rollout of one endpoint: fetch, wait for the turn, drain, order with a
// fencing number, ask the engine what it holds, announce.
#pragma once

#include <cstdint>
#include <functional>
#include <optional>
#include <variant>
#include <vector>

#include "chalkwell/core/digest.hpp"
#include "chalkwell/core/fwd.hpp"
#include "chalkwell/rollout/fwd.hpp"

namespace chalkwell::rollout {

/// @brief What the bundle in force asks of an endpoint.
struct Target {
  std::uint64_t version_ = 0;
  core::Digest manifest_;

  friend bool operator==(const Target&, const Target&) = default;
  /// Two contents of one version are ordered too, as they are where bundles
  /// are accepted, so that every endpoint ends with the same.
  friend auto operator<=>(const Target&, const Target&) = default;
};

/// @brief What the engine itself reports.
struct EngineState {
  /// 0 when the engine holds no weights.
  std::uint64_t version_ = 0;
  /// Empty when the engine holds no weights.
  core::Digest manifest_;
  /// Highest fencing number the engine has seen.
  std::uint64_t fence_ = 0;
  /// Requests the engine says it runs; may lag.
  std::uint64_t load_ = 0;
};

/// @brief Where the endpoint stands.
enum class Phase : std::uint8_t {
  /// The engine's state is not known; nothing is ordered or handed on.
  kQuerying,
  /// A claim was sent; only the engine's own report ends this.
  kClaiming,
  /// The claim stands; processes before this one run out of their leases.
  kHolding,
  /// Nothing newer than what the engine holds is in force.
  kSettled,
  kFetching,
  kWaitingForSlot,
  kDraining,
  kAwaitingReply,
  /// An order was answered; only the engine's own report ends this.
  kConfirming,
  /// A higher number took the engine. This process does no more, unless the
  /// published list goes on naming it.
  kReplaced,
};

/// @brief Ask the engine for its state.
struct QueryEngine {};
/// @brief Order the engine to keep its role under a new fencing number, so that
/// an earlier process of this endpoint learns that it was replaced.
struct SendClaim {
  std::uint64_t fence_ = 0;
};
/// @brief Fetch, verify and stage the weights.
struct FetchWeights {
  Target target_;
};
/// @brief Give up a fetch; chunks shared with the new target are kept.
struct AbandonFetch {
  core::Digest manifest_;
};
/// @brief Take no new work; report when the work at hand is finished.
struct Drain {};
/// @brief Order the engine to activate staged weights.
struct SendOrder {
  Target target_;
  std::uint64_t fence_ = 0;
};
/// @brief Tell entries what is served, or that nothing is.
struct Announce {
  bool ready_ = false;
  /// What the engine reported; meaningful when ready.
  Target serving_;
};

using Action = std::variant<QueryEngine, SendClaim, FetchWeights, AbandonFetch,
                            Drain, SendOrder, Announce>;
using Actions = std::vector<Action>;

/// @brief Faults that tests seed to show that the proofs can fail.
struct ActivationFaults {
  bool announce_before_confirmation_ = false;
  bool drop_fence_ = false;
  bool order_older_ = false;
  bool order_while_serving_ = false;
  bool keep_state_after_pause_ = false;
  bool skip_claim_ = false;
  bool never_reclaim_ = false;
  bool keep_staged_over_restart_ = false;
};

/// @brief What one agent process must know of itself and its engine.
struct ActivationSettings {
  /// How long what the engine said may be relied on.
  core::Duration lease_ = std::chrono::seconds(1);
  /// Distinguishes the fencing numbers of processes; random, 24 bits.
  std::uint64_t tie_breaker_ = 0;
};

/// @brief State machine of one endpoint's weights.
///
/// The engine is the arbiter between processes of one endpoint: a process
/// claims it by a fencing number, hands on work only for a lease after it read
/// that its own number still stands, and orders nothing until every process
/// before it must have run out of its lease and the engine is idle.
///
/// A number higher than its own need not be of a process that lives: a claim or
/// order of a dead one may arrive late. The published list decides who claims
/// again, and only after some leases, so that two that live do not alternate.
class Activation {
 public:
  explicit Activation(ActivationSettings settings,
                      ActivationFaults faults = {});

  [[nodiscard]] Phase phase() const noexcept { return phase_; }
  /// @brief Whether work may be handed to the engine.
  [[nodiscard]] bool accepting(core::TimePoint now) const noexcept;
  /// @brief What the engine last reported, if that still holds.
  [[nodiscard]] const std::optional<EngineState>& engine() const noexcept {
    return engine_;
  }
  [[nodiscard]] const Target& target() const noexcept { return target_; }

  /// @brief Whether the engine refuses orders with old fencing numbers; one
  /// that does not cannot arbitrate, and is not claimed.
  void SetChecksFencing(bool checks) noexcept { checks_fencing_ = checks; }
  /// @brief Whether the published list names this very process for the
  /// endpoint; only then may it claim an engine that was taken from it.
  void SetListed(bool listed) noexcept { listed_ = listed; }
  /// @brief A bundle that applies to this endpoint is in force.
  [[nodiscard]] Actions OnTarget(const Target& target);
  /// @param asked_at when the question was sent: the state may be older than
  /// its arrival.
  [[nodiscard]] Actions OnEngineState(const EngineState& state,
                                      core::TimePoint asked_at,
                                      core::TimePoint now);
  [[nodiscard]] Actions OnEngineLost();
  /// @brief The weights are whole, verified and at the engine.
  [[nodiscard]] Actions OnStaged(const core::Digest& manifest,
                                 core::TimePoint now);
  /// @brief This endpoint's turn to switch has come.
  [[nodiscard]] Actions OnRolloutSlot();
  /// @brief This process has no work at the engine; call again while draining,
  /// since the order may have to wait.
  [[nodiscard]] Actions OnDrained(core::TimePoint now);
  /// @brief The engine answered a claim or order, whatever the answer.
  [[nodiscard]] Actions OnOrderAnswered(core::TimePoint now);
  /// @brief The process was paused for longer than its lease.
  [[nodiscard]] Actions OnPause(core::TimePoint now);

 private:
  [[nodiscard]] bool NeedsSwitch() const noexcept;
  [[nodiscard]] bool OthersAreGone(core::TimePoint now) const noexcept;
  [[nodiscard]] std::uint64_t NextFence(std::uint64_t step) const noexcept;
  /// @return whether this process holds the engine and may go on.
  [[nodiscard]] bool CheckOwnership(const EngineState& state,
                                    core::TimePoint now, Actions& actions);
  /// Gives up what was fetched or staged: the engine may have forgotten it.
  void DropFetch(Actions& actions) const;
  void BecomeReplaced(core::TimePoint now, Actions& actions);
  [[nodiscard]] bool MayReclaim(core::TimePoint now) const noexcept;
  void Claim(Actions& actions);
  void StartFetch(Actions& actions);
  void Announcement(bool ready, Actions& actions);
  void Settle(Actions& actions);
  void Order(Actions& actions);

  ActivationSettings settings_;
  ActivationFaults faults_;
  bool checks_fencing_ = true;
  bool listed_ = false;
  Phase phase_ = Phase::kQuerying;
  /// Only rises.
  Target target_;
  /// Empty in kAsking.
  std::optional<EngineState> engine_;
  /// Highest fencing number seen or used; only rises.
  std::uint64_t fence_ = 0;
  /// The number under which this process holds the engine.
  std::uint64_t own_fence_ = 0;
  /// When the claim was read back; absent while the engine is not held.
  std::optional<core::TimePoint> claimed_at_;
  /// When the engine was last taken; meaningful in kReplaced.
  core::TimePoint replaced_at_;
  /// How long to wait in kReplaced; between 4 and 8 leases.
  core::Duration reclaim_wait_;
  /// Answers to questions sent before this are out of date.
  core::TimePoint not_before_;
  /// When the weights of `target_` were last known to be staged whole.
  core::TimePoint staged_at_;
  /// When the question was sent whose answer `engine_` is.
  core::TimePoint asked_at_;
  /// True only when the engine's report stands and no order is outstanding.
  bool accepting_ = false;
  /// Whether this process has ordered the engine since it claimed it.
  bool ordered_ = false;
};

}  // namespace chalkwell::rollout
