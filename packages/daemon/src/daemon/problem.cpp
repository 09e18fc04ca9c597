// Writes problem documents as JSON.
#include "daemon/problem.hpp"

#include <nlohmann/json.hpp>

namespace chalkwell::daemon {

std::string ToJson(const Problem& problem) {
  nlohmann::json body{
      {"type", "https://chalkwell.dev/events/" +
                   std::to_string(static_cast<int>(problem.event_))},
      {"title", problem.title_},
      {"status", problem.status_},
      {"detail", problem.detail_},
      {"outcome", routing::ToString(problem.outcome_)},
      {"event", static_cast<int>(problem.event_)},
      {"request", problem.request_}};
  if (problem.retry_after_) {
    body["retry_after_ms"] =
        std::chrono::ceil<std::chrono::milliseconds>(*problem.retry_after_)
            .count();
  }
  if (!problem.ticket_.empty()) {
    body["idempotency_key"] = problem.ticket_;
  }
  return body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace);
}

void SendProblem(HttpExchange& exchange, const Problem& problem) {
  HttpHeaders headers{{"content-type", "application/problem+json"},
                      {"x-request-id", problem.request_}};
  if (problem.retry_after_) {
    const auto seconds =
        std::chrono::ceil<std::chrono::seconds>(*problem.retry_after_);
    headers.emplace_back("retry-after", std::to_string(seconds.count()));
  }
  if (!problem.ticket_.empty()) {
    headers.emplace_back("idempotency-key", problem.ticket_);
  }
  exchange.Respond(problem.status_, headers, ToJson(problem));
}

}  // namespace chalkwell::daemon
