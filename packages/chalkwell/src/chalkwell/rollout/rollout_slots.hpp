// Rollout slots without a coordinator: which endpoints of a failure domain may
// drain and switch now.
#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"
#include "chalkwell/rollout/fwd.hpp"

namespace chalkwell::rollout {

/// @brief Assigns rollout slots to the endpoints of one role and failure
/// domain.
///
/// Slots only limit how many endpoints are unavailable at once. Correctness (no
/// activation order while requests run) does not depend on them; see
/// Activation.
class RolloutSlots {
 public:
  /// @param max_unavailable_share share of the members that may be unavailable
  /// at once, 0 to 1.
  /// @param progress_timeout after each such time in which no further member
  /// began to serve the version, max_unavailable() more members get a slot, in
  /// rendezvous order, without waiting for those before them.
  RolloutSlots(core::InstanceId self, double max_unavailable_share,
               core::Duration progress_timeout);

  /// @brief Sets the members of the role and domain, including this one.
  void SetMembers(std::set<core::InstanceId> members);
  /// @brief Starts the rollout of a version and resets the progress.
  void StartRollout(std::uint64_t version, core::TimePoint now);
  /// @brief A member serves `version`.
  void OnServing(const core::InstanceId& member, std::uint64_t version,
                 core::TimePoint now);

  /// @brief Whether this endpoint may drain now.
  [[nodiscard]] bool MayDrain(core::TimePoint now) const;
  /// @brief How many members may be unavailable at once; at least 1.
  [[nodiscard]] std::size_t max_unavailable() const noexcept;

 private:
  /// @brief Number of members before this one in the rendezvous order of the
  /// version that do not serve it yet.
  [[nodiscard]] std::size_t PendingAhead() const;

  core::InstanceId self_;
  double max_unavailable_share_;
  core::Duration progress_timeout_;
  std::set<core::InstanceId> members_;
  std::uint64_t version_ = 0;
  /// Members that serve `version_` or a newer one.
  std::set<core::InstanceId> updated_;
  core::TimePoint last_progress_;
};

}  // namespace chalkwell::rollout
