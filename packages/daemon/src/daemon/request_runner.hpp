// One caller's request from admission to its single outcome.
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

/// @brief What requests of one entry share.
struct RequestServices {
  Loop& loop_;
  const core::InstanceId& self_;
  AgentLinks& links_;
  routing::AffinityChooser& chooser_;
  routing::RetryBudget& budget_;
  EventLog& log_;
  Metrics& metrics_;
  Tracer& tracer_;
};

/// @brief Endpoints of a role that may get new work now, but for some; those
/// where this entry's share is in use only when there is no other.
[[nodiscard]] std::vector<routing::Candidate> CandidatesOf(
    const membership::Roster& roster, const core::Role& role,
    core::TimePoint now, const std::set<core::InstanceId>& but);

/// @brief What admission found out about a request.
struct AdmittedRequest {
  std::string id_;
  core::ClientAccountId account_;
  std::uint64_t weight_ = 1;
  core::Role role_;
  bool repeatable_ = false;
  core::TimePoint deadline_;
  routing::AttemptNumber max_attempts_ = 1;
  core::Duration retry_after_{};
  /// What the back end's prefix cache would key on.
  std::string prefix_;
  /// Given by the caller; empty when the entry shall mint one.
  std::optional<routing::ExecutionTicket> ticket_;
};

/// @brief Runs one request: endpoint choice, attempts, answer, outcome.
class RequestRunner : public std::enable_shared_from_this<RequestRunner> {
 public:
  /// @param on_done called once, when the outcome is decided.
  RequestRunner(RequestServices services, HttpExchangePtr exchange,
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
  void OnBegin(routing::AttemptNumber attempt, const RunFrame& frame);
  void OnData(routing::AttemptNumber attempt, const RunFrame& frame);
  [[nodiscard]] bool CanGoOnElsewhere();
  void OnStalled(routing::AttemptNumber attempt);
  void OnStreamEnd(routing::AttemptNumber attempt, PeerEnd end);
  void EndAttempt(routing::AttemptNumber attempt, routing::AttemptEnd end,
                  const std::string& reason);
  void Finish(const routing::FinishRequest& finish);
  void Answer();
  void TellProblem(const routing::FinishRequest& finish);
  void StartStreaming();
  void ForwardEvents(routing::AttemptNumber attempt, std::string_view bytes);
  [[nodiscard]] HttpHeaders AnswerHeaders() const;
  [[nodiscard]] std::string TicketText() const;

  RequestServices services_;
  HttpExchangePtr exchange_;
  AdmittedRequest request_;
  std::function<void(routing::Outcome)> on_done_;
  routing::RequestTracker tracker_;
  Span span_;
  Timer deadline_;
  /// Endpoints tried for this request.
  std::set<core::InstanceId> tried_;
  core::InstanceId endpoint_;
  /// Weights pinned for the current attempt.
  core::Digest manifest_;
  std::optional<routing::ExecutionTicket> ticket_;
  OutgoingCallPtr call_;
  FrameReader reader_;
  /// The current attempt's answer, held until it may go to the caller.
  RunFrame begin_;
  std::string held_;
  /// Begin of an event of the stream that is not whole yet.
  std::string part_;
  std::uint64_t resume_from_ = 0;
  /// What the caller has is events of a stream, so it can go on elsewhere.
  bool events_forwarded_ = false;
  bool streaming_ = false;
  std::string last_reason_;
  core::TimePoint started_;
  bool first_byte_seen_ = false;
};

}  // namespace chalkwell::daemon
