// Detects outages of the configuration store that were long enough for the
// leases of endpoints in the store to expire because their holders could not
// renew them: a list read afterwards lacks live endpoints. Isolated failures of
// calls let no lease expire.
#pragma once

#include <optional>

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::membership {

struct StoreOutageSettings {
  /// Interval at which holders renew a lease, a third of the lease. An outage
  /// shorter than this interval makes a holder miss at most one renewal, so no
  /// lease expires.
  core::Duration renewal_interval_ = std::chrono::milliseconds(1200);
  /// Endpoints whose leases expired are listed again within this time after the
  /// end of the outage.
  core::Duration recovery_time_ = std::chrono::milliseconds(2500);
};

/// @brief The last outage of the store as known to one process.
class StoreOutage {
 public:
  explicit StoreOutage(StoreOutageSettings settings) : settings_(settings) {}

  /// @brief A read of the list failed, here or at a process that announced it.
  void OnReadFailed() noexcept { failed_ = true; }
  /// @brief A list was read from the store or received from another process.
  /// @param as_of when the store was queried for it.
  void OnListReceived(core::TimePoint as_of, core::TimePoint now) noexcept;
  /// @brief The store returned from an older copy, which may lack rows of live
  /// endpoints whether or not a read failed.
  void OnStoreReturned(core::TimePoint now) noexcept { ended_at_ = now; }
  /// @brief Whether endpoints missing from the list may nevertheless be live.
  [[nodiscard]] bool LeasesMayHaveExpired(core::TimePoint now) const noexcept;

 private:
  StoreOutageSettings settings_;
  /// Time of the newest list; none before the first.
  std::optional<core::TimePoint> as_of_;
  /// Whether a read has failed since that list.
  bool failed_ = false;
  std::optional<core::TimePoint> ended_at_;
};

}  // namespace chalkwell::membership
