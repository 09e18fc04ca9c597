// Oracles: one for each invariant of the brief, a few lines each, written
// without the modules under test.
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

/// @brief The points under "What must always hold".
enum class Invariant : std::uint8_t {
  kWholeWeights,
  kOwnWholeAnswer,
  kNotRunIsNotRun,
  kAtMostOnce,
  kLeavingGetsNoWork,
  kPlannedStopCutsNothing,
  kConfigurationNeverReverts,
};
inline constexpr std::size_t kInvariants = 7;
[[nodiscard]] std::string ToString(Invariant invariant);

/// @brief Watches a world from outside.
class Oracle {
 public:
  [[nodiscard]] std::uint64_t violations() const noexcept;
  [[nodiscard]] std::uint64_t violations(Invariant invariant) const {
    return counts_.at(static_cast<std::size_t>(invariant));
  }
  [[nodiscard]] const std::string& first() const noexcept { return first_; }

  // Whole weights.
  void OnEngineActivated(std::uint64_t version, const core::Digest& manifest,
                         bool staged_whole, std::size_t running,
                         std::uint64_t version_before, bool checks_fencing,
                         bool is_signed);
  void OnAnnounced(const core::Digest& manifest,
                   const std::set<core::Digest>& ever_held);
  void OnHandedOn(bool knows_world);

  // Requests.
  void OnExecuted(std::uint64_t order, std::uint64_t request, bool repeatable);
  void OnDelivered(std::uint64_t request, std::uint64_t answers_request,
                   std::uint32_t attempt, std::uint64_t sequence,
                   const core::Digest& pinned, const core::Digest& from);
  void OnOutcome(std::uint64_t request, routing::Outcome outcome,
                 std::uint64_t answer_length);

  // Leaving and planned stop.
  void OnSentTo(bool known_leaving_for_long);
  void OnTakenBy(bool leaving);
  void OnExit(std::size_t work, bool in_time);

  // Configuration.
  void OnInForce(int process, const config::DocumentVersion& stamp,
                 bool is_signed);
  /// After everything was healed: an endpoint takes work.
  void OnServesAgain(bool serves);
  void OnRunsEverywhere(bool runs_newest);
  void OnSettled(const std::vector<config::DocumentVersion>& stamps);

 private:
  struct Delivery {
    std::uint32_t attempt_ = 0;
    std::uint64_t next_ = 0;
    core::Digest weights_;
  };

  void Violate(Invariant invariant, const std::string& what);

  std::array<std::uint64_t, kInvariants> counts_{};
  std::string first_;
  std::map<std::uint64_t, std::uint64_t> executions_by_request_;
  std::map<std::uint64_t, std::uint64_t> executions_by_order_;
  std::set<std::uint64_t> told_not_run_;
  std::map<std::uint64_t, Delivery> delivered_;
  std::set<std::uint64_t> ended_;
  std::map<int, config::DocumentVersion> in_force_;
};

}  // namespace chalkwell::fuzz
