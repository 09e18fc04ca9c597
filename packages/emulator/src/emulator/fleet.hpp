// Callers, entries and engines in simulated time. Entries choose and admit with
// the library's own modules, by reports that arrive late.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <string>
#include <vector>

#include "chalkwell/routing/endpoint_table.hpp"
#include "chalkwell/routing/request_age_estimator.hpp"
#include "emulator/engine.hpp"

namespace chalkwell::emulator {

/// @brief One kind of request.
struct Kind {
  std::string route_;
  double requests_per_second_ = 0;
  /// Means of log-normal sizes.
  double prompt_tokens_ = 0;
  double answer_tokens_ = 0;
  /// Standard deviation of the logarithm of both.
  double spread_ = 0;
  core::Duration target_{};
  /// Time that a caller gives.
  core::Duration budget_{};
  /// Callers give up to this part less, each another time.
  double budget_spread_ = 0;
};

/// @brief All machines are away for a while; their engines follow later.
struct Outage {
  core::Duration at_{};
  core::Duration entries_back_{};
  core::Duration engines_back_{};
};

/// @brief From a time on all kinds ask so many times as often.
struct LoadStep {
  core::Duration at_{};
  double factor_ = 1;
};

/// @brief A deployment and its load.
struct FleetSpec {
  config::EngineProfile engine_;
  std::size_t engines_ = 20;
  std::size_t entries_ = 9;
  /// Failure domains of both, in turn. With 0 every entry uses all engines,
  /// else the subset that is its own.
  std::size_t domains_ = 0;
  std::size_t engine_queue_ = 32;
  std::vector<Kind> kinds_;
  std::vector<Outage> outages_;
  /// In order of time; 1 before the first.
  std::vector<LoadStep> load_steps_;
  /// Traffic swings by this part of its mean, up and down, as a sine.
  double swing_ = 0;
  core::Duration swing_period_ = std::chrono::seconds(5);
  core::Duration length_ = std::chrono::seconds(20);
  core::Duration report_interval_ = std::chrono::milliseconds(110);
  core::Duration report_delay_ = std::chrono::milliseconds(3);
  /// A caller leaves when no event came for this long.
  core::Duration patience_ = std::chrono::milliseconds(2400);
  /// A caller without an answer asks once more after this.
  core::Duration reconnect_ = std::chrono::seconds(1);
  std::uint64_t seed_ = 1;
  /// Whether late requests wait for those on time, as the entries decide.
  bool late_last_ = true;
};

/// @brief What callers got who asked first in one second.
struct Second {
  std::uint32_t asked_ = 0;
  std::uint32_t in_target_ = 0;
  std::uint32_t late_ = 0;
  std::uint32_t refused_ = 0;
  /// Of all, those whose first try was rejected.
  std::uint32_t rejected_first_ = 0;
  /// Of the late ones, those that were admitted as on time.
  std::uint32_t late_on_time_ = 0;
};

/// @brief Requests a second that full engines of a deployment give, in its mix.
[[nodiscard]] double Capacity(const FleetSpec& spec);

/// @brief Plays a fleet.
/// @return by second of the first try.
[[nodiscard]] std::vector<Second> Play(const FleetSpec& spec);

}  // namespace chalkwell::emulator
