// Evacuated failure domains: operators ask that no further request be sent to
// the endpoints of a domain, until they withdraw it. Each domain has one
// register, whose state with the highest store revision wins, so that processes
// may exchange states in any order.
#pragma once

#include <cstdint>
#include <map>
#include <set>
#include <vector>

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

  /// @brief Applies a state, published or received from another process.
  /// @return whether it is newer than the known one.
  bool Apply(const Evacuation& evacuation);
  /// @brief Applies several states.
  /// @return whether any of them is newer than the known one.
  bool Apply(const std::vector<Evacuation>& evacuations);
  /// @brief Applies a read of all active evacuations: known ones that it lacks
  /// were withdrawn, unless they are newer than the read.
  /// @return whether anything changed.
  bool ApplyAll(const std::vector<Evacuation>& active,
                core::StoreRevision revision);

  [[nodiscard]] std::set<core::FailureDomainId> Active() const;
  /// @brief All known states, withdrawn ones included.
  [[nodiscard]] std::vector<Evacuation> States() const;

 private:
  /// At most kMaxDomains.
  std::map<core::FailureDomainId, Evacuation> states_;
};

}  // namespace chalkwell::config
