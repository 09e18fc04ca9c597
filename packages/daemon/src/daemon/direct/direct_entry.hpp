// The entry of a deployment whose endpoints are called directly. It reads
// rules, target versions and the endpoint list from the configuration store,
// admits requests by them, and sends each request straight to an endpoint.
#pragma once

#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "chalkwell/config/evacuation_table.hpp"
#include "chalkwell/config/traffic_rules.hpp"
#include "chalkwell/core/window_maximum.hpp"
#include "chalkwell/membership/message_order.hpp"
#include "chalkwell/membership/path_delay.hpp"
#include "chalkwell/rollout/version_bound.hpp"
#include "chalkwell/routing/deployment_parts.hpp"
#include "chalkwell/routing/endpoint_table.hpp"
#include "chalkwell/routing/request_age_estimator.hpp"
#include "chalkwell/routing/retry_budgets.hpp"
#include "chalkwell/routing/retry_jitter.hpp"
#include "chalkwell/routing/retry_reserve.hpp"
#include "daemon/direct/adapter.hpp"
#include "daemon/direct/direct_request.hpp"
#include "daemon/direct/endpoint_list.hpp"
#include "daemon/direct/mesh_node.hpp"
#include "daemon/direct/published_reader.hpp"
#include "daemon/direct/published_relay.hpp"
#include "daemon/direct/quarantine_manager.hpp"
#include "daemon/direct/rate_limit_manager.hpp"
#include "daemon/direct/rules_manager.hpp"
#include "daemon/http1_server.hpp"
#include "daemon/log_rate_limiter.hpp"
#include "daemon/process_base.hpp"

namespace chalkwell::daemon::direct {

/// @brief One entry instance.
class DirectEntry {
 public:
  DirectEntry(ProcessBase& process, Adapter adapter);

  /// @brief Serves until a graceful shutdown has finished.
  void Run();

 private:
  /// @brief Applies the settings that may change while the process runs.
  void ApplySettings();
  /// @brief Handles a section that this process read from the store: rules go
  /// to the rules manager, other sections are stored for peers and applied.
  void OnPublished(Section section, const StoreSnapshot& snapshot);
  void ApplyRules(const config::TrafficRules& rules, const std::string& source);
  /// @brief Handles a call from another process of the system.
  void OnPeerCall(const PeerCallPtr& call);
  /// @param published_at when it was published, as far as known.
  /// @param from_store whether this process read it from the store itself.
  void ApplyTargetVersion(const TargetVersion& weights,
                          core::TimePoint published_at, bool from_store);
  [[nodiscard]] std::vector<PublishedVersionMessage> LimitingVersions() const;
  /// @brief Renews the due subscriptions to the load reports of the agents
  /// whose endpoints are in use.
  void Subscribe();
  /// @brief Applies the target versions and the endpoint list of a section.
  /// @param source "store", or "peer" when another entry read it.
  void ApplyPublished(Section section, const StoreSnapshot& snapshot,
                      const std::string& source);
  /// @brief Applies the evacuations that this process read from the store.
  void ApplyEvacuations(const StoreSnapshot& snapshot);
  /// @brief Withdraws evacuations that were not published again after the store
  /// returned from an older copy.
  void WithdrawDueEvacuations();
  /// @brief Applies the evacuations that another process announced.
  void ApplyAnnouncedEvacuations(
      const std::vector<config::Evacuation>& evacuations);
  /// @brief Applies the evacuated failure domains to the endpoint table.
  void OnEvacuationsChanged(const std::string& source);
  /// @brief Applies the known live entries to the limits that they share.
  void UpdateEntries();
  /// @brief Applies the known live entries to this entry's part of limits of
  /// the whole deployment.
  void UpdateParts(const std::vector<routing::EntryLocation>& others,
                   core::TimePoint now);
  /// @brief Queries a peer if the store has been unreachable for some time.
  void ReadFromPeersIfStoreUnreachable();
  void OnLoadReport(const LoadMessage& message);
  /// @param received_at when the request arrived; it may have waited for a
  /// newer endpoint list since.
  void OnCallerRequest(const HttpExchangePtr& exchange,
                       core::TimePoint received_at);
  /// @brief Logs and counts a caller's request that got no response.
  void OnUnanswered(UnansweredCause cause, const HttpRequest& request);
  void OnReadinessCheck(const HttpExchangePtr& exchange);
  /// @brief Whether another refusal that a caller causes may be logged; counts
  /// it if not.
  [[nodiscard]] bool MayLogRefusal();
  /// @brief Logs and counts a request that the server refused.
  /// @return headers of the response.
  [[nodiscard]] HttpHeaders OnServerRefusal(const HttpRefusal& refusal);
  void LogRefusal(const CallerRequest& caller, int status,
                  core::EventNumber event, const std::string& reason,
                  std::optional<core::Duration> retry_after);
  void Refuse(HttpExchange& exchange, const CallerRequest& caller, int status,
              core::EventNumber event, const std::string& reason,
              std::optional<core::Duration> retry_after);
  void Admit(const HttpExchangePtr& exchange, AdmittedDirectRequest request);
  /// @brief Decides whether to admit a request, and whether it is on time.
  /// @return the delay to retry after, if the request is refused.
  [[nodiscard]] std::optional<core::Duration> CheckAdmission(
      AdmittedDirectRequest& request, core::TimePoint now, std::string& reason);
  [[nodiscard]] HttpLimits Limits() const;
  void RefreshCallerMetrics();
  /// @brief Why this entry is not ready for requests; empty when it is.
  [[nodiscard]] std::string NotReadyReason() const;
  [[nodiscard]] routing::VersionConstraint VersionConstraintFor(
      const std::string& model) const;
  /// @brief Limit of this entry's requests in flight at one endpoint of a
  /// service: its part of the service's connection limit, at least 1; 0 for no
  /// limit.
  [[nodiscard]] std::uint32_t MaxInFlight(const std::string& service);
  /// @brief Failure domains in which the active rules allow requests of a route
  /// and a client account to be processed; the admitted route applies if the
  /// rules no longer have it.
  [[nodiscard]] routing::AllowedDomains AllowedDomains(
      const config::TrafficRoute& route,
      const core::ClientAccountId& account) const;
  /// @brief Time to wait for the published documents from other entries; zero
  /// for a seed, which reads them for the others.
  [[nodiscard]] core::Duration FirstReadWait() const;
  void BeginStop();
  /// @brief Ends all requests in flight: the process exits.
  void EndRequests();
  [[nodiscard]] std::string Status() const;

  ProcessBase& process_;
  Adapter adapter_;
  config::TrafficTable rules_;
  routing::EndpointTable endpoints_;
  routing::RetryBudgets retry_budgets_;
  routing::RetryReserve retry_reserve_;
  routing::DeploymentParts parts_;
  routing::RetryJitter retry_jitter_;
  routing::RequestAgeEstimator request_ages_;
  /// Published versions and when each was received, by model.
  std::map<std::string, rollout::VersionBound> version_bounds_;
  /// Delay and order of load reports, by address of the endpoint.
  std::map<std::string, membership::PathDelay> path_delays_;
  std::map<std::string, membership::MessageOrder> report_orders_;
  RequestContext context_;
  PublishedReader reader_;
  MeshNode mesh_;
  QuarantineManager quarantine_;
  RateLimitManager rate_limits_;
  EndpointStatements statements_;
  EndpointList endpoint_list_;
  RulesManager rules_manager_;
  /// The last read of the endpoint list failed: connections to the store may
  /// have gone silent, those of watches included.
  bool list_read_failed_ = false;
  PublishedRelay relay_;
  config::EvacuationTable evacuations_;
  /// The evacuations in force in the endpoint table.
  std::set<core::FailureDomainId> evacuated_;
  core::WindowMaximum entry_count_;
  core::TimePoint started_at_;
  std::unique_ptr<PeerServer> peer_server_;
  std::shared_ptr<CallerMemory> caller_memory_;
  /// Leaves the log's rate to other lines.
  LogRateLimiter refusal_lines_;
  /// Refusals not logged since the last one that was.
  std::uint64_t refusals_not_logged_ = 0;
  std::unique_ptr<Http1Server> caller_server_;
  std::unique_ptr<Http1Server> readiness_server_;
  std::unique_ptr<HttpServer> admin_server_;
  Timer stop_timer_;
  Timer relay_timer_;
  Timer subscribe_timer_;
  /// When the subscription to an agent was last sent, by the agent's address.
  std::map<std::string, core::TimePoint> last_subscribed_;
  /// Requests that have not ended, by a number of this process.
  std::map<std::uint64_t, std::weak_ptr<DirectRequest>> in_flight_;
  std::uint64_t last_request_ = 0;
  /// Whether the process ends without waiting for further work.
  bool exiting_ = false;
  /// Whether the settings name a seed on another machine.
  bool has_other_seeds_ = false;
  /// Region of each failure domain of the deployment.
  routing::DomainRegions regions_;
  /// Time from the publication of a target version until no request may start
  /// on an older one.
  core::Duration older_version_use_limit_{};
};

}  // namespace chalkwell::daemon::direct
