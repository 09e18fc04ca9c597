// How often a process reads a published list itself, when one reads it for all:
// the first of each failure domain stands by, those of different domains in an
// order, and whoever is told of a read does not read itself meanwhile. What
// this costs the publisher does not grow with the deployment.
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
  /// Between two reads of the others while they are told: a gap in what they
  /// are told shows at the next telling, so this only guards against errors.
  core::Duration seldom_ = std::chrono::milliseconds(20000);
  /// Told of no read for this long, the next member reads itself: one and a
  /// half intervals, since a datagram is lost now and then.
  core::Duration patience_ = std::chrono::milliseconds(900);
  /// What each rank within a failure domain waits beyond the one before it, and
  /// what the first of each domain waits beyond that of the domain before.
  core::Duration step_ = std::chrono::milliseconds(150);
};

/// @brief The duty of one member.
class ReadDuty {
 public:
  ReadDuty(core::InstanceId self, ReadDutySettings settings);

  /// @brief Members of the own failure domain that read the list, this one
  /// included; the first in rank has the duty.
  void SetMembers(std::span<const core::InstanceId> members);
  /// @param ahead other failure domains whose first reads before this one's.
  void SetDomainsAhead(std::size_t ahead) noexcept { domains_ahead_ = ahead; }
  /// @brief This member read the list itself.
  void OnRead(core::TimePoint now) noexcept;
  /// @brief Another member told of a read.
  void OnTold(core::TimePoint now) noexcept { told_at_ = now; }
  /// @brief Whether this member reads for the others: the first in rank, or
  /// whoever is told of no read any more.
  [[nodiscard]] bool Reads(core::TimePoint now) const noexcept;
  /// @brief Time from the last own read to the next, as of now.
  [[nodiscard]] core::Duration Interval(core::TimePoint now) const noexcept;

 private:
  core::InstanceId self_;
  ReadDutySettings settings_;
  /// Members of the own failure domain ahead of this one.
  std::size_t rank_ = 0;
  std::size_t domains_ahead_ = 0;
  std::optional<core::TimePoint> read_at_;
  /// None until a read was told of.
  std::optional<core::TimePoint> told_at_;
};

}  // namespace chalkwell::membership
