// Slow start: for some time after its start an endpoint bears only a limited
// rate of requests from all entries together. The entries share that rate
// without messages: each sends to the endpoint at a fixed interval that follows
// from the rate and the number of entries that may use the endpoint, and
// begins at an offset of its own, so that they do not all begin at once.
#pragma once

#include <cstddef>

#include "chalkwell/config/traffic_rules.hpp"
#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"

namespace chalkwell::routing {

/// @brief What determines how many entries send to one endpoint.
struct SlowStartSharers {
  /// Entries of the deployment.
  std::size_t entries_ = 1;
  /// False until an entry that has just started knows the others: then
  /// `entries_` is a lower bound.
  bool entries_known_ = true;
  /// Endpoints of the service.
  std::size_t endpoints_ = 1;
  /// Endpoints in the subset of an entry; see endpoint_subset.hpp.
  std::size_t subset_size_ = 1;
  /// Entries whose subset contains the endpoint, as it reported them; 0 if it
  /// did not.
  std::size_t reported_users_ = 0;
};

/// @brief Minimum interval between two requests of one entry to an endpoint in
/// slow start.
/// @param in_subset whether the endpoint belongs to the subset of the entry.
/// The entries that use it as part of their subset share most of its rate, and
/// the others, which use it when their subset can't serve a request, the rest.
[[nodiscard]] core::Duration SlowStartInterval(const config::SlowStart& limit,
                                               const SlowStartSharers& sharers,
                                               bool in_subset);

/// @brief Time from the begin of a slow start until the first request of an
/// entry, less than `interval`; uniformly distributed over the entries.
[[nodiscard]] core::Duration SlowStartOffset(const core::InstanceId& entry,
                                             const core::InstanceId& endpoint,
                                             core::Duration interval);

/// @brief Slow start of one incarnation of an endpoint, as seen by one entry.
class SlowStartState {
 public:
  /// @brief The endpoint is in slow start from now on, at least until a time.
  void Begin(core::TimePoint now, core::TimePoint until);
  /// @brief Sets the end of the slow start, which it itself stated. One that
  /// lies ahead begins a slow start if there is none.
  void SetEnd(core::TimePoint now, core::TimePoint end);
  void OnSent(core::TimePoint now) noexcept { last_sent_ = now; }

  [[nodiscard]] bool Active(core::TimePoint now) const noexcept {
    return now < end_;
  }
  /// @brief When the next request may be sent while the slow start lasts.
  [[nodiscard]] core::TimePoint NextSend(core::Duration interval,
                                         core::Duration offset) const noexcept;

 private:
  core::TimePoint begin_;
  core::TimePoint end_;
  /// Last request, also one before the slow start.
  core::TimePoint last_sent_;
};

}  // namespace chalkwell::routing
