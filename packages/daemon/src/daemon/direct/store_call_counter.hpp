// Calls of this process to the configuration store, by section and by cause.
// The store meters and charges every call, including those it rejects.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "daemon/direct/adapter.hpp"
#include "daemon/event_log.hpp"
#include "daemon/metrics.hpp"

namespace chalkwell::daemon::direct {

/// @brief Reason for a call to the store.
enum class StoreCallCause : std::uint8_t {
  /// Full read of a watched section: at the start, and when the store no
  /// longer has the history that the watch needs.
  kRead,
  kWatch,
  /// Periodic read.
  kPoll,
  /// Small read that shows whether the store is reachable.
  kProbe,
  /// Single read on demand, before a decision that needs a newer snapshot.
  kSingleRead,
  /// Check whether a watch missed a change.
  kConfirm,
};

[[nodiscard]] std::string_view ToString(Section section);
[[nodiscard]] std::string_view ToString(StoreCallCause cause);

/// @brief Counts the calls of one process, for the metrics and for a periodic
/// log line.
class StoreCallCounter {
 public:
  StoreCallCounter(EventLog& log, Metrics& metrics);

  void OnCall(Section section, StoreCallCause cause);
  /// @brief Writes a log line if calls were made since the last one.
  void LogSummary();

 private:
  static constexpr std::size_t kSections = 4;
  static constexpr std::size_t kCauses = 6;

  EventLog& log_;
  Metrics& metrics_;
  /// Both since the last log line.
  std::array<std::uint64_t, kSections> by_section_{};
  std::array<std::uint64_t, kCauses> by_cause_{};
};

}  // namespace chalkwell::daemon::direct
