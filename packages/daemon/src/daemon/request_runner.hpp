// Runs one caller's request from admission to its outcome.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "chalkwell/config/published_lists.hpp"
#include "chalkwell/routing/affinity_chooser.hpp"
#include "chalkwell/routing/execution_ticket.hpp"
#include "chalkwell/routing/request_tracker.hpp"
#include "chalkwell/routing/retry_budget.hpp"
#include "daemon/agent_links.hpp"
#include "daemon/event_log.hpp"
#include "daemon/http_server.hpp"
#include "daemon/metrics.hpp"
#include "daemon/tracer.hpp"

namespace chalkwell::daemon {

/// @brief Objects that the requests of one entry share.
struct RequestDependencies {
  Loop& loop_;
  const core::InstanceId& self_;
  AgentLinks& links_;
  routing::AffinityChooser& chooser_;
  routing::RetryBudget& budget_;
  EventLog& log_;
  Metrics& metrics_;
  Tracer& tracer_;
};

/// @brief Endpoints of a role that may get new work now, except those in
/// `excluded`. Endpoints at which this entry uses its whole share of the slots
/// are returned only if there is no other.
[[nodiscard]] std::vector<routing::Candidate> AvailableCandidates(
    const membership::ListedEndpoints& roster, const core::Role& role,
    core::TimePoint now, const std::set<core::InstanceId>& excluded);

/// @brief A request that passed admission.
struct AdmittedRequest {
  std::string id_;
  core::ClientAccountId account_;
  /// Weight of the account in the queue of waiting requests.
  std::uint64_t weight_ = 1;
  core::Role role_;
  /// Whether the request may be executed more than once, as set for its route.
  bool repeatable_ = false;
  core::TimePoint deadline_;
  routing::AttemptNumber max_attempts_ = 1;
  /// Value of `Retry-After` if the request is refused.
  core::Duration retry_after_{};
  /// Start of the prompt, which the backend's prefix cache would use as its
  /// key.
  std::string prefix_;
  /// Ticket supplied by the caller; if empty, the entry issues one unless the
  /// request is repeatable.
  std::optional<routing::ExecutionTicket> ticket_;
};

/// @brief Performs the actions of a request's RequestTracker: chooses
/// endpoints, sends attempts, forwards the response and reports the outcome.
///
/// Must be owned by a std::shared_ptr; keeps itself alive until the outcome is
/// decided.
class RequestRunner : public std::enable_shared_from_this<RequestRunner> {
 public:
  /// @param on_done called once, when the outcome is decided.
  RequestRunner(RequestDependencies services, HttpExchangePtr exchange,
                AdmittedRequest request,
                std::function<void(routing::Outcome)> on_done);

  void Start();

 private:
  void Perform(const routing::RequestActions& actions);
  void Choose(bool same_weights);
  [[nodiscard]] std::optional<core::InstanceId> ChooseEndpoint(
      bool same_weights);
  void Send(const routing::SendAttempt& send);
  void OnFrame(routing::AttemptNumber attempt, const RunFrame& frame);
  void OnResponseBegin(routing::AttemptNumber attempt, const RunFrame& frame);
  void OnResponseData(routing::AttemptNumber attempt, const RunFrame& frame);
  [[nodiscard]] bool CanContinueElsewhere();
  void OnStalled(routing::AttemptNumber attempt);
  void OnStreamEnd(routing::AttemptNumber attempt, PeerEnd end);
  void EndAttempt(routing::AttemptNumber attempt, routing::AttemptEnd end,
                  const std::string& reason);
  void Finish(const routing::FinishRequest& finish);
  void SendResponse();
  void ReportFailure(const routing::FinishRequest& finish);
  void StartStreaming();
  void ForwardEvents(routing::AttemptNumber attempt, std::string_view bytes);
  [[nodiscard]] HttpHeaders ResponseHeaders() const;
  [[nodiscard]] std::string TicketText() const;

  RequestDependencies services_;
  HttpExchangePtr exchange_;
  AdmittedRequest request_;
  std::function<void(routing::Outcome)> on_done_;
  routing::RequestTracker tracker_;
  Span span_;
  Timer deadline_timer_;
  /// Endpoints to which an attempt was sent.
  std::set<core::InstanceId> tried_endpoints_;
  /// Endpoint of the current attempt.
  core::InstanceId endpoint_;
  /// Weights pinned for the current attempt; empty for services without
  /// weights.
  core::Digest manifest_;
  std::optional<routing::ExecutionTicket> ticket_;
  OutgoingCallPtr call_;
  FrameReader reader_;
  /// First frame of the current attempt's response.
  RunFrame begin_frame_;
  /// Body of the current attempt's response, buffered until it may be sent to
  /// the caller.
  std::string buffered_;
  /// Received bytes of an event that is not complete yet.
  std::string partial_event_;
  /// Number of events that the caller already had when the attempt was sent.
  std::uint64_t resume_from_ = 0;
  /// The bytes forwarded to the caller are complete events, so another endpoint
  /// can resume the response.
  bool events_forwarded_ = false;
  bool streaming_ = false;
  /// Why the last attempt ended or no endpoint was found; logged and reported
  /// to the caller.
  std::string last_failure_;
  core::TimePoint started_;
  bool first_byte_seen_ = false;
};

}  // namespace chalkwell::daemon
