// Turns without a coordinator: who of a failure domain may switch now.
#pragma once

#include <cstdint>
#include <set>
#include <vector>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"
#include "chalkwell/rollout/fwd.hpp"

namespace chalkwell::rollout {

/// @brief Ranks the endpoints of one role and failure domain for one version.
///
/// Turns protect capacity only; correctness never rests on them.
class RolloutSlots {
 public:
  /// @param share part of the members that may be out at once, 0 to 1.
  /// @param lease how long those ahead may go without progress before the
  /// next ones pass them.
  RolloutSlots(core::InstanceId self, double share, core::Duration lease);

  /// @brief Members of the same role and domain, this one included.
  void SetMembers(std::set<core::InstanceId> members);
  /// @brief A new version is being rolled; forgets all progress.
  void StartRollout(std::uint64_t version, core::TimePoint now);
  /// @brief A member serves `version`.
  void OnServing(const core::InstanceId& member, std::uint64_t version,
                 core::TimePoint now);

  /// @brief Whether this endpoint may drain now.
  [[nodiscard]] bool MayDrain(core::TimePoint now) const;
  /// @brief How many members may be out at once; at least 1.
  [[nodiscard]] std::size_t allowed_out() const noexcept;

 private:
  [[nodiscard]] std::size_t PendingAhead() const;

  core::InstanceId self_;
  double share_;
  core::Duration lease_;
  std::set<core::InstanceId> members_;
  std::uint64_t version_ = 0;
  /// Members that serve `version_` or newer.
  std::set<core::InstanceId> done_;
  core::TimePoint last_progress_;
};

}  // namespace chalkwell::rollout
