// A caller's request on the direct path: the entry sends it straight to an
// endpoint and carries out what the request tracker decides.
//
// A request is on time if it can still meet its route's target latency, counted
// from the caller's first attempt, and late otherwise.
#pragma once

#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "chalkwell/routing/endpoint_table.hpp"
#include "chalkwell/routing/event_splitter.hpp"
#include "chalkwell/routing/first_byte_timeout.hpp"
#include "chalkwell/routing/request_digest.hpp"
#include "chalkwell/routing/request_tracker.hpp"
#include "chalkwell/routing/retry_budgets.hpp"
#include "chalkwell/routing/retry_jitter.hpp"
#include "daemon/direct/adapter.hpp"
#include "daemon/direct/direct_attempt.hpp"
#include "daemon/direct/endpoint_statements.hpp"
#include "daemon/direct/quarantine_manager.hpp"
#include "daemon/event_log.hpp"
#include "daemon/metrics.hpp"
#include "daemon/tracer.hpp"

namespace chalkwell::daemon::direct {

/// @brief State shared by all requests of an entry.
struct RequestContext {
  Loop& loop_;
  HttpClient& http_;
  const Adapter& adapter_;
  routing::EndpointTable& endpoints_;
  routing::RetryBudgets& budgets_;
  routing::RetryJitter& retry_jitter_;
  QuarantineManager& quarantine_;
  EndpointStatements& statements_;
  EventLog& log_;
  Metrics& metrics_;
  Tracer& tracer_;
  /// Weights versions on which a request for a model may start now.
  std::function<routing::VersionConstraint(const std::string& model)>
      version_constraint_;
  /// Limit of this entry's requests in flight at one endpoint of a service; 0
  /// for no limit.
  std::function<std::uint32_t(const std::string& service)> max_in_flight_;
  /// Failure domains in which the active rules allow requests of a route and a
  /// client account to be processed.
  std::function<routing::AllowedDomains(const config::TrafficRoute& route,
                                        const core::ClientAccountId& account)>
      allowed_domains_;
};

/// @brief An admitted request.
struct AdmittedDirectRequest {
  CallerRequest caller_;
  config::TrafficRoute route_;
  core::ClientAccountId account_;
  /// Identifies the request across attempts and entries.
  routing::RequestIdentity identity_;
  std::optional<std::uint32_t> priority_;
  /// Failure domains in which it may be processed, by the rules under which it
  /// was admitted.
  routing::AllowedDomains allowed_domains_;
  /// Whether it takes precedence over late requests.
  bool on_time_ = true;
  std::string service_;
  std::optional<config::EngineProfile> engine_;
  core::TimePoint received_at_;
  /// Time since the caller's first attempt; zero if unknown.
  core::Duration age_{};
  core::TimePoint deadline_;
  std::uint64_t rules_version_ = 0;
};

/// @brief Runs one request: its attempts, and the response to the caller.
class DirectRequest : public std::enable_shared_from_this<DirectRequest> {
 public:
  /// @param done called once when the request has ended.
  DirectRequest(RequestContext& context, HttpExchangePtr exchange,
                AdmittedDirectRequest request, std::function<void()> done);
  DirectRequest(const DirectRequest&) = delete;
  DirectRequest& operator=(const DirectRequest&) = delete;
  ~DirectRequest() = default;

  void Start();
  /// @brief Ends the request, because the process exits.
  void Stop();

 private:
  using Attempt = DirectAttempt;
  using AttemptPtr = std::shared_ptr<Attempt>;

  void Perform(const routing::RequestActions& actions);
  void Choose(const routing::ChooseEndpoint& choose);
  void Send(const routing::SendAttempt& send);
  [[nodiscard]] AttemptPtr NewAttempt(routing::AttemptNumber number,
                                      core::TimePoint now);
  [[nodiscard]] AttemptTerms TermsFor(const Attempt& attempt,
                                      core::TimePoint now) const;
  [[nodiscard]] HttpSendOptions OptionsFor(const Attempt& attempt,
                                           core::TimePoint now);
  [[nodiscard]] HttpCallbacks CallbacksFor(const AttemptPtr& attempt);
  void LogSent(const Attempt& attempt, core::Duration time_left) const;
  void OnHead(const AttemptPtr& attempt, int status,
              const HttpHeaders& headers);
  void OnData(const AttemptPtr& attempt, std::string_view bytes);
  /// @brief The endpoint of an attempt delivered a part of its response.
  void RecordProgress(Attempt& attempt);
  /// @brief Ends an attempt whose response is larger than what is held of it.
  void EndOversized(const AttemptPtr& attempt);
  void OnBufferedData(const AttemptPtr& attempt, std::string_view bytes);
  /// @param ended by value: the call, which is released, holds another one.
  void OnEnd(AttemptPtr ended, HttpEnd end);
  /// @brief Checks an attempt that awaits its first byte, and schedules the
  /// next check.
  void CheckFirstByte(const AttemptPtr& attempt);
  /// @brief State of an attempt that awaits its first byte. A version that was
  /// published since it was sent limits it, too.
  [[nodiscard]] routing::PendingAttempt PendingStateOf(Attempt& attempt) const;
  /// @brief Checks a stream that awaits its next event, and schedules the next
  /// check.
  void CheckEventGap(const AttemptPtr& attempt);
  /// @brief Nothing has arrived for longer than expected. The attempt goes on;
  /// another one is made beside it if possible.
  void OnSilent(const AttemptPtr& attempt);
  /// @brief Logs and counts a silent attempt, once.
  void ReportSilence(const Attempt& attempt, core::TimePoint now);
  /// @brief Ends an attempt that must not go on.
  void Abandon(const AttemptPtr& attempt, std::string_view reason,
               routing::EndpointOutcome outcome);
  /// @brief Ends an attempt because another one has made progress.
  void Cancel(routing::AttemptNumber number);
  /// @brief Abandons the attempts whose responses have not started, because the
  /// request was quarantined.
  void OnQuarantined();
  void OnDeadline();
  void OnCallerDisconnected();
  void EndAttempt(const AttemptPtr& attempt, routing::AttemptEnd end,
                  routing::EndpointOutcome outcome);
  void EndResponse(const AttemptPtr& attempt);
  /// @brief Whether a response that ended with its connection is treated as
  /// truncated: a stream that ends inside an event or before the first one, or
  /// that resumes one whose end the caller expects to be stated, or while
  /// another attempt may still deliver more.
  [[nodiscard]] bool IsTruncated(const Attempt& attempt) const;
  [[nodiscard]] routing::AttemptEnd ClassifyResponse(
      const Attempt& attempt) const;
  void Forward(const AttemptPtr& attempt, std::string_view bytes);
  void PauseUntilDrained(const AttemptPtr& attempt);
  void Finish(const routing::FinishRequest& finish);
  void LogFinished(const routing::FinishRequest& finish,
                   core::Duration elapsed) const;
  /// @brief Sends a buffered response to the caller. One without a length gets
  /// none, since it may be truncated.
  void RespondWith(HttpResponse response);
  void RespondFailure(const routing::FinishRequest& finish);
  /// @brief Whether the endpoint was removed from the list before the request
  /// was delivered to it.
  [[nodiscard]] bool RemovedBeforeDelivery(Attempt& attempt,
                                           core::TimePoint now) const;
  /// @brief Counts a response without a length or chunks that has ended.
  void CountUnframedResponse(const Attempt& attempt, HttpEnd end) const;
  void CountAttemptEnded(Attempt& attempt, routing::EndpointOutcome outcome);
  void LogAttemptEnded(const Attempt& attempt, std::string_view end) const;
  /// @brief Reports the end of an attempt to the quarantine, as evidence for or
  /// against the request.
  void ReportToQuarantine(const Attempt& attempt, routing::AttemptEnd end);
  [[nodiscard]] routing::LostAttempt PossibleRunOf(
      const Attempt& attempt) const;
  /// @brief Whether the tracker may retry at another endpoint.
  [[nodiscard]] bool MayRetry(routing::RetryKind kind, core::TimePoint now);
  /// @brief Why the last attempt was not followed by another, as logged.
  [[nodiscard]] std::string RetryDenialText() const;
  /// @brief Counts a retry, or its denial, by service and cause.
  void CountRetry(const std::string& counter) const;
  /// @brief What the retry budget still allows, as logged.
  [[nodiscard]] std::string RetriesLeftText() const;
  /// @brief Whether the attempt is in flight.
  [[nodiscard]] bool current(const Attempt& attempt) const noexcept {
    return !ended_ && attempt.call_ != nullptr;
  }

  RequestContext& context_;
  HttpExchangePtr exchange_;
  AdmittedDirectRequest request_;
  std::function<void()> done_;
  routing::RequestTracker tracker_;
  /// Attempts in flight, in order.
  std::vector<AttemptPtr> attempts_;
  /// The attempt that was sent or has ended last.
  AttemptPtr last_attempt_;
  std::optional<routing::EndpointChoice> chosen_;
  /// Constraint on the weights version when `chosen_` was chosen.
  routing::VersionConstraint version_constraint_;
  std::vector<core::InstanceId> tried_endpoints_;
  /// Weights version that produced the stream sent to the caller.
  std::optional<std::uint64_t> stream_version_;
  /// Id of the last event that was forwarded to the caller.
  routing::EventSplitter forwarded_events_;
  bool response_started_ = false;
  /// The response that was started for the caller ends with its connection.
  bool response_unframed_ = false;
  bool ended_ = false;
  bool past_deadline_ = false;
  /// The last attempt if the endpoint may have run the request: its connection
  /// broke, it was abandoned, or it ended with an error response.
  std::optional<routing::LostAttempt> last_possible_run_;
  /// What rejected the last retry that the tracker would have made.
  std::string_view retry_rejected_by_;
  /// What the last attempt came to, or that it is silent.
  std::string_view last_cause_ = "none";
  /// What the last retry followed; "none" before the first.
  std::string_view retried_after_ = "none";
  /// The budget has denied a retry.
  bool retry_denied_ = false;
  QuarantineManager::Token quarantine_token_ = 0;
  /// The last error response that an endpoint sent after running the request.
  std::optional<HttpResponse> last_failure_;
  Timer deadline_timer_;
  Span span_;
};

}  // namespace chalkwell::daemon::direct
