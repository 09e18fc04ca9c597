// The entry of a deployment whose endpoints are called directly: it reads what
// is published, admits requests by it, and sends each straight to an endpoint.
#pragma once

#include <map>
#include <memory>
#include <string>
#include <vector>

#include "chalkwell/config/traffic_rules.hpp"
#include "chalkwell/membership/message_order.hpp"
#include "chalkwell/membership/path_delay.hpp"
#include "chalkwell/rollout/version_bound.hpp"
#include "chalkwell/routing/endpoint_table.hpp"
#include "chalkwell/routing/request_age_estimator.hpp"
#include "chalkwell/routing/retry_budget.hpp"
#include "chalkwell/routing/retry_jitter.hpp"
#include "daemon/direct/adapter.hpp"
#include "daemon/direct/direct_request.hpp"
#include "daemon/direct/endpoint_list.hpp"
#include "daemon/direct/mesh_node.hpp"
#include "daemon/direct/published_reader.hpp"
#include "daemon/direct/published_relay.hpp"
#include "daemon/direct/quarantine_manager.hpp"
#include "daemon/direct/rules_manager.hpp"
#include "daemon/http1_server.hpp"
#include "daemon/process_base.hpp"

namespace chalkwell::daemon::direct {

/// @brief One entry instance.
class DirectEntry {
 public:
  DirectEntry(ProcessBase& process, Adapter adapter);

  /// @brief Serves until a planned stop is finished.
  void Run();

 private:
  /// @brief Takes what may change while the process runs.
  void TakeSettings();
  void OnPublished(Section section, const StoreSnapshot& published);
  void TakeRules(const config::TrafficRules& rules, const std::string& source);
  /// @brief Answers a call of another process of the system.
  void OnPeer(const PeerCallPtr& call);
  /// @param from_store whether this process heard it from the store itself.
  void TakeWeights(const TargetVersion& weights, bool from_store);
  /// @brief Asks the agents of the endpoints in use for their reports, those
  /// that are due.
  void Subscribe();
  void TakePublished(Section section, const StoreSnapshot& published,
                     const std::string& source);
  void AskPeersIfCutOff();
  void OnLoad(const LoadMessage& message);
  /// @param received_at when it arrived.
  void OnCaller(const HttpExchangePtr& exchange, core::TimePoint received_at);
  void OnReady(const HttpExchangePtr& exchange);
  void Refuse(HttpExchange& exchange, const CallerRequest& caller, int status,
              core::EventNumber event, const std::string& reason,
              std::optional<core::Duration> retry_after);
  void Admit(const HttpExchangePtr& exchange, AdmittedDirect request);
  /// @brief Decides whether a request is taken, and whether before late ones.
  /// @return when to come back, if it is not.
  [[nodiscard]] std::optional<core::Duration> RefusalOf(AdmittedDirect& request,
                                                        core::TimePoint now,
                                                        std::string& reason);
  [[nodiscard]] HttpLimits Limits() const;
  [[nodiscard]] std::string NotReady() const;
  [[nodiscard]] routing::VersionConstraint RuleFor(
      const std::string& model) const;
  [[nodiscard]] double ReserveShare();
  [[nodiscard]] std::uint32_t ConnectionShare(const std::string& service);
  void BeginStop();
  [[nodiscard]] std::string Status() const;

  ProcessBase& process_;
  Adapter adapter_;
  config::TrafficTable rules_;
  routing::EndpointTable endpoints_;
  routing::RetryBudget budget_;
  routing::RetryJitter retry_spread_;
  routing::RequestAgeEstimator ages_;
  /// By model.
  std::map<std::string, rollout::VersionBound> weights_;
  /// By address of the endpoint whose agent reports.
  std::map<std::string, membership::PathDelay> paths_;
  std::map<std::string, membership::MessageOrder> reports_;
  RequestContext context_;
  PublishedReader reader_;
  MeshNode mesh_;
  QuarantineKeeper quarantine_;
  EndpointList list_;
  RulesManager keeper_;
  PublishedRelay relay_;
  std::unique_ptr<PeerServer> peers_;
  std::unique_ptr<Http1Server> callers_;
  std::unique_ptr<Http1Server> ready_;
  std::unique_ptr<HttpServer> admin_;
  Timer stop_timer_;
  Timer relay_timer_;
  Timer subscribe_timer_;
  /// When agents were last asked for reports, by address.
  std::map<std::string, core::TimePoint> subscribed_;
  std::size_t in_flight_ = 0;
  /// From the naming of weights until nothing may begin on older ones.
  core::Duration version_bound_{};
  /// Retries that all entries together may make beyond their share.
  double retry_reserve_ = 0;
};

}  // namespace chalkwell::daemon::direct
