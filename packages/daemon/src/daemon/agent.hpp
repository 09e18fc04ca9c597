// The agent: guards one endpoint, fetches and activates its weights.
#pragma once

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include "chalkwell/membership/roster.hpp"
#include "chalkwell/rollout/activation.hpp"
#include "chalkwell/rollout/rollout_slots.hpp"
#include "daemon/engine_client.hpp"
#include "daemon/process.hpp"
#include "daemon/run_handler.hpp"
#include "daemon/weight_fetcher.hpp"

namespace chalkwell::daemon {

/// @brief One agent in the slot of an endpoint instance.
class Agent {
 public:
  explicit Agent(Process& process);

  /// @brief Serves until a planned stop is finished.
  void Run();

 private:
  struct Attachment {
    PeerCallPtr call_;
    /// Last frame sent, to send changes at once and the rest as heartbeats.
    AgentFrame last_;
  };

  void OnPeerCall(const PeerCallPtr& call);
  void OnAttach(const PeerCallPtr& call);
  void OnConfigChange();
  void Perform(const rollout::Actions& actions);
  void Tick();
  void CheckPause();
  void FinishDrain();
  void ReadOwnRow();
  [[nodiscard]] const std::string& AdvertisedAddress() const;
  void PollBackend();
  void OnEngineState(const std::optional<rollout::EngineState>& state,
                     core::TimePoint asked_at);
  void SendClaim(const rollout::SendClaim& claim);
  void SendOrder(const rollout::SendOrder& order);
  void TakeTurnIfDue();
  void BeginStop();
  void SetAccepting(bool accepting, const rollout::Target& serving);
  void Announce(bool heartbeat);
  [[nodiscard]] AgentFrame CurrentFrame() const;
  [[nodiscard]] EndpointState State() const;
  [[nodiscard]] std::string Status() const;
  void ReadPlatformIfAlone();

  Process& process_;
  bool is_engine_;
  std::uint64_t capacity_;
  core::Role role_;
  EngineClient engine_;
  rollout::Activation activation_;
  rollout::RolloutSlots turns_;
  membership::SuspensionDetector pause_;
  std::unique_ptr<WeightFetcher> weights_;
  std::unique_ptr<RunHandler> runs_;
  std::vector<std::shared_ptr<Attachment>> attachments_;
  std::unique_ptr<PeerServer> peers_;
  std::unique_ptr<HttpServer> admin_;
  /// Plain services only: whether the service answers.
  bool service_up_ = false;
  bool polling_ = false;
  unsigned ticks_ = 0;
  core::TimePoint last_entry_heard_;
  core::Duration alone_after_;
  Timer tick_;
};

}  // namespace chalkwell::daemon
