// Start, settings reload and graceful shutdown of a daemon.
#include "daemon/process_base.hpp"

#include <csignal>
#include <utility>

namespace chalkwell::daemon {
namespace {

constexpr auto kIoTimeout = std::chrono::seconds(120);
constexpr auto kShutdownCheckPeriod = std::chrono::milliseconds(50);
/// Between two checks of the settings file's modification time.
constexpr auto kFileCheckPeriod = std::chrono::seconds(2);
/// For sending what remains of the last responses.
constexpr auto kFlushTime = std::chrono::milliseconds(300);

core::Severity ParseSeverity(const std::string& level) {
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
           ParseSeverity(settings.Text("log", "level")), id_.value()),
      http_(loop, kIoTimeout),
      tracer_(loop, http_, "chalkwell-" + name,
              OptionalAddress(settings, "trace", "collector")),
      shutdown_timer_(loop),
      reload_timer_(loop),
      shutdown_(settings.Milliseconds("stop", "drain_ms")) {
  log_.OnEvent(
      [this](core::EventNumber number) { metrics_.CountEvent(number); });
  log_.OnDropped([this](std::uint64_t lines) {
    metrics_.Count("log_lines_dropped_total", {}, static_cast<double>(lines));
  });
  SetUncaughtHandler([this](const std::exception& error) {
    log_.Write(core::EventNumber::kInternalError, {{"error", error.what()}});
  });
  loop_.OnResume([this](core::Duration suspended) {
    const auto suspended_ms =
        std::chrono::duration_cast<std::chrono::milliseconds>(suspended);
    log_.Write(core::EventNumber::kMachineResumed,
               {{"suspended_ms", std::to_string(suspended_ms.count())}});
    if (on_resume_) {
      on_resume_();
    }
  });
  log_.Write(core::EventNumber::kStarted,
             {{"subcommand", name}, {"domain", domain_.value()}});
}

void ProcessBase::Run(std::function<void()> begin_shutdown,
                      std::function<void()> stop_accepting) {
  begin_shutdown_ = std::move(begin_shutdown);
  stop_accepting_ = std::move(stop_accepting);
  std::signal(SIGPIPE, SIG_IGN);
  loop_.OnSignal(SIGTERM, [this] { OnStopSignal(); });
  loop_.OnSignal(SIGINT, [this] { OnStopSignal(); });
  loop_.Run();
}

void ProcessBase::OnReload(std::function<void()> handler) {
  on_reload_ = std::move(handler);
  loop_.OnSignal(SIGHUP, [this] { Reload(); });
  // Detects changes for which no signal is sent.
  reload_timer_.Every(kFileCheckPeriod, [this] {
    if (settings_.FileChanged()) {
      Reload();
    }
  });
}

void ProcessBase::Reload() {
  try {
    settings_ = settings_.Reload();
  } catch (const std::exception& error) {
    log_.Write(core::EventNumber::kSettingsReloaded,
               {{"taken", "no"}, {"error", error.what()}});
    return;
  }
  log_.Write(core::EventNumber::kSettingsReloaded, {{"taken", "yes"}});
  on_reload_();
}

void ProcessBase::OnStopSignal() {
  if (shutdown_.draining()) {
    loop_.Stop();
    return;
  }
  shutdown_.Begin(loop_.Now());
  log_.Write(core::EventNumber::kStopping);
  begin_shutdown_();
  shutdown_timer_.Every(kShutdownCheckPeriod, [this] { CheckShutdown(); });
}

void ProcessBase::CheckShutdown() {
  if (!shutdown_.MayExit(loop_.Now())) {
    return;
  }
  log_.Write(core::EventNumber::kStopped,
             {{"unfinished", std::to_string(shutdown_.pending())}});
  if (stop_accepting_) {
    stop_accepting_();
  }
  shutdown_timer_.Once(kFlushTime, [this] { loop_.Stop(); });
}

}  // namespace chalkwell::daemon
