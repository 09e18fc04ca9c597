// Error responses to callers: RFC 9457 problem documents with the outcome of
// the request, an event number and the retry delay.
#pragma once

#include <optional>
#include <string>

#include "chalkwell/core/event.hpp"
#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/request_tracker.hpp"
#include "daemon/http_server.hpp"

namespace chalkwell::daemon {

/// @brief Error response to a caller.
struct Problem {
  /// HTTP status.
  int status_ = 500;
  std::string title_;
  std::string detail_;
  /// Event that explains the error; the `type` URL is built from its number.
  core::EventNumber event_{};
  /// Whether the request was run, as far as the sender knows.
  routing::Outcome outcome_ = routing::Outcome::kRefusedNotRun;
  /// Delay before a retry; empty when a retry makes no sense.
  std::optional<core::Duration> retry_after_;
  /// Request id.
  std::string request_;
  /// Execution ticket under which the request was sent; may be empty.
  std::string ticket_;
};

/// @brief Body of the problem document.
[[nodiscard]] std::string ToJson(const Problem& problem);
/// @brief Sends the problem document, with `Retry-After` in whole seconds,
/// rounded up, when `retry_after_` is set.
void SendProblem(HttpExchange& exchange, const Problem& problem);

}  // namespace chalkwell::daemon
