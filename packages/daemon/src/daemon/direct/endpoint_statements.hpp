// What endpoints state about themselves in the heads of their responses: logs
// each change, hands it to the decision that uses it and, if other entries need
// it, publishes it.
#pragma once

#include <map>
#include <set>
#include <string>

#include "chalkwell/routing/endpoint_table.hpp"
#include "daemon/direct/adapter.hpp"
#include "daemon/direct/mesh_node.hpp"
#include "daemon/direct/rate_limit_manager.hpp"
#include "daemon/event_log.hpp"
#include "daemon/loop.hpp"
#include "daemon/metrics.hpp"

namespace chalkwell::daemon::direct {

/// @brief A response whose head has arrived.
struct StatedResponse {
  /// Id of the caller's request.
  std::string request_;
  /// The endpoint to which the request was sent.
  routing::EndpointRow endpoint_;
  core::TimePoint sent_at_;
  ResponseHead head_;
};

/// @brief Applies the statements of responses to requests of one entry.
class EndpointStatements {
 public:
  EndpointStatements(Loop& loop, routing::EndpointTable& endpoints,
                     RateLimitManager& rate_limits, MeshNode& mesh,
                     EventLog& log, Metrics& metrics);

  void OnResponse(const StatedResponse& response);
  /// @brief Updates the gauges.
  void RefreshMetrics();

 private:
  void OnLeaving(const StatedResponse& response);
  void OnRetryAfter(const StatedResponse& response);
  void OnUnknownHeaders(const StatedResponse& response);
  void LogLeaving(const StatedResponse& response, const std::string& change);
  void LogInvalid(const StatedResponse& response, const std::string& text);

  Loop& loop_;
  routing::EndpointTable& endpoints_;
  RateLimitManager& rate_limits_;
  MeshNode& mesh_;
  EventLog& log_;
  Metrics& metrics_;
  /// Invalid statements that were logged, by endpoint.
  std::map<core::InstanceId, std::string> invalid_;
  /// Names of unknown headers that were logged.
  std::set<std::string> unknown_headers_;
};

}  // namespace chalkwell::daemon::direct
