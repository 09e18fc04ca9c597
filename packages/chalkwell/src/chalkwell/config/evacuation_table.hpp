// Evacuated failure domains: operators ask that no further request be sent to
// the endpoints of a domain, until they withdraw it. Each domain has one
// register, whose state with the highest store revision wins, so that processes
// may exchange states in any order.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"
#include "chalkwell/core/store_revision.hpp"

namespace chalkwell::config {

/// @brief State of the evacuation of one failure domain.
struct Evacuation {
  core::FailureDomainId domain_;
  /// False once it was withdrawn.
  bool active_ = false;
  /// Store revision of this state.
  core::StoreRevision revision_;

  friend bool operator==(const Evacuation&, const Evacuation&) = default;
};

/// @brief Evacuations known to one process.
class EvacuationTable {
 public:
  /// Failure domains held at most. Further ones are ignored, so that published
  /// keys that name no real domain take bounded memory and bytes.
  static constexpr std::size_t kMaxDomains = 64;

  /// Operators publish again what the store lost within this time after its
  /// return.
  static constexpr core::Duration kRecoveryTime =
      std::chrono::milliseconds(2500);

  /// @brief Applies a state, published or received from another process.
  /// @return whether it is newer than the known one.
  bool Apply(const Evacuation& evacuation);
  /// @brief Applies several states.
  /// @return whether any of them is newer than the known one.
  bool Apply(const std::vector<Evacuation>& evacuations);
  /// @brief Applies a read of all active evacuations: known ones that it lacks
  /// were withdrawn, unless they are newer than the read. A known one of an
  /// older era may be missing only because the store returned from a copy that
  /// is older than it: it stays active until kRecoveryTime later, and longer if
  /// it is published again by then.
  /// @return whether anything changed.
  bool ApplyAll(const std::vector<Evacuation>& active,
                core::StoreRevision revision, core::TimePoint now);
  /// @brief Withdraws evacuations whose recovery time is over.
  /// @return whether anything changed.
  bool ApplyDue(core::TimePoint now);

  [[nodiscard]] std::set<core::FailureDomainId> Active() const;
  /// @brief All known states, withdrawn ones included.
  [[nodiscard]] std::vector<Evacuation> States() const;

 private:
  struct DueWithdrawal {
    Evacuation state_;
    core::TimePoint at_;
  };

  /// At most kMaxDomains.
  std::map<core::FailureDomainId, Evacuation> states_;
  /// Withdrawals that are applied later; at most one a domain.
  std::map<core::FailureDomainId, DueWithdrawal> due_;
};

}  // namespace chalkwell::config
