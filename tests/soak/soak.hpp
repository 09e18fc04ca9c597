// One run of the soak test: callers send requests to a deployment while faults
// are injected; violated guarantees are reported.
#pragma once

#include <iosfwd>
#include <string>

#include "soak/fault_injector.hpp"

namespace chalkwell::soak {

/// @brief Settings of a run.
struct RunSettings {
  DeploymentSettings deployment_;
  FaultSettings faults_;
  /// Requests of callers per second.
  unsigned rate_ = 300;
};

/// @brief Result of a run.
struct RunResult {
  /// False if the deployment was not ready in time; the rest is empty then.
  bool started_ = false;
  std::vector<Finding> findings_;
  std::map<int, std::uint64_t> responses_;
  std::map<std::string, unsigned> injected_;
  std::uint64_t arrivals_ = 0;
  std::uint64_t unframed_streams_ = 0;
  DurationSample arrivals_after_departure_;
  std::map<std::string, std::vector<CrashRecord>> crashes_;
  std::uint64_t refused_as_suspected_ = 0;
  std::uint64_t rate_limited_arrivals_ = 0;
  /// See Checker::forwarded_departures().
  std::size_t forwarded_departures_ = 0;
  /// See Checker::refusals().
  std::size_t refusals_ = 0;
  ResponseCheck incomplete_;
  double silent_attempts_ = 0;
  /// Responses that the entries cut off, by their own count.
  double cut_by_entries_ = 0;
  unsigned rules_versions_ = 0;
  /// See Checker::rules_probes().
  std::size_t rules_probes_ = 0;
  /// See Checker::retries().
  std::uint64_t retries_ = 0;
  /// Of the allowed ones, in the worst window.
  double worst_retries_ = 0;
  /// Snapshot ages of the endpoint list when attempts were routed, as logged
  /// by the entries.
  DurationSample list_ages_;
};

/// @brief Executes one run.
///
/// Removes the folder of the deployment first, and again after a run without
/// findings and without unexpectedly many crashes.
[[nodiscard]] RunResult Run(const RunSettings& settings);
void Print(const RunResult& result, std::ostream& out);

}  // namespace chalkwell::soak
