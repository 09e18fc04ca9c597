// One caller's request, sent straight to endpoints: it performs what the
// request tracker decides.
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
#include "daemon/direct/quarantine_manager.hpp"
#include "daemon/event_log.hpp"
#include "daemon/metrics.hpp"
#include "daemon/tracer.hpp"

namespace chalkwell::daemon::direct {

/// @brief What all requests of an entry share.
struct RequestContext {
  Loop& loop_;
  HttpClient& http_;
  const Adapter& adapter_;
  routing::EndpointTable& endpoints_;
  routing::RetryBudget& budget_;
  routing::RetryJitter& retry_spread_;
  QuarantineKeeper& quarantine_;
  EventLog& log_;
  Metrics& metrics_;
  Tracer& tracer_;
  /// Weights that a request of a model may begin on.
  std::function<routing::VersionConstraint(const std::string& model)> versions_;
  /// Own requests that one endpoint of a service may have under way; 0 for any.
  std::function<std::uint32_t(const std::string& service)> max_in_flight_;
};

/// @brief A request that was admitted.
struct AdmittedDirect {
  CallerRequest caller_;
  config::TrafficRoute route_;
  core::ClientAccountId account_;
  /// Identity of what is asked for, across tries and entries.
  routing::RequestDigest digest_;
  std::optional<std::uint32_t> priority_;
  /// Whether it goes before those that are late.
  bool on_time_ = true;
  std::string service_;
  std::optional<config::EngineProfile> engine_;
  core::TimePoint received_at_;
  /// Since its caller first asked; zero when that is not known.
  core::Duration age_{};
  core::TimePoint deadline_;
  std::uint64_t rules_version_ = 0;
};

/// @brief Attempts and answer of one request.
class DirectRequest : public std::enable_shared_from_this<DirectRequest> {
 public:
  /// @param done called once when the request has ended.
  DirectRequest(RequestContext& context, HttpExchangePtr exchange,
                AdmittedDirect request, std::function<void()> done);
  DirectRequest(const DirectRequest&) = delete;
  DirectRequest& operator=(const DirectRequest&) = delete;
  ~DirectRequest() = default;

  void Start();

 private:
  /// One attempt; replaced by the next.
  struct Attempt {
    routing::AttemptNumber number_ = 0;
    routing::EndpointChoice choice_;
    core::TimePoint sent_at_;
    /// Weights that it could begin on, as it was chosen.
    routing::VersionConstraint versions_;
    Span span_;
    std::shared_ptr<HttpCall> call_;
    int status_ = 0;
    HttpHeaders headers_;
    ResponseHead facts_;
    std::string body_;
    bool answering_ = false;
    /// The endpoint's system has the whole request.
    bool delivered_ = false;
    /// Its answer goes to the caller as it arrives.
    bool streams_ = false;
    /// Its answer gave no length.
    bool unframed_ = false;
    bool counted_ = false;
    /// Why this process ended it; empty when it ended by itself.
    std::string_view given_up_;
    /// How the call ended; none while it is under way or when this process
    /// ended it.
    std::optional<HttpEnd> call_end_;
  };

  void Perform(const routing::RequestActions& actions);
  void Choose(const routing::ChooseEndpoint& choose);
  void Send(const routing::SendAttempt& send);
  void OnHead(routing::AttemptNumber number, int status,
              const HttpHeaders& headers);
  void OnData(routing::AttemptNumber number, std::string_view bytes);
  void OnPlainData(std::string_view bytes);
  void OnEnd(routing::AttemptNumber number, HttpEnd end);
  void OnSilence();
  /// @brief The request was quarantined: an attempt without an answer ends.
  void OnQuarantined();
  void OnDeadline();
  void OnCallerGone();
  void EndAttempt(routing::AttemptEnd end, routing::EndpointOutcome outcome);
  void EndAnswered();
  [[nodiscard]] routing::AttemptEnd EndOfAnswer() const;
  void Forward(std::string_view bytes);
  void Finish(const routing::FinishRequest& finish);
  void RespondAnswer();
  void RespondOwn(const routing::FinishRequest& finish);
  void ExpectFirstByte();
  /// @brief Whether the endpoint is left meanwhile and has not got the request.
  [[nodiscard]] bool LeftUndelivered();
  void ExpectEvent();
  void CountEnded(routing::EndpointOutcome outcome);
  /// @brief Reports to the quarantine what the end of an attempt says of the
  /// request.
  void ReportEnd(routing::AttemptEnd end);
  /// @brief Whether the tracker may choose a further endpoint.
  [[nodiscard]] bool MayRepeat(routing::RetryKind kind, core::TimePoint now);
  [[nodiscard]] bool current(routing::AttemptNumber number) const noexcept {
    return !ended_ && attempt_.number_ == number && attempt_.call_ != nullptr;
  }

  RequestContext& context_;
  HttpExchangePtr exchange_;
  AdmittedDirect request_;
  std::function<void()> done_;
  routing::RequestTracker tracker_;
  Attempt attempt_;
  std::optional<routing::EndpointChoice> chosen_;
  /// Weights that were allowed as it was chosen.
  routing::VersionConstraint versions_;
  std::vector<core::InstanceId> tried_;
  /// Weights of the stream that the caller is being sent.
  std::optional<std::uint64_t> stream_version_;
  routing::EventSplitter events_;
  bool started_ = false;
  bool ended_ = false;
  bool past_deadline_ = false;
  /// The last attempt if it may have run.
  std::optional<routing::LostAttempt> last_lost_;
  QuarantineKeeper::Token quarantine_token_ = 0;
  /// The last failure that an endpoint itself answered.
  std::optional<HttpResponse> failure_;
  Timer deadline_;
  Timer silence_;
  Span span_;
};

}  // namespace chalkwell::daemon::direct
