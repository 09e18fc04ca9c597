// HTTP server for operators in every daemon: /metrics, /healthz, /readyz,
// /status, and /quarantine/lift in processes that quarantine requests.
#pragma once

#include <functional>
#include <memory>
#include <string>

#include "daemon/http_server.hpp"
#include "daemon/metrics.hpp"

namespace chalkwell::daemon {

/// @brief What the process provides to its admin server.
struct AdminHooks {
  /// Why the process is not ready; empty when it is. Sent by /readyz, with
  /// status 503 unless empty.
  std::function<std::string()> not_ready_reason_;
  /// JSON text, sent by /status.
  std::function<std::string()> status_json_;
  /// Sets gauges; called before metrics are rendered.
  std::function<void()> update_gauges_;
  /// Lifts the quarantine of the request with this content digest; false if no
  /// such request is quarantined. Null in processes without a quarantine.
  std::function<bool(const std::string& content)> lift_quarantine_ = nullptr;
};

/// @brief Starts the admin server.
/// @throws core::Error if the address cannot be bound.
[[nodiscard]] std::unique_ptr<HttpServer> MakeAdminServer(
    Loop& loop, const Address& address, Metrics& metrics, AdminHooks hooks);

}  // namespace chalkwell::daemon
