// The library decides what follows from a statement.
#include "daemon/direct/endpoint_statements.hpp"

#include <utility>

namespace chalkwell::daemon::direct {
namespace {

/// Endpoints whose invalid statements are remembered, so that each is logged
/// once.
constexpr std::size_t kMaxInvalid = 512;
/// Names of unknown headers that are logged; further ones are only counted.
constexpr std::size_t kMaxUnknownHeaders = 32;
constexpr std::size_t kMaxLoggedNameLength = 64;

/// The incarnation that sent the response: another one than the request was
/// sent to if it was refused as misdirected.
routing::EndpointIncarnation Responder(const StatedResponse& response) {
  const auto& head = response.head_;
  const bool other = head.mismatched_ && !head.instance_id_.empty() &&
                     head.instance_id_ != response.endpoint_.id_;
  return other ? routing::EndpointIncarnation{head.instance_id_, std::nullopt}
               : response.endpoint_.incarnation();
}

}  // namespace

EndpointStatements::EndpointStatements(Loop& loop,
                                       routing::EndpointTable& endpoints,
                                       RateLimitManager& rate_limits,
                                       MeshNode& mesh, EventLog& log,
                                       Metrics& metrics)
    : loop_(loop),
      endpoints_(endpoints),
      rate_limits_(rate_limits),
      mesh_(mesh),
      log_(log),
      metrics_(metrics) {}

void EndpointStatements::OnResponse(const StatedResponse& response) {
  OnLeaving(response);
  OnRetryAfter(response);
  OnUnknownHeaders(response);
  rate_limits_.OnResponse(response.endpoint_, response.head_,
                          response.sent_at_);
}

void EndpointStatements::OnLeaving(const StatedResponse& response) {
  const auto& head = response.head_;
  if (!head.invalid_leaving_.empty()) {
    LogInvalid(response, head.invalid_leaving_);
  }
  if (!head.leaving_) {
    return;
  }
  const auto responder = Responder(response);
  const bool changed = endpoints_.MarkLeaving(responder);
  metrics_.Count("leaving_statements_total",
                 {{"state", changed ? "new" : "known"}});
  if (changed) {
    LogLeaving(response, "stated");
    mesh_.PublishDeparted({.leaving_ = {ToMessage(responder)}, .removed_ = {}});
  }
}

void EndpointStatements::OnRetryAfter(const StatedResponse& response) {
  const auto& head = response.head_;
  if (!head.invalid_retry_after_.empty()) {
    metrics_.Count("retry_after_statements_total", {{"state", "invalid"}});
  }
  if (!head.retry_after_) {
    return;
  }
  const auto now = loop_.Now();
  const bool changed = endpoints_.retry_times().OnRefused(
      Responder(response), now + *head.retry_after_, now);
  metrics_.Count("retry_after_statements_total",
                 {{"state", changed ? "new" : "known"}});
}

void EndpointStatements::OnUnknownHeaders(const StatedResponse& response) {
  for (const auto& name : response.head_.unknown_headers_) {
    metrics_.Count("unknown_response_headers_total", {});
    if (unknown_headers_.size() < kMaxUnknownHeaders &&
        unknown_headers_.insert(name).second) {
      log_.Write(core::EventNumber::kUnknownResponseHeader,
                 {{"request", response.request_},
                  {"endpoint", response.endpoint_.id_.value()},
                  {"header", name.substr(0, kMaxLoggedNameLength)}});
    }
  }
}

void EndpointStatements::RefreshMetrics() {
  metrics_.Set(
      "endpoints_deferred_by_refusal", {},
      static_cast<double>(endpoints_.retry_times().DeferredCount(loop_.Now())));
}

void EndpointStatements::LogLeaving(const StatedResponse& response,
                                    const std::string& change) {
  log_.Write(core::EventNumber::kEndpointLeaving,
             {{"request", response.request_},
              {"endpoint", Responder(response).id_.value()},
              {"change", change},
              {"source", "response"}});
}

void EndpointStatements::LogInvalid(const StatedResponse& response,
                                    const std::string& text) {
  metrics_.Count("leaving_statements_total", {{"state", "invalid"}});
  if (invalid_.size() >= kMaxInvalid) {
    invalid_.clear();
  }
  if (std::exchange(invalid_[response.endpoint_.id_], text) != text) {
    LogLeaving(response, "invalid: " + text);
  }
}

}  // namespace chalkwell::daemon::direct
