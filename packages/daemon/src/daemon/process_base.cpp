// Start, reload and planned stop of a daemon.
#include "daemon/process_base.hpp"

#include <csignal>
#include <utility>

namespace chalkwell::daemon {
namespace {

constexpr auto kIoTimeout = std::chrono::seconds(120);
constexpr auto kStopCheck = std::chrono::milliseconds(50);
/// Between two looks at the settings file's time of change.
constexpr auto kFileCheck = std::chrono::seconds(2);
/// Time for the last answers to leave the sockets.
constexpr auto kFlushTime = std::chrono::milliseconds(300);

core::Severity SeverityOf(const std::string& level) {
  if (level == "debug") {
    return core::Severity::kDebug;
  }
  if (level == "warning") {
    return core::Severity::kWarning;
  }
  return level == "error" ? core::Severity::kError : core::Severity::kInfo;
}

std::optional<Address> OptionalAddress(const Settings& settings,
                                       const std::string& section,
                                       const std::string& key) {
  const auto& text = settings.Text(section, key);
  return text.empty() ? std::nullopt : std::optional(ParseAddress(text));
}

}  // namespace

ProcessBase::ProcessBase(Loop& loop, const Settings& settings, std::string name)
    : loop_(loop),
      settings_(settings),
      id_(settings.Text("instance", "id")),
      domain_(settings.Text("instance", "domain")),
      log_(settings.Text("log", "format") == "json" ? LogFormat::kJson
                                                    : LogFormat::kText,
           SeverityOf(settings.Text("log", "level")), id_.value()),
      http_(loop, kIoTimeout),
      tracer_(loop, http_, "chalkwell-" + name,
              OptionalAddress(settings, "trace", "collector")),
      stop_timer_(loop),
      reload_timer_(loop),
      stop_(settings.Milliseconds("stop", "drain_ms")) {
  log_.OnEvent(
      [this](core::EventNumber number) { metrics_.CountEvent(number); });
  log_.OnDropped([this](std::uint64_t lines) {
    metrics_.Count("log_lines_dropped_total", {}, static_cast<double>(lines));
  });
  SetUncaughtHandler([this](const std::exception& error) {
    log_.Write(core::EventNumber::kInternalError, {{"error", error.what()}});
  });
  loop_.OnResume([this](core::Duration suspended) {
    const auto length =
        std::chrono::duration_cast<std::chrono::milliseconds>(suspended);
    log_.Write(core::EventNumber::kResumed,
               {{"suspended_ms", std::to_string(length.count())}});
    if (on_resume_) {
      on_resume_();
    }
  });
  log_.Write(core::EventNumber::kStarted,
             {{"subcommand", name}, {"domain", domain_.value()}});
}

void ProcessBase::Run(std::function<void()> begin_stop,
                      std::function<void()> end_accepting) {
  begin_stop_ = std::move(begin_stop);
  end_accepting_ = std::move(end_accepting);
  std::signal(SIGPIPE, SIG_IGN);
  loop_.OnSignal(SIGTERM, [this] { OnStopSignal(); });
  loop_.OnSignal(SIGINT, [this] { OnStopSignal(); });
  loop_.Run();
}

void ProcessBase::OnReload(std::function<void()> handler) {
  on_reload_ = std::move(handler);
  loop_.OnSignal(SIGHUP, [this] { Reload(); });
  // The file may change without a signal, too.
  reload_timer_.Every(kFileCheck, [this] {
    if (settings_.FileChanged()) {
      Reload();
    }
  });
}

void ProcessBase::Reload() {
  try {
    settings_ = settings_.LoadAgain();
  } catch (const std::exception& error) {
    log_.Write(core::EventNumber::kSettingsReloaded,
               {{"taken", "no"}, {"error", error.what()}});
    return;
  }
  log_.Write(core::EventNumber::kSettingsReloaded, {{"taken", "yes"}});
  on_reload_();
}

void ProcessBase::OnStopSignal() {
  if (stop_.draining()) {
    loop_.Stop();
    return;
  }
  stop_.Begin(loop_.Now());
  log_.Write(core::EventNumber::kStopping);
  begin_stop_();
  stop_timer_.Every(kStopCheck, [this] { CheckStopped(); });
}

void ProcessBase::CheckStopped() {
  if (!stop_.MayExit(loop_.Now())) {
    return;
  }
  log_.Write(core::EventNumber::kStopped,
             {{"unfinished", std::to_string(stop_.pending())}});
  if (end_accepting_) {
    end_accepting_();
  }
  stop_timer_.Once(kFlushTime, [this] { loop_.Stop(); });
}

}  // namespace chalkwell::daemon
