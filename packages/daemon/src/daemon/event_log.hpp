// Log of numbered events, written with log4cxx as text or JSON lines to
// standard output.
#pragma once

#include <cstdint>
#include <functional>
#include <initializer_list>
#include <memory>
#include <string>
#include <string_view>
#include <utility>

#include "chalkwell/core/event.hpp"
#include "daemon/fwd.hpp"

namespace chalkwell::daemon {

/// @brief Format of log lines.
enum class LogFormat : std::uint8_t { kText, kJson };

/// @brief Name and value of a field of an event.
using EventField = std::pair<std::string_view, std::string>;

class LogWriter;

/// @brief Writes events to standard output without ever blocking. Lines over
/// the rate limit of LogRateLimit, and lines for which the pipe has no room,
/// are dropped and counted; the next line written is followed by a log-dropped
/// event with their number. The constructor replaces the appenders of log4cxx's
/// root logger.
class EventLog {
 public:
  /// @param min_severity events below it are not written.
  /// @param instance name of this process, written in every line.
  EventLog(LogFormat format, core::Severity min_severity, std::string instance);

  /// @brief Writes one line.
  void Write(core::EventNumber number,
             std::initializer_list<EventField> fields = {});
  /// @brief Sets the observer that is called for every event, also for those
  /// below the minimum severity; used to count events.
  void OnEvent(std::function<void(core::EventNumber)> observer);
  /// @brief Sets the observer that is called with the number of lines dropped
  /// since its last call, by the next Write after them.
  void OnDropped(std::function<void(std::uint64_t)> observer);

 private:
  void WriteLine(const core::EventDescription& event,
                 std::initializer_list<EventField> fields);

  LogFormat format_;
  core::Severity min_severity_;
  std::string instance_;
  std::function<void(core::EventNumber)> on_event_;
  std::function<void(std::uint64_t)> on_dropped_;
  std::shared_ptr<LogWriter> writer_;
};

}  // namespace chalkwell::daemon
