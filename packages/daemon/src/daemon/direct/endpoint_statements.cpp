// A response of another incarnation than the one that the request was sent to
// states nothing about the latter.
#include "daemon/direct/endpoint_statements.hpp"

#include <utility>

namespace chalkwell::daemon::direct {
namespace {

/// Endpoints whose statements are remembered, so that each is logged once.
constexpr std::size_t kMaxLogged = 512;

}  // namespace

EndpointStatements::EndpointStatements(routing::EndpointTable& endpoints,
                                       RateLimitManager& rate_limits,
                                       EventLog& log, Metrics& metrics)
    : endpoints_(endpoints),
      rate_limits_(rate_limits),
      log_(log),
      metrics_(metrics) {}

void EndpointStatements::OnResponse(const StatedResponse& response) {
  OnLeaving(response);
  rate_limits_.OnResponse(response.endpoint_, response.head_,
                          response.sent_at_);
}

void EndpointStatements::OnLeaving(const StatedResponse& response) {
  const auto& head = response.head_;
  if (!head.invalid_leaving_.empty()) {
    metrics_.Count("leaving_statements_total", {{"state", "invalid"}});
    LogLeaving(response, "invalid: " + head.invalid_leaving_);
  }
  if (!head.leaving_) {
    return;
  }
  const bool known =
      endpoints_.IsLeavingOrRemoved(response.endpoint_.incarnation());
  metrics_.Count("leaving_statements_total",
                 {{"state", known ? "known" : "new"}});
  LogLeaving(response, known ? "known" : "stated");
}

void EndpointStatements::LogLeaving(const StatedResponse& response,
                                    const std::string& change) {
  if (logged_.size() >= kMaxLogged) {
    logged_.clear();
  }
  const auto& id = response.endpoint_.id_;
  if (std::exchange(logged_[id], change) != change) {
    log_.Write(core::EventNumber::kEndpointLeaving,
               {{"request", response.request_},
                {"endpoint", id.value()},
                {"change", change},
                {"source", "response"}});
  }
}

}  // namespace chalkwell::daemon::direct
