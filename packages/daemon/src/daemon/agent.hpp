// The agent: manages one endpoint, fetches its weights and activates them.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "chalkwell/membership/listed_endpoints.hpp"
#include "chalkwell/rollout/activation.hpp"
#include "chalkwell/rollout/rollout_slots.hpp"
#include "daemon/engine_client.hpp"
#include "daemon/process.hpp"
#include "daemon/run_handler.hpp"
#include "daemon/weight_fetcher.hpp"

namespace chalkwell::daemon {

/// @brief Agent of one endpoint: forwards requests to its backend, reports its
/// state to entries, and brings its engine to the weights of the active bundle.
class Agent {
 public:
  explicit Agent(Process& process);

  /// @brief Serves until a planned stop has finished.
  void Run();

 private:
  /// Stream of one entry.
  struct Attachment {
    PeerCallPtr call_;
    /// Last frame sent. Changes of readiness, weights and documents are sent at
    /// once, the rest with the next heartbeat.
    AgentFrame last_frame_;
  };

  void OnPeerCall(const PeerCallPtr& call);
  void OnAttach(const PeerCallPtr& call);
  void OnConfigChange();
  void Perform(const rollout::Actions& actions);
  void Tick();
  /// Informs the activation if the process was suspended for longer than its
  /// lease.
  void CheckSuspension();
  void FinishDrain();
  /// Applies the published row of this endpoint.
  void ReadOwnInstance();
  [[nodiscard]] const std::string& AdvertisedAddress() const;
  void PollBackend();
  void OnEngineState(const std::optional<rollout::EngineState>& state,
                     core::TimePoint queried_at);
  void SendClaim(const rollout::SendClaim& claim);
  void SendOrder(const rollout::SendOrder& order);
  void TryObtainRolloutSlot();
  void BeginStop();
  void SetReady(bool ready, const rollout::Target& serving);
  /// Sends the current frame to the entries whose last one is outdated.
  /// @param heartbeat whether to send it to all entries.
  void SendReports(bool heartbeat);
  [[nodiscard]] AgentFrame CurrentFrame() const;
  [[nodiscard]] EndpointState CurrentState() const;
  [[nodiscard]] std::string StatusJson() const;
  /// Reads the configuration store if no entry was in contact for a while.
  void ReadPlatformIfIsolated();

  Process& process_;
  bool has_engine_;
  std::uint64_t capacity_;
  core::Role role_;
  EngineClient engine_;
  rollout::Activation activation_;
  rollout::RolloutSlots rollout_slots_;
  membership::SuspensionDetector suspension_;
  std::unique_ptr<WeightFetcher> weight_fetcher_;
  std::unique_ptr<RunHandler> run_handler_;
  std::vector<std::shared_ptr<Attachment>> attachments_;
  std::unique_ptr<PeerServer> peer_server_;
  std::unique_ptr<HttpServer> admin_server_;
  /// Whether the service responds to health checks; for services without
  /// weights only.
  bool service_healthy_ = false;
  bool poll_in_flight_ = false;
  unsigned tick_count_ = 0;
  core::TimePoint last_entry_contact_;
  /// Time without contact with an entry after which the agent itself reads the
  /// configuration store.
  core::Duration isolation_timeout_;
  Timer tick_timer_;
};

}  // namespace chalkwell::daemon
