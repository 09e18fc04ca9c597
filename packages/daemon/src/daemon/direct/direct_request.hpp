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

#include "chalkwell/routing/endpoint_table.hpp"
#include "chalkwell/routing/event_splitter.hpp"
#include "chalkwell/routing/request_digest.hpp"
#include "chalkwell/routing/request_tracker.hpp"
#include "chalkwell/routing/retry_budget.hpp"
#include "chalkwell/routing/retry_jitter.hpp"
#include "daemon/direct/adapter.hpp"
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
  routing::RetryBudget& budget_;
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

 private:
  /// The current attempt.
  struct Attempt {
    routing::AttemptNumber number_ = 0;
    routing::EndpointChoice choice_;
    core::TimePoint sent_at_;
    /// When the last bytes of the response arrived; `sent_at_` before the
    /// first.
    core::TimePoint last_data_at_;
    /// Constraint on the weights version when the endpoint was chosen.
    routing::VersionConstraint version_constraint_;
    Span span_;
    std::shared_ptr<HttpCall> call_;
    int status_ = 0;
    HttpHeaders headers_;
    ResponseHead response_head_;
    std::string body_;
    bool response_started_ = false;
    /// The endpoint's system has acknowledged the whole request.
    bool delivered_ = false;
    /// The response is a stream, forwarded event by event.
    bool streaming_ = false;
    /// What shows the end of the response; none before its head.
    std::optional<HttpFraming> framing_;
    /// The endpoint table counts the attempt as in flight.
    bool counted_in_flight_ = false;
    /// Why this process abandoned the attempt; empty if it did not.
    std::string_view abandon_reason_;
    /// How the call ended; none while it is in flight or if this process
    /// cancelled it.
    std::optional<HttpEnd> call_end_;

    /// Only the end of the connection ends the response.
    [[nodiscard]] bool unframed() const noexcept {
      return framing_ == HttpFraming::kConnectionEnd;
    }
  };

  void Perform(const routing::RequestActions& actions);
  void Choose(const routing::ChooseEndpoint& choose);
  void Send(const routing::SendAttempt& send);
  void OnHead(routing::AttemptNumber number, int status,
              const HttpHeaders& headers);
  void OnData(routing::AttemptNumber number, std::string_view bytes);
  void OnBufferedData(std::string_view bytes);
  void OnEnd(routing::AttemptNumber number, HttpEnd end);
  void OnResponseTimeout();
  /// @brief Logs and counts an attempt from whose endpoint nothing arrives.
  void ReportSilence(core::TimePoint now) const;
  /// @brief Abandons the current attempt, unless its response has started,
  /// because the request was quarantined.
  void OnQuarantined();
  void OnDeadline();
  void OnCallerDisconnected();
  void EndAttempt(routing::AttemptEnd end, routing::EndpointOutcome outcome);
  void EndResponse();
  /// @brief Whether a response that ended with its connection is treated as
  /// truncated: a stream that ends inside an event or before the first one, or
  /// that resumes one whose end the caller expects to be stated.
  [[nodiscard]] bool IsTruncated() const;
  [[nodiscard]] routing::AttemptEnd ClassifyResponse() const;
  void Forward(std::string_view bytes);
  void Finish(const routing::FinishRequest& finish);
  /// @brief Sends a buffered response to the caller. One without a length gets
  /// none, since it may be truncated.
  void RespondWith(HttpResponse response);
  void RespondFailure(const routing::FinishRequest& finish);
  void ArmFirstByteTimeout();
  /// @brief Whether the endpoint was removed from the list before the request
  /// was delivered to it.
  [[nodiscard]] bool RemovedBeforeDelivery();
  void ArmEventTimeout();
  /// @brief Counts a response without a length or chunks that has ended.
  void CountUnframedResponse(HttpEnd end);
  void CountAttemptEnded(routing::EndpointOutcome outcome);
  /// @brief Reports the end of an attempt to the quarantine, as evidence for or
  /// against the request.
  void ReportToQuarantine(routing::AttemptEnd end);
  /// @brief Whether the tracker may retry at another endpoint.
  [[nodiscard]] bool MayRetry(routing::RetryKind kind, core::TimePoint now);
  /// @brief Why the last attempt was not followed by another, as logged.
  [[nodiscard]] std::string RetryDenialText() const;
  [[nodiscard]] bool current(routing::AttemptNumber number) const noexcept {
    return !ended_ && attempt_.number_ == number && attempt_.call_ != nullptr;
  }

  RequestContext& context_;
  HttpExchangePtr exchange_;
  AdmittedDirectRequest request_;
  std::function<void()> done_;
  routing::RequestTracker tracker_;
  Attempt attempt_;
  std::optional<routing::EndpointChoice> chosen_;
  /// Constraint on the weights version when `chosen_` was chosen.
  routing::VersionConstraint version_constraint_;
  std::vector<core::InstanceId> tried_endpoints_;
  /// Weights version that produced the stream sent to the caller.
  std::optional<std::uint64_t> stream_version_;
  routing::EventSplitter events_;
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
  QuarantineManager::Token quarantine_token_ = 0;
  /// The last error response that an endpoint sent after running the request.
  std::optional<HttpResponse> last_failure_;
  Timer deadline_timer_;
  Timer response_timer_;
  Span span_;
};

}  // namespace chalkwell::daemon::direct
