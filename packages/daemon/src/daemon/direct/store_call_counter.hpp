// What this process asks of the published store: calls by section and by cause.
// The store counts and prices each call, also those that it refuses.
#pragma once

#include <array>
#include <cstdint>
#include <string_view>

#include "daemon/direct/adapter.hpp"
#include "daemon/event_log.hpp"
#include "daemon/metrics.hpp"

namespace chalkwell::daemon::direct {

/// @brief Why the store is called.
enum class StoreCallCause : std::uint8_t {
  /// A watched section is read whole: at the start, and when its history is
  /// gone.
  kRead,
  kWatch,
  /// Read again and again.
  kPoll,
  /// A small read that shows whether the store answers.
  kProbe,
  /// A single read that a decision asked for.
  kSingleRead,
};

[[nodiscard]] std::string_view ToString(Section section);
[[nodiscard]] std::string_view ToString(StoreCallCause cause);

/// @brief Counts one process's calls, for metrics and for a line of the log now
/// and then.
class StoreCallCounter {
 public:
  StoreCallCounter(EventLog& log, Metrics& metrics);

  void OnCall(Section section, StoreCallCause cause);
  /// @brief Writes a line when calls were made since the last one.
  void LogSummary();

 private:
  static constexpr std::size_t kSections = 3;
  static constexpr std::size_t kCauses = 5;

  EventLog& log_;
  Metrics& metrics_;
  /// Both since the last line.
  std::array<std::uint64_t, kSections> by_section_{};
  std::array<std::uint64_t, kCauses> by_cause_{};
};

}  // namespace chalkwell::daemon::direct
