// What every daemon process has: settings, log, metrics, tracer, client, and a
// planned stop.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "chalkwell/core/identifier.hpp"
#include "chalkwell/membership/graceful_shutdown.hpp"
#include "daemon/event_log.hpp"
#include "daemon/http_client.hpp"
#include "daemon/loop.hpp"
#include "daemon/metrics.hpp"
#include "daemon/settings.hpp"
#include "daemon/tracer.hpp"

namespace chalkwell::daemon {

/// @brief Common parts of one daemon process.
class ProcessBase {
 public:
  /// @param name of the subcommand.
  ProcessBase(Loop& loop, const Settings& settings, std::string name);

  [[nodiscard]] Loop& loop() noexcept { return loop_; }
  [[nodiscard]] const Settings& settings() const noexcept { return settings_; }
  [[nodiscard]] const core::InstanceId& id() const noexcept { return id_; }
  [[nodiscard]] const core::FailureDomainId& domain() const noexcept {
    return domain_;
  }
  [[nodiscard]] EventLog& log() noexcept { return log_; }
  [[nodiscard]] Metrics& metrics() noexcept { return metrics_; }
  [[nodiscard]] HttpClient& http() noexcept { return http_; }
  [[nodiscard]] Tracer& tracer() noexcept { return tracer_; }
  [[nodiscard]] membership::GracefulShutdown& stop() noexcept { return stop_; }
  [[nodiscard]] bool stopping() const noexcept { return stop_.draining(); }

  /// @brief Runs until a planned stop is finished or a second signal comes.
  /// @param begin_stop called once at the first SIGTERM or SIGINT.
  /// @param end_accepting called once when all work has ended: a caller that
  /// comes between this and the exit is to find no listener, not a connection
  /// that breaks.
  void Run(std::function<void()> begin_stop,
           std::function<void()> end_accepting = nullptr);
  /// @brief Reads the settings file again at each SIGHUP and when it has
  /// changed, and calls the handler; faulty settings are logged and not taken.
  void OnReload(std::function<void()> handler);
  /// @brief Calls the handler after a suspension of the machine.
  void OnResume(std::function<void()> handler) {
    on_resume_ = std::move(handler);
  }

 private:
  void OnStopSignal();
  void CheckStopped();
  void Reload();

  Loop& loop_;
  Settings settings_;
  core::InstanceId id_;
  core::FailureDomainId domain_;
  EventLog log_;
  Metrics metrics_;
  HttpClient http_;
  Tracer tracer_;
  Timer stop_timer_;
  Timer reload_timer_;
  std::function<void()> begin_stop_;
  std::function<void()> end_accepting_;
  std::function<void()> on_reload_;
  std::function<void()> on_resume_;
  membership::GracefulShutdown stop_;
};

}  // namespace chalkwell::daemon
