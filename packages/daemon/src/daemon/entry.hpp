// The entry: meets callers, admits, routes, answers; spreads configuration.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "chalkwell/routing/affinity_chooser.hpp"
#include "chalkwell/routing/fair_queue.hpp"
#include "chalkwell/routing/retry_budget.hpp"
#include "daemon/agent_links.hpp"
#include "daemon/config_spreader.hpp"
#include "daemon/problem.hpp"
#include "daemon/process.hpp"
#include "daemon/request_reader.hpp"
#include "daemon/request_runner.hpp"

namespace chalkwell::daemon {

/// @brief One entry instance.
class Entry {
 public:
  explicit Entry(Process& process);

  /// @brief Serves until a planned stop is finished.
  void Run();

 private:
  struct Waiting {
    HttpExchangePtr exchange_;
    AdmittedRequest request_;
  };

  void OnPeerCall(const PeerCallPtr& call);
  void OnCaller(const HttpExchangePtr& exchange);
  void Admit(const HttpExchangePtr& exchange);
  void OfferTicket(const HttpExchangePtr& exchange, const core::Role& role);
  void Enqueue(const HttpExchangePtr& exchange, AdmittedRequest request);
  void StartWaiting();
  void StartWaiting(const core::Role& role, routing::FairQueue& queue);
  [[nodiscard]] routing::FairQueue& QueueOf(const core::Role& role);
  [[nodiscard]] std::size_t InFlight() const;
  void RefuseExpired();
  void Refuse(HttpExchange& exchange, int status, core::EventNumber event,
              const std::string& detail, const std::string& request,
              std::optional<core::Duration> retry_after);
  [[nodiscard]] std::string NotReady() const;
  [[nodiscard]] std::string Status();

  Process& process_;
  AgentLinks links_;
  routing::AffinityChooser chooser_;
  routing::RetryBudget budget_;
  routing::QueueLimits queue_limits_;
  /// One for each role, so that none holds up another.
  std::map<core::Role, routing::FairQueue> queues_;
  /// Requests in the queue, by number.
  std::map<std::uint64_t, Waiting> waiting_;
  std::uint64_t last_number_ = 0;
  std::uint64_t id_prefix_;
  std::unique_ptr<PeerServer> peers_;
  std::unique_ptr<HttpServer> callers_;
  std::unique_ptr<HttpServer> admin_;
  ConfigSpreader spreader_;
  Timer expiry_;
  RequestReader reader_;
  core::Duration retry_after_;
};

}  // namespace chalkwell::daemon
