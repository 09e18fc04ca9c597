// Whether leases may have lapsed because their keepers could not reach the
// store: a list read then lacks endpoints that live. Calls that fail one by one
// end no lease.
#pragma once

#include <optional>

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::membership {

/// @brief Settings of the evidence.
struct StoreOutageSettings {
  /// Whoever keeps a lease renews it this often, three times within it: no
  /// shorter outage ends one.
  core::Duration renewal_interval_ = std::chrono::milliseconds(1200);
  /// What lapsed is listed again within so long of the outage's end.
  core::Duration return_time_ = std::chrono::milliseconds(2500);
};

/// @brief What one process knows of the store's last outage.
class StoreOutage {
 public:
  explicit StoreOutage(StoreOutageSettings settings) : settings_(settings) {}

  /// @brief A read of the list failed, here or at a process that told so.
  void OnReadFailed() noexcept { failed_ = true; }
  /// @brief A list was read or told.
  /// @param as_of when the store was asked for it.
  void OnListReceived(core::TimePoint as_of, core::TimePoint now) noexcept;
  /// @brief Whether what a list lacks now may live all the same.
  [[nodiscard]] bool LeasesMayHaveExpired(core::TimePoint now) const noexcept;

 private:
  StoreOutageSettings settings_;
  /// Of the newest list; none before the first.
  std::optional<core::TimePoint> as_of_;
  /// Some read has failed since that list.
  bool failed_ = false;
  std::optional<core::TimePoint> ended_at_;
};

}  // namespace chalkwell::membership
