// The admin listener of both daemons: /metrics, /healthz, /readyz, /status, and
// /quarantine/lift where requests are quarantined.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "daemon/http_server.hpp"
#include "daemon/metrics.hpp"

namespace chalkwell::daemon {

/// @brief What the admin listener asks of its process.
struct AdminHooks {
  /// Empty when ready, else the reason why not.
  std::function<std::string()> not_ready_;
  /// JSON text.
  std::function<std::string()> status_;
  /// Called before metrics are rendered, to set gauges.
  std::function<void()> refresh_;
  /// Ends the quarantine of a request, by its content digest; false when there
  /// is none. None for processes without a quarantine.
  std::function<bool(const std::string& content)> lift_quarantine_ = nullptr;
};

/// @brief Opens the admin listener.
[[nodiscard]] std::unique_ptr<HttpServer> OpenAdmin(Loop& loop,
                                                    const Address& address,
                                                    Metrics& metrics,
                                                    AdminHooks hooks);

}  // namespace chalkwell::daemon
