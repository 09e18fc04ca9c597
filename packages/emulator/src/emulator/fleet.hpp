// Simulation of callers, entries and engines in virtual time. Entries route and
// admit requests with the library's code, from load reports that arrive with a
// delay.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "chalkwell/routing/endpoint_table.hpp"
#include "chalkwell/routing/request_age_estimator.hpp"
#include "emulator/engine.hpp"
#include "emulator/stated_limits.hpp"

namespace chalkwell::emulator {

/// @brief A class of requests.
struct RequestClass {
  std::string route_;
  double requests_per_second_ = 0;
  /// Means of the log-normal distributions of sizes.
  double prompt_tokens_ = 0;
  double output_tokens_ = 0;
  /// Standard deviation of the logarithm of both sizes.
  double size_sigma_ = 0;
  /// Target latency of the first event, counted from the first attempt.
  core::Duration target_{};
  /// Time in which a caller wants the response; entries learn what is left of
  /// it at each attempt.
  core::Duration time_budget_{};
  /// Time budgets are uniform between (1 - spread) * `time_budget_` and
  /// `time_budget_`.
  double time_budget_spread_ = 0;
};

/// @brief All machines fail; entries return first, engines later. Times are
/// counted from the start of the simulation.
struct Outage {
  core::Duration at_{};
  core::Duration entries_ready_at_{};
  core::Duration engines_ready_at_{};
};

/// @brief From a time on, the request rates of all classes are multiplied by a
/// factor.
struct LoadStep {
  core::Duration at_{};
  double factor_ = 1;
};

/// @brief A simulated deployment and its load.
struct FleetSpec {
  config::EngineProfile engine_;
  std::size_t engines_ = 20;
  std::size_t entries_ = 9;
  /// Number of failure domains, to which engines and entries are assigned
  /// round-robin. With 0, each entry uses all engines, else the subset that
  /// routing::EndpointTable selects.
  std::size_t domains_ = 0;
  std::size_t engine_queue_limit_ = 32;
  std::vector<RequestClass> classes_;
  std::vector<Outage> outages_;
  std::vector<StatedRateLimit> rate_limits_;
  std::optional<LoadRateLimit> load_rate_limit_;
  /// Ordered by time; the factor is 1 before the first.
  std::vector<LoadStep> load_steps_;
  /// Amplitude of the sinusoidal variation of the request rate, as a share of
  /// its mean.
  double rate_amplitude_ = 0;
  core::Duration rate_period_ = std::chrono::seconds(5);
  core::Duration duration_ = std::chrono::seconds(20);
  core::Duration report_interval_ = std::chrono::milliseconds(110);
  core::Duration report_delay_ = std::chrono::milliseconds(3);
  /// A caller cancels its request if the first event does not arrive within
  /// this time after it was sent.
  core::Duration caller_timeout_ = std::chrono::milliseconds(2400);
  /// Delay before the retry of an attempt made during an outage.
  core::Duration reconnect_delay_ = std::chrono::seconds(1);
  std::uint64_t seed_ = 1;
  /// Whether entries serve requests that they expect to meet the target latency
  /// before those that they expect to miss it, as estimated at admission.
  bool on_time_first_ = true;
};

/// @brief Outcomes of the requests whose first attempt was made in one second.
struct SecondStats {
  /// Requests that ended.
  std::uint32_t requests_ = 0;
  std::uint32_t within_target_ = 0;
  /// The first event came after the target latency.
  std::uint32_t late_ = 0;
  /// The caller timed out, or its second attempt was refused or met an outage.
  std::uint32_t failed_ = 0;
  /// Requests whose first attempt was refused.
  std::uint32_t first_attempts_refused_ = 0;
  /// Requests counted in `late_` that were admitted as on time.
  std::uint32_t late_admitted_on_time_ = 0;
  /// Engines that stated a rate limit at the end of the second.
  std::uint32_t limited_engines_ = 0;
};

/// @brief Highest request rate, per second, that the engines can serve with all
/// slots in use, for the given shares of the classes.
[[nodiscard]] double MaxRequestRate(const FleetSpec& spec);

/// @brief Runs the simulation.
/// @return outcomes by the second of the first attempt.
[[nodiscard]] std::vector<SecondStats> Simulate(const FleetSpec& spec);

}  // namespace chalkwell::emulator
