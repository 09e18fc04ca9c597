// How often a process reads a published list itself, when some read it for all:
// one member of each failure domain reads often and tells the others, who read
// seldom while they are told.
#pragma once

#include <optional>
#include <span>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"

namespace chalkwell::membership {

/// @brief Settings of a duty.
struct ReadDutySettings {
  /// Between two reads of the member whose duty it is.
  core::Duration often_ = std::chrono::milliseconds(600);
  /// Between two reads of the others while they are told: what they are told
  /// may have a gap that nobody notices.
  core::Duration seldom_ = std::chrono::milliseconds(4000);
  /// Told of no read for this long, a member reads often itself: one and a half
  /// intervals, since a datagram is lost now and then.
  core::Duration patience_ = std::chrono::milliseconds(900);
};

/// @brief The duty of one member.
class ReadDuty {
 public:
  ReadDuty(core::InstanceId self, ReadDutySettings settings);

  /// @brief Members of the own failure domain that read the list, this one
  /// included; the first in rank has the duty.
  void SetMembers(std::span<const core::InstanceId> members);
  /// @brief Another member told of a read.
  void OnTold(core::TimePoint now) noexcept { told_at_ = now; }
  /// @brief Whether this member reads for the others.
  [[nodiscard]] bool Elected() const noexcept { return elected_; }
  /// @brief Time between two reads, as of now.
  [[nodiscard]] core::Duration Interval(core::TimePoint now) const noexcept;

 private:
  core::InstanceId self_;
  ReadDutySettings settings_;
  bool elected_ = true;
  /// None until a read was told of.
  std::optional<core::TimePoint> told_at_;
};

}  // namespace chalkwell::membership
