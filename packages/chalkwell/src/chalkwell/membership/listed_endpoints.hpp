// Endpoints as known to one entry: the published list defines which exist, open
// streams show which are connected, and reports of the endpoints what they
// serve.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <vector>

#include "chalkwell/config/published_lists.hpp"
#include "chalkwell/core/digest.hpp"
#include "chalkwell/core/fwd.hpp"
#include "chalkwell/membership/fwd.hpp"

namespace chalkwell::membership {

/// @brief State that an agent reports on its stream.
struct EndpointReport {
  /// Incarnation of the agent process; a report with a lower one than the last
  /// comes from a replaced process. Unlike Member::incarnation_, it is ordered.
  std::uint64_t incarnation_ = 0;
  bool ready_ = false;
  bool leaving_ = false;
  /// Digest of the weights served; empty for services without weights.
  core::Digest manifest_;
  std::uint64_t bundle_version_ = 0;
  /// Requests in flight, from all entries.
  std::uint64_t load_ = 0;
  /// Number of requests that it can run at once.
  std::uint64_t capacity_ = 1;
  /// Entries that recently sent requests to it, as counted by the endpoint.
  std::uint64_t active_entries_ = 1;
};

/// @brief State of one endpoint as known to this entry.
struct EndpointView {
  config::Instance instance_;
  /// Absent until the agent has reported on a stream.
  std::optional<EndpointReport> report_;
  bool connected_ = false;
  /// When the last report arrived or the stream was opened.
  core::TimePoint last_report_at_;
  /// Time of the oldest probe since the last message from the endpoint.
  std::optional<core::TimePoint> probed_at_;
  /// When it last became ready, for slow start.
  core::TimePoint ready_since_;
  /// Requests of this entry in flight there.
  std::uint64_t in_flight_ = 0;
  /// Consecutive failures; reset by a success. After the circuit breaker
  /// opened, one more failure opens it again.
  unsigned failures_ = 0;
  /// Exponentially smoothed failure rate of the requests of this entry.
  double failure_rate_ = 0;
  /// If its failure rate is high, it gets no work before this time.
  core::TimePoint next_trial_;
  /// The circuit breaker is open until this time.
  core::TimePoint open_until_;
};

struct ListedEndpointsSettings {
  /// An endpoint that sent no report for this long gets no work.
  core::Duration lease_ = std::chrono::seconds(3);
  /// An endpoint that leaves a probe unanswered for this long is used only if
  /// there is no other.
  core::Duration probe_timeout_ = std::chrono::milliseconds(300);
  /// Consecutive failures that open the circuit breaker.
  unsigned breaker_failures_ = 5;
  core::Duration breaker_time_ = std::chrono::seconds(2);
  /// Smoothed failure rate from which an endpoint gets only one trial request
  /// per `trial_period_`.
  double high_failure_rate_ = 0.25;
  core::Duration trial_period_ = std::chrono::seconds(1);
};

/// @brief Faults that tests inject to show that their checks detect them.
struct ListedEndpointsFaults {
  bool ignore_draining_ = false;
  bool accept_old_incarnation_ = false;
};

/// @brief Endpoints as known to one entry.
class ListedEndpoints {
 public:
  explicit ListedEndpoints(ListedEndpointsSettings settings = {},
                           ListedEndpointsFaults faults = {});

  [[nodiscard]] const EndpointView* Find(const core::InstanceId& id) const;
  [[nodiscard]] const std::map<core::InstanceId, EndpointView>& endpoints()
      const noexcept {
    return endpoints_;
  }
  /// @brief Endpoints of a role that may get new work now.
  ///
  /// Endpoints that leave a probe unanswered are included only if there is no
  /// other. Endpoints with a high failure rate are included only for a trial,
  /// unless at least half of the endpoints have a high failure rate: then the
  /// cause lies elsewhere, and excluding them would shift all load to a few.
  [[nodiscard]] std::vector<const EndpointView*> Available(
      const core::Role& role, core::TimePoint now) const;

  /// @brief Number of requests that this entry may have in flight at an
  /// endpoint: 125 % of its share of the slots (kInFlightPercent), rounded up,
  /// so that no slot stays idle; 1 before the first report.
  [[nodiscard]] static std::uint64_t MaxInFlight(const EndpointView& view);
  /// @brief Number of requests that available endpoints of a role can still
  /// accept from this entry; std::nullopt if no endpoint is available.
  [[nodiscard]] std::optional<std::uint64_t> RemainingRequests(
      const core::Role& role, core::TimePoint now) const;

  /// @brief Replaces the published list.
  void SetInstances(const std::vector<config::Instance>& instances);
  void OnConnected(const core::InstanceId& id, core::TimePoint now);
  void OnDisconnected(const core::InstanceId& id);
  /// @brief A probe was sent to the endpoint.
  void OnProbed(const core::InstanceId& id, core::TimePoint now);
  /// @brief A message was received from the endpoint: no probe is unanswered.
  /// Does not renew the lease; OnReport() does.
  void OnReceived(const core::InstanceId& id);
  /// @return false if the endpoint is not listed or the report is of a replaced
  /// process.
  [[nodiscard]] bool OnReport(const core::InstanceId& id,
                              const EndpointReport& report,
                              core::TimePoint now);
  /// @brief A response reported the requests in flight at the endpoint and the
  /// number of entries that share it.
  void OnLoad(const core::InstanceId& id, std::uint64_t load,
              std::uint64_t sharers);
  void OnRequestSent(const core::InstanceId& id, core::TimePoint now);
  /// @param failed whether the request failed because of the endpoint, not of
  /// the caller.
  void OnRequestEnded(const core::InstanceId& id, bool failed,
                      core::TimePoint now);

 private:
  [[nodiscard]] bool MayTakeWork(const EndpointView& view,
                                 core::TimePoint now) const;
  [[nodiscard]] bool HasHighFailureRate(
      const EndpointView& view) const noexcept;
  [[nodiscard]] bool IsUnresponsive(const EndpointView& view,
                                    core::TimePoint now) const noexcept;

  ListedEndpointsSettings settings_;
  ListedEndpointsFaults faults_;
  /// Only endpoints in the published list.
  std::map<core::InstanceId, EndpointView> endpoints_;
};

/// @brief Detects that the process was suspended for longer than a given time,
/// after which what it knows must be queried again.
class SuspensionDetector {
 public:
  /// @param min_suspension shortest time without a Tick() that counts as a
  /// suspension.
  explicit SuspensionDetector(core::Duration min_suspension) noexcept
      : min_suspension_(min_suspension) {}

  /// @brief To be called by a timer whose interval is much shorter than the
  /// minimum suspension.
  /// @return whether the time since the last call exceeds the minimum
  /// suspension.
  [[nodiscard]] bool Tick(core::TimePoint now) noexcept;

 private:
  core::Duration min_suspension_;
  std::optional<core::TimePoint> last_tick_;
};

}  // namespace chalkwell::membership
