// What one entry knows of endpoints: the published list says who may exist,
// open streams say who is there, the endpoint itself says what it serves.
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

/// @brief What an agent says on its stream.
struct EndpointReport {
  /// Of the agent; a lower one than heard before is of a replaced process.
  std::uint64_t incarnation_ = 0;
  bool ready_ = false;
  bool leaving_ = false;
  /// Weights served; empty for plain services.
  core::Digest manifest_;
  std::uint64_t bundle_version_ = 0;
  /// Requests in flight from all entries.
  std::uint64_t load_ = 0;
  std::uint64_t capacity_ = 1;
  /// Entries that send to it of late, by the endpoint's own count.
  std::uint64_t sharers_ = 1;
};

/// @brief One endpoint as seen from here.
struct EndpointView {
  config::Instance instance_;
  /// Absent until the agent was heard on an open stream.
  std::optional<EndpointReport> report_;
  bool connected_ = false;
  core::TimePoint last_received_;
  /// When a probe went out after which nothing was heard.
  std::optional<core::TimePoint> probed_at_;
  /// When it last became ready; for slow start.
  core::TimePoint ready_since_;
  /// Requests of this entry there.
  std::uint64_t in_flight_ = 0;
  /// Consecutive failures; cleared by a success.
  unsigned failures_ = 0;
  /// Share of failures among its last requests from here, smoothed.
  double failure_rate_ = 0;
  /// While it fails more than others, it gets no work before this time.
  core::TimePoint next_trial_;
  /// No work before this time (circuit breaker).
  core::TimePoint open_until_;
};

/// @brief Settings of the roster.
struct RosterSettings {
  /// Without a word for this long, an endpoint is suspected and gets no work.
  core::Duration lease_ = std::chrono::seconds(3);
  /// A probe unanswered for this long makes an endpoint the last choice.
  core::Duration probe_timeout_ = std::chrono::milliseconds(300);
  /// Consecutive failures that open the breaker.
  unsigned breaker_failures_ = 5;
  core::Duration breaker_time_ = std::chrono::seconds(2);
  /// Smoothed share of failures from which an endpoint is left out but for a
  /// trial now and then.
  double ailing_rate_ = 0.25;
  core::Duration trial_period_ = std::chrono::seconds(1);
};

/// @brief Faults that tests seed to show that the proofs can fail.
struct RosterFaults {
  bool ignore_leaving_ = false;
  bool accept_old_incarnation_ = false;
};

/// @brief Endpoints known to one entry.
class Roster {
 public:
  explicit Roster(RosterSettings settings = {}, RosterFaults faults = {});

  [[nodiscard]] const EndpointView* Find(const core::InstanceId& id) const;
  [[nodiscard]] const std::map<core::InstanceId, EndpointView>& endpoints()
      const noexcept {
    return endpoints_;
  }
  /// @brief Endpoints of a role that may get new work now.
  ///
  /// Those that leave a probe unanswered count only when there is no other.
  /// Those that fail often count only for a trial, unless half of all do: then
  /// the cause lies elsewhere, and leaving them out would shift the load of all
  /// to a few.
  [[nodiscard]] std::vector<const EndpointView*> Available(
      const core::Role& role, core::TimePoint now) const;

  /// @brief Requests that this entry may have at an endpoint at once: its
  /// share of the slots and a little more, so that none stays empty.
  [[nodiscard]] static std::uint64_t WindowOf(const EndpointView& view);
  /// @brief Requests that available endpoints of a role can still take from
  /// this entry; nothing when no endpoint is available.
  [[nodiscard]] std::optional<std::uint64_t> FreeSlots(
      const core::Role& role, core::TimePoint now) const;

  /// @brief The published list changed.
  void SetInstances(const std::vector<config::Instance>& instances);
  void OnConnected(const core::InstanceId& id, core::TimePoint now);
  void OnDisconnected(const core::InstanceId& id);
  /// @brief The endpoint was asked for a sign of life.
  void OnProbed(const core::InstanceId& id, core::TimePoint now);
  /// @brief Something came from it after a probe.
  void OnReceived(const core::InstanceId& id);
  /// @return false when the report is of a process that was replaced.
  [[nodiscard]] bool OnReport(const core::InstanceId& id,
                              const EndpointReport& report,
                              core::TimePoint now);
  /// @brief An answer told how many requests are there and how many entries
  /// share the endpoint.
  void OnLoad(const core::InstanceId& id, std::uint64_t load,
              std::uint64_t sharers);
  void OnRequestSent(const core::InstanceId& id, core::TimePoint now);
  /// @param failed whether the endpoint, not the caller, was at fault.
  void OnRequestEnded(const core::InstanceId& id, bool failed,
                      core::TimePoint now);

 private:
  [[nodiscard]] bool MayTakeWork(const EndpointView& view,
                                 core::TimePoint now) const;
  [[nodiscard]] bool IsAiling(const EndpointView& view) const noexcept;
  [[nodiscard]] bool IsSuspected(const EndpointView& view,
                                 core::TimePoint now) const noexcept;

  RosterSettings settings_;
  RosterFaults faults_;
  /// Only instances of the published list.
  std::map<core::InstanceId, EndpointView> endpoints_;
};

/// @brief Notices that the process did not run for longer than its lease.
class SuspensionDetector {
 public:
  explicit SuspensionDetector(core::Duration lease) noexcept : lease_(lease) {}

  /// @brief Call from a timer much shorter than the lease.
  /// @return true when the gap since the last call exceeds the lease.
  [[nodiscard]] bool Tick(core::TimePoint now) noexcept;

 private:
  core::Duration lease_;
  std::optional<core::TimePoint> last_;
};

}  // namespace chalkwell::membership
