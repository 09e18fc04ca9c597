// Rate limits that endpoints state in their responses: logs how they change and
// shares them with the other entries, so that these need not exceed a limit
// before they learn of it.
#pragma once

#include <map>
#include <optional>
#include <string>
#include <vector>

#include "chalkwell/routing/endpoint_rate_limits.hpp"
#include "chalkwell/routing/endpoint_table.hpp"
#include "daemon/direct/adapter.hpp"
#include "daemon/direct/mesh_node.hpp"
#include "daemon/event_log.hpp"
#include "daemon/loop.hpp"
#include "daemon/metrics.hpp"

namespace chalkwell::daemon::direct {

/// @return the rate in decimal notation, "none" without one.
[[nodiscard]] std::string RateText(
    const std::optional<double>& requests_per_second);

/// @brief Manages the rate limits that one entry knows.
class RateLimitManager {
 public:
  RateLimitManager(Loop& loop, routing::EndpointRateLimits& limits,
                   MeshNode& mesh, EventLog& log, Metrics& metrics);

  /// @brief Applies what an endpoint stated in a response.
  /// @param sent_at when the request was sent.
  void OnResponse(const routing::EndpointRow& endpoint,
                  const ResponseHead& response, core::TimePoint sent_at);
  /// @brief Merges limits that another entry sent, and forwards those that
  /// changed something.
  /// @param sent_at when they were sent, by the local clock.
  void OnLimits(const membership::Member& sender,
                const std::vector<RateLimitMessage>& limits,
                core::TimePoint sent_at);
  /// @brief Samples limits to send to another entry by gossip.
  [[nodiscard]] std::vector<RateLimitMessage> Sample(std::size_t max_limits);
  /// @brief Updates the gauges.
  void RefreshMetrics();

 private:
  void LogInvalid(const routing::EndpointRow& endpoint,
                  const std::string& text);
  void LogChange(const routing::RateLimitStatement& statement,
                 routing::RateLimitChange change, const std::string& source);

  Loop& loop_;
  routing::EndpointRateLimits& limits_;
  MeshNode& mesh_;
  EventLog& log_;
  Metrics& metrics_;
  /// Invalid limits that were logged, by endpoint.
  std::map<core::InstanceId, std::string> invalid_;
  Timer expiry_timer_;
};

}  // namespace chalkwell::daemon::direct
