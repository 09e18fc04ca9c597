// Formats log lines and passes them to log4cxx.
#include "daemon/event_log.hpp"

#include <log4cxx/basicconfigurator.h>
#include <log4cxx/logger.h>
#include <log4cxx/patternlayout.h>
#include <log4cxx/writerappender.h>
#include <unistd.h>

#include <nlohmann/json.hpp>
#include <utility>

#include "daemon/clock.hpp"
#include "daemon/log_writer.hpp"

namespace chalkwell::daemon {
namespace {

log4cxx::LoggerPtr RootLogger() { return log4cxx::Logger::getRootLogger(); }

log4cxx::LevelPtr ToLog4cxxLevel(core::Severity severity) {
  switch (severity) {
    case core::Severity::kDebug:
      return log4cxx::Level::getDebug();
    case core::Severity::kInfo:
      return log4cxx::Level::getInfo();
    case core::Severity::kWarning:
      return log4cxx::Level::getWarn();
    case core::Severity::kError:
      return log4cxx::Level::getError();
  }
  return log4cxx::Level::getInfo();
}

/// WriterAppender is abstract; this makes it usable with a given writer.
class LineAppender : public log4cxx::WriterAppender {
 public:
  LineAppender(const log4cxx::LayoutPtr& layout,
               log4cxx::helpers::WriterPtr& writer)
      : log4cxx::WriterAppender(layout, writer) {}
};

std::string TextLine(const core::EventDescription& event,
                     const std::string& instance,
                     std::initializer_list<EventField> fields) {
  std::string line = "C" + std::to_string(static_cast<int>(event.number_)) +
                     " " + std::string(event.name_) + " instance=" + instance;
  for (const auto& [name, value] : fields) {
    line += " " + std::string(name) + "=" +
            nlohmann::json(value).dump(
                -1, ' ', false, nlohmann::json::error_handler_t::replace);
  }
  return line;
}

/// Fields of a JSON line without the braces; the layout of the appender adds
/// braces, time and level.
std::string JsonLine(const core::EventDescription& event,
                     const std::string& instance,
                     std::initializer_list<EventField> fields) {
  nlohmann::json line{{"event", static_cast<int>(event.number_)},
                      {"name", event.name_},
                      {"instance", instance}};
  for (const auto& [name, value] : fields) {
    line[std::string(name)] = value;
  }
  const auto text =
      line.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
  return text.substr(1, text.size() - 2);
}

}  // namespace

EventLog::EventLog(LogFormat format, core::Severity min_severity,
                   std::string instance)
    : format_(format),
      min_severity_(min_severity),
      instance_(std::move(instance)) {
  const auto* pattern =
      format == LogFormat::kText
          ? "%d{ISO8601} %-5p %m%n"
          : "{\"time\":\"%d{ISO8601}\",\"level\":\"%p\",%m}%n";
  auto layout = std::make_shared<log4cxx::PatternLayout>(pattern);
  writer_ =
      std::make_shared<LogWriter>(STDOUT_FILENO, LogRateLimit{}, BootTime);
  log4cxx::LayoutPtr base_layout = layout;
  log4cxx::helpers::WriterPtr writer = writer_;
  auto appender = std::make_shared<LineAppender>(base_layout, writer);
  RootLogger()->removeAllAppenders();
  RootLogger()->addAppender(appender);
  RootLogger()->setLevel(ToLog4cxxLevel(min_severity));
}

void EventLog::OnEvent(std::function<void(core::EventNumber)> observer) {
  on_event_ = std::move(observer);
}

void EventLog::Write(core::EventNumber number,
                     std::initializer_list<EventField> fields) {
  if (on_event_) {
    on_event_(number);
  }
  const auto& event = core::Describe(number);
  if (event.severity_ < min_severity_) {
    return;
  }
  WriteLine(event, fields);
  if (const auto dropped = writer_->TakeDropped(); dropped > 0) {
    if (on_dropped_) {
      on_dropped_(dropped);
    }
    WriteLine(core::Describe(core::EventNumber::kLogDropped),
              {{"lines", std::to_string(dropped)}});
  }
}

void EventLog::OnDropped(std::function<void(std::uint64_t)> observer) {
  on_dropped_ = std::move(observer);
}

void EventLog::WriteLine(const core::EventDescription& event,
                         std::initializer_list<EventField> fields) {
  const auto line = format_ == LogFormat::kText
                        ? TextLine(event, instance_, fields)
                        : JsonLine(event, instance_, fields);
  RootLogger()->log(ToLog4cxxLevel(event.severity_), line);
}

}  // namespace chalkwell::daemon
