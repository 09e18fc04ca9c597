// Numbered events through log4cxx, as text or JSON lines on standard output.
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

/// @brief How log lines look.
enum class LogFormat : std::uint8_t { kText, kJson };

/// @brief A named value of an event.
using EventField = std::pair<std::string_view, std::string>;

class LogWriter;

/// @brief Writes events to standard output; bounded, and never waiting.
class EventLog {
 public:
  /// @param instance name that every line carries.
  EventLog(LogFormat format, core::Severity least, std::string instance);

  void Write(core::EventNumber number,
             std::initializer_list<EventField> fields = {});
  /// @brief Called for each event written; for counters.
  void OnEvent(std::function<void(core::EventNumber)> observer);
  /// @brief Called with the number of lines dropped since the last call, when
  /// a line could be written again.
  void OnDropped(std::function<void(std::uint64_t)> observer);

 private:
  void Put(const core::EventDescription& event,
           std::initializer_list<EventField> fields);

  LogFormat format_;
  core::Severity least_;
  std::string instance_;
  std::function<void(core::EventNumber)> observer_;
  std::function<void(std::uint64_t)> on_dropped_;
  std::shared_ptr<LogWriter> writer_;
};

}  // namespace chalkwell::daemon
