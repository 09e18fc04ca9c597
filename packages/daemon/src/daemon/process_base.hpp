// Parts of every daemon process: settings, log, metrics, tracer, HTTP client
// and graceful shutdown.
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
  /// @param name name of the subcommand, `entry` or `agent`.
  ProcessBase(Loop& loop, const Settings& settings, std::string name);

  [[nodiscard]] Loop& loop() noexcept { return loop_; }
  [[nodiscard]] const Settings& settings() const noexcept { return settings_; }
  [[nodiscard]] const core::InstanceId& id() const noexcept { return id_; }
  [[nodiscard]] const core::FailureDomainId& domain() const noexcept {
    return domain_;
  }
  [[nodiscard]] EventLog& log() noexcept { return log_; }
  [[nodiscard]] Metrics& metrics() noexcept { return metrics_; }
  [[nodiscard]] HttpClient& http_client() noexcept { return http_; }
  [[nodiscard]] Tracer& tracer() noexcept { return tracer_; }
  [[nodiscard]] membership::GracefulShutdown& shutdown() noexcept {
    return shutdown_;
  }
  [[nodiscard]] bool stopping() const noexcept { return shutdown_.draining(); }

  /// @brief Runs the event loop until a graceful shutdown has finished. SIGTERM
  /// or SIGINT starts the shutdown; a second signal ends the process at once.
  /// @param begin_shutdown called once at the first signal.
  /// @param stop_accepting called once when no work is pending or the drain
  /// time has passed. A caller that connects between this and the exit is
  /// refused instead of losing its connection.
  void Run(std::function<void()> begin_shutdown,
           std::function<void()> stop_accepting = nullptr);
  /// @brief Reloads the settings file at each SIGHUP and whenever the file has
  /// changed, and calls the handler after each success. Invalid settings are
  /// logged and have no effect.
  void OnReload(std::function<void()> handler);
  /// @brief Sets the handler to call after the process was suspended.
  void OnResume(std::function<void()> handler) {
    on_resume_ = std::move(handler);
  }

 private:
  void OnStopSignal();
  /// Stops the loop once the shutdown may finish.
  void CheckShutdown();
  void Reload();

  Loop& loop_;
  Settings settings_;
  core::InstanceId id_;
  core::FailureDomainId domain_;
  EventLog log_;
  Metrics metrics_;
  HttpClient http_;
  Tracer tracer_;
  Timer shutdown_timer_;
  Timer reload_timer_;
  std::function<void()> begin_shutdown_;
  std::function<void()> stop_accepting_;
  std::function<void()> on_reload_;
  std::function<void()> on_resume_;
  membership::GracefulShutdown shutdown_;
};

}  // namespace chalkwell::daemon
