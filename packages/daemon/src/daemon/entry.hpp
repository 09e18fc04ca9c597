// The entry: accepts requests of callers, queues them, routes them to endpoints
// and sends the responses; also disseminates the configuration.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <string>

#include "chalkwell/routing/affinity_chooser.hpp"
#include "chalkwell/routing/fair_queue.hpp"
#include "chalkwell/routing/retry_budget.hpp"
#include "daemon/agent_links.hpp"
#include "daemon/config_dissemination.hpp"
#include "daemon/problem.hpp"
#include "daemon/process.hpp"
#include "daemon/request_reader.hpp"
#include "daemon/request_runner.hpp"

namespace chalkwell::daemon {

/// @brief One entry process.
///
/// A request is refused with a problem document if it is malformed, if its
/// account's queue is full, if it cannot meet its deadline, or while the entry
/// is not ready; a refused request has not run on any endpoint. Otherwise it
/// waits in the fair queue of its role until the entry and the endpoints have
/// room.
class Entry {
 public:
  explicit Entry(Process& process);

  /// @brief Serves until a graceful shutdown has finished.
  void Run();

 private:
  struct WaitingRequest {
    HttpExchangePtr exchange_;
    AdmittedRequest request_;
  };

  void OnPeerCall(const PeerCallPtr& call);
  void OnRequest(const HttpExchangePtr& exchange);
  void Admit(const HttpExchangePtr& exchange);
  /// Responds with an idempotency key issued by an endpoint of the role.
  void RespondWithTicket(const HttpExchangePtr& exchange,
                         const core::Role& role);
  void Enqueue(const HttpExchangePtr& exchange, AdmittedRequest request);
  /// Starts waiting requests while there is room.
  void StartWaiting();
  void StartWaiting(const core::Role& role, routing::FairQueue& queue);
  [[nodiscard]] routing::FairQueue& QueueOf(const core::Role& role);
  /// Requests of all roles that were started and have not ended.
  [[nodiscard]] std::size_t InFlight() const;
  /// Refuses waiting requests that can no longer meet their deadline.
  void RefuseExpired();
  /// Responds with a problem document, logs the event and counts the request.
  /// @param request id of the request; empty if it is unknown.
  void Refuse(HttpExchange& exchange, int status, core::EventNumber event,
              const std::string& detail, const std::string& request,
              std::optional<core::Duration> retry_after);
  /// Why the entry is not ready; empty when it is.
  [[nodiscard]] std::string NotReadyReason() const;
  /// JSON for the admin path /status.
  [[nodiscard]] std::string StatusJson();

  Process& process_;
  AgentLinks links_;
  routing::AffinityChooser chooser_;
  routing::RetryBudget retry_budget_;
  routing::QueueLimits queue_limits_;
  /// One for each role, so that requests of one role do not delay another's.
  std::map<core::Role, routing::FairQueue> queues_;
  /// Requests in the queues, by number.
  std::map<std::uint64_t, WaitingRequest> waiting_;
  /// Numbers queued requests, and ids for requests without one.
  std::uint64_t last_number_ = 0;
  /// Random, so that request ids differ between entries and incarnations.
  std::uint64_t id_prefix_;
  std::unique_ptr<PeerServer> peer_server_;
  std::unique_ptr<HttpServer> caller_server_;
  std::unique_ptr<HttpServer> admin_server_;
  ConfigDisseminator disseminator_;
  Timer expiry_timer_;
  RequestReader request_reader_;
  /// Retry-After of a refusal, unless a longer wait is estimated.
  core::Duration retry_after_;
};

}  // namespace chalkwell::daemon
