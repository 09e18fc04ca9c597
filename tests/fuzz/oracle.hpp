// Test oracle: checks the invariants of the system against the events of a
// simulation. It does not use the modules under test, so that a fault in them
// cannot hide itself.
#pragma once

#include <array>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "chalkwell/config/accepted_documents.hpp"
#include "chalkwell/core/digest.hpp"
#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/request_tracker.hpp"

namespace chalkwell::fuzz {

/// @brief Invariants that must hold at all times.
enum class Invariant : std::uint8_t {
  /// Only complete, verified weights are activated and announced; requests are
  /// served with the weights pinned for them.
  kCompleteWeights,
  /// A caller receives the response to its own request, complete and without
  /// repetition, or an error.
  kCompleteOwnResponse,
  /// A request that was reported as not run was not and will not be executed.
  kNotRunIsCertain,
  /// An operation that is not repeatable is executed at most once.
  kAtMostOnce,
  /// A draining process accepts no new work, and entries stop sending it work
  /// soon after they learn of the draining.
  kNoWorkWhileDraining,
  /// A graceful shutdown within its limit ends no accepted work.
  kShutdownLosesNoWork,
  /// Only signed bundles take effect, and versions never go back. After faults
  /// have ended, all processes converge and endpoints accept work.
  kConfigurationNeverReverts,
};
inline constexpr std::size_t kInvariantCount = 7;
/// @brief Name of an invariant as printed with a violation.
[[nodiscard]] std::string ToString(Invariant invariant);

/// @brief Receives the events of one simulation and counts violations.
class Oracle {
 public:
  /// @brief Number of violations of all invariants.
  [[nodiscard]] std::uint64_t violations() const noexcept;
  [[nodiscard]] std::uint64_t violations(Invariant invariant) const {
    return counts_.at(static_cast<std::size_t>(invariant));
  }
  /// @brief Invariant and description of the first violation; empty if there
  /// was none.
  [[nodiscard]] const std::string& first_violation() const noexcept {
    return first_violation_;
  }

  // Weights.
  /// @brief An engine activated weights.
  /// @param staging_complete whether every chunk was staged with the right
  /// content.
  /// @param running number of requests running with other weights.
  /// @param checks_fencing whether the engine refuses stale fencing numbers;
  /// the checks of `running` and of the order of versions apply only then.
  /// @param is_signed whether operators signed a bundle of this version and
  /// manifest.
  void OnEngineActivated(std::uint64_t version, const core::Digest& manifest,
                         bool staging_complete, std::size_t running,
                         std::uint64_t previous_version, bool checks_fencing,
                         bool is_signed);
  /// @brief An agent announced that it serves the manifest.
  /// @param activated_manifests manifests that its engine ever activated.
  void OnAnnounced(const core::Digest& manifest,
                   const std::set<core::Digest>& activated_manifests);
  /// @brief An agent sent an order or a request to its engine.
  /// @param state_is_current whether its knowledge of the engine's state was
  /// within the lease.
  void OnActedOnEngine(bool state_is_current);

  // Requests.
  /// @brief An engine started to execute a request.
  /// @param operation what the caller wants executed; the same in all requests
  /// by which a caller retries it.
  void OnExecuted(std::uint64_t operation, std::uint64_t request,
                  bool repeatable);
  /// @brief A data frame was forwarded to the caller of a request.
  /// @param response_request the request to which the frame responds.
  /// @param sequence sequence number of the frame in the response.
  /// @param pinned_weights weights that the attempt requires.
  /// @param source_weights weights that produced the frame.
  void OnResponseDelivered(std::uint64_t request,
                           std::uint64_t response_request,
                           std::uint32_t attempt, std::uint64_t sequence,
                           const core::Digest& pinned_weights,
                           const core::Digest& source_weights);
  /// @brief The caller was told the outcome of a request.
  /// @param response_length number of data frames of a complete response.
  void OnOutcome(std::uint64_t request, routing::Outcome outcome,
                 std::uint64_t response_length);

  // Draining and graceful shutdown.
  /// @brief An entry sent an attempt to an endpoint.
  /// @param draining_past_bound whether the entry had known for longer than
  /// permitted that the endpoint is draining.
  void OnRequestSent(bool draining_past_bound);
  /// @brief An entry or an agent accepted new work.
  void OnRequestAccepted(bool draining);
  /// @brief A process ended after a graceful shutdown.
  /// @param pending number of requests that it had accepted and not finished.
  /// @param within_limit whether the limit of the shutdown had not passed.
  void OnExit(std::size_t pending, bool within_limit);

  // Configuration.
  /// @brief The bundle that is active at a process, reported after each
  /// document that the process applied.
  void OnBundleActive(int process, const config::DocumentVersion& stamp,
                      bool is_signed);
  /// @brief All agents restarted while the configuration store returned only an
  /// outdated document; called for each endpoint after it became stable.
  void OnRestartedWithStaleStore(bool accepting);
  /// @brief All faults ended; called for each engine when it became stable.
  void OnEngineSettled(bool runs_active_bundle);
  /// @brief All faults ended; the stamps of the bundles that are active at all
  /// live processes.
  void OnSettled(const std::vector<config::DocumentVersion>& stamps);

 private:
  /// @brief Progress of a response at its caller.
  struct Delivery {
    std::uint32_t attempt_ = 0;
    /// Sequence number of the next data frame.
    std::uint64_t next_sequence_ = 0;
    core::Digest weights_;
  };

  void Violate(Invariant invariant, const std::string& message);

  /// Violations by invariant.
  std::array<std::uint64_t, kInvariantCount> counts_{};
  std::string first_violation_;
  std::map<std::uint64_t, std::uint64_t> executions_by_request_;
  std::map<std::uint64_t, std::uint64_t> executions_by_operation_;
  /// Requests whose callers were told that they were not run.
  std::set<std::uint64_t> reported_not_run_;
  /// By request.
  std::map<std::uint64_t, Delivery> deliveries_;
  /// Requests that have an outcome.
  std::set<std::uint64_t> ended_;
  /// Stamp of the active bundle by process.
  std::map<int, config::DocumentVersion> active_stamps_;
};

}  // namespace chalkwell::fuzz
