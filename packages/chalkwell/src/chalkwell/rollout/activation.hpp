// Rollout of one endpoint: fetch the weights, wait for the rollout slot, drain,
// send an activation order with a fencing number, query the engine's state,
// announce it.
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

/// @brief The weights that the active bundle requires of an endpoint.
struct Target {
  std::uint64_t version_ = 0;
  core::Digest manifest_;

  friend bool operator==(const Target&, const Target&) = default;
  /// Different contents of one version are ordered by manifest, as in
  /// config::DocumentVersion, so that all endpoints converge on the same one.
  friend auto operator<=>(const Target&, const Target&) = default;
};

/// @brief State that the engine reports.
struct EngineState {
  /// 0 when the engine holds no weights.
  std::uint64_t version_ = 0;
  /// Empty when the engine holds no weights.
  core::Digest manifest_;
  /// Highest fencing number that the engine has received.
  std::uint64_t fence_ = 0;
  /// Number of running requests; may be outdated.
  std::uint64_t load_ = 0;
};

/// @brief Phase of an endpoint's rollout.
enum class Phase : std::uint8_t {
  /// The engine's state is unknown; no orders or requests are sent to it.
  kQuerying,
  /// A claim was sent; ends when the engine reports its state or is lost.
  kClaiming,
  /// The claim is confirmed; waits for the leases of earlier processes to
  /// expire.
  kWaitingForLeases,
  /// The active bundle is not newer than the engine's weights.
  kUpToDate,
  kFetching,
  kWaitingForSlot,
  kDraining,
  /// An order was sent; ends when the engine replies or is lost.
  kAwaitingReply,
  /// The engine replied to an order; ends when the engine reports its state or
  /// is lost.
  kConfirming,
  /// Another process claimed the engine with a higher fencing number. This
  /// process stays idle; if the published list contains it, it reclaims the
  /// engine after several leases.
  kReplaced,
};

/// @brief Query the engine for its state.
struct QueryEngine {};
/// @brief Raise the fencing number of the engine without changing its weights,
/// so that an earlier process of this endpoint detects that it was replaced.
struct SendClaim {
  std::uint64_t fence_ = 0;
};
/// @brief Fetch and verify the weights and stage them: copy them into the
/// engine's staging area, from which an activation order loads them.
struct FetchWeights {
  Target target_;
};
/// @brief Abandon a fetch; chunks that a later fetch needs too are kept.
struct AbandonFetch {
  core::Digest manifest_;
};
/// @brief Accept no new requests; call OnDrained when the running ones have
/// finished.
struct Drain {};
/// @brief Order the engine to activate staged weights.
struct SendOrder {
  Target target_;
  std::uint64_t fence_ = 0;
};
/// @brief Announce to entries what is served, or that nothing is.
struct Announce {
  bool ready_ = false;
  /// As reported by the engine; meaningful if ready.
  Target serving_;
};

using Action = std::variant<QueryEngine, SendClaim, FetchWeights, AbandonFetch,
                            Drain, SendOrder, Announce>;
using Actions = std::vector<Action>;

/// @brief Faults that tests inject to show that their checks detect them.
struct ActivationFaults {
  bool announce_before_confirmation_ = false;
  /// Orders carry fencing number 0.
  bool drop_fence_ = false;
  /// Switches to any target that differs from the engine's version.
  bool order_older_ = false;
  bool order_while_serving_ = false;
  bool keep_state_after_suspension_ = false;
  bool skip_claim_ = false;
  bool never_reclaim_ = false;
  /// A fetch is not abandoned when the engine is lost or another process claims
  /// it, and the engine is not queried after staging.
  bool keep_staged_over_restart_ = false;
};

/// @brief Settings of the state machine of one agent process.
struct ActivationSettings {
  /// How long a reported engine state is valid after its query was sent; the
  /// waits for earlier processes are multiples of it.
  core::Duration lease_ = std::chrono::seconds(1);
  /// Distinguishes the fencing numbers of processes; 24 random bits.
  std::uint64_t tie_breaker_ = 0;
};

/// @brief State machine of one endpoint's weights.
///
/// The engine arbitrates between the processes of one endpoint. A process
/// claims the engine with a fencing number. It forwards requests only for one
/// lease after it sent a query whose reply contained its own number. It sends
/// no activation order until the leases of all earlier processes have expired
/// and the engine is idle.
///
/// A higher fencing number may belong to a terminated process whose claim or
/// order arrived late. The published list decides which process reclaims the
/// engine, and only after several leases, so that two live processes do not
/// alternate.
class Activation {
 public:
  explicit Activation(ActivationSettings settings,
                      ActivationFaults faults = {});

  [[nodiscard]] Phase phase() const noexcept { return phase_; }
  /// @brief Whether requests may be forwarded to the engine.
  [[nodiscard]] bool accepting(core::TimePoint now) const noexcept;
  /// @brief The last reported engine state, also past its lease; empty while
  /// unknown.
  [[nodiscard]] const std::optional<EngineState>& engine() const noexcept {
    return engine_;
  }
  [[nodiscard]] const Target& target() const noexcept { return target_; }

  /// @brief Whether the engine refuses orders with stale fencing numbers. An
  /// engine that does not cannot arbitrate and is not claimed.
  void SetChecksFencing(bool checks) noexcept { checks_fencing_ = checks; }
  /// @brief Whether the published list contains this process for the endpoint;
  /// only then may it reclaim an engine from which it was replaced.
  void SetListed(bool listed) noexcept { listed_ = listed; }
  /// @brief A bundle that applies to this endpoint is active.
  [[nodiscard]] Actions OnTarget(const Target& target);
  /// @param queried_at when the query was sent: the state may be older than
  /// the time of its arrival.
  [[nodiscard]] Actions OnEngineState(const EngineState& state,
                                      core::TimePoint queried_at,
                                      core::TimePoint now);
  [[nodiscard]] Actions OnEngineLost();
  /// @brief The weights are complete, verified and staged at the engine.
  [[nodiscard]] Actions OnStaged(const core::Digest& manifest,
                                 core::TimePoint now);
  /// @brief This endpoint obtained a rollout slot.
  [[nodiscard]] Actions OnRolloutSlot();
  /// @brief This process has no running requests at the engine. To be called
  /// repeatedly while draining: the order may have to wait.
  [[nodiscard]] Actions OnDrained(core::TimePoint now);
  /// @brief The engine replied to a claim or an activation order, with success
  /// or failure: the engine's state, queried next, decides.
  [[nodiscard]] Actions OnOrderReply(core::TimePoint now);
  /// @brief The process was suspended for longer than the lease of the reported
  /// engine state.
  [[nodiscard]] Actions OnSuspension(core::TimePoint now);

 private:
  [[nodiscard]] bool NeedsSwitch() const noexcept;
  /// @brief Whether no earlier process forwards requests any more and the
  /// engine is idle.
  [[nodiscard]] bool EarlierProcessesDone(core::TimePoint now) const noexcept;
  [[nodiscard]] std::uint64_t NextFence(std::uint64_t step) const noexcept;
  /// @return whether this process holds the engine.
  [[nodiscard]] bool CheckOwnership(const EngineState& state,
                                    core::TimePoint now, Actions& actions);
  /// Abandons the fetch, also if the weights are staged: the engine may have
  /// lost them.
  void AbandonCurrentFetch(Actions& actions) const;
  void EnterReplaced(core::TimePoint now, Actions& actions);
  [[nodiscard]] bool MayReclaim(core::TimePoint now) const noexcept;
  void AppendClaim(Actions& actions);
  void StartFetch(Actions& actions);
  void AppendAnnouncement(bool ready, Actions& actions);
  /// Announces the reported state and fetches the target if it is newer.
  void Reconcile(Actions& actions);
  void AppendOrder(Actions& actions);

  ActivationSettings settings_;
  ActivationFaults faults_;
  bool checks_fencing_ = true;
  bool listed_ = false;
  Phase phase_ = Phase::kQuerying;
  /// Only increases.
  Target target_;
  /// Empty in kQuerying.
  std::optional<EngineState> engine_;
  /// Highest fencing number received or used; only increases.
  std::uint64_t fence_ = 0;
  /// Fencing number with which this process holds the engine.
  std::uint64_t own_fence_ = 0;
  /// When the claim was confirmed; empty while the engine is not held.
  std::optional<core::TimePoint> claimed_at_;
  /// When another process last replaced this one; meaningful in kReplaced.
  core::TimePoint replaced_at_;
  /// Delay before reclaiming in kReplaced; between 4 and 8 leases.
  core::Duration reclaim_wait_;
  /// Replies to queries sent before this time are stale.
  core::TimePoint min_query_time_;
  /// When the weights of `target_` were last known to be completely staged.
  core::TimePoint staged_at_;
  /// When the query was sent that `engine_` is the reply to.
  core::TimePoint queried_at_;
  /// Whether the last announcement was ready; accepting() also checks the
  /// lease.
  bool accepting_ = false;
  /// Whether the engine replied to an order of this process since the claim.
  bool has_ordered_ = false;
};

}  // namespace chalkwell::rollout
