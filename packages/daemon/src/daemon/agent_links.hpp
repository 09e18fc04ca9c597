// An entry's streams to agents: what they report feeds the roster, and each
// stream mints execution tickets for its agent.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "chalkwell/membership/roster.hpp"
#include "chalkwell/routing/execution_ticket.hpp"
#include "daemon/config_node.hpp"
#include "daemon/loop.hpp"
#include "daemon/peer_connection.hpp"

namespace chalkwell::daemon {

/// @brief Settings of the links.
struct AgentLinkSettings {
  core::FailureDomainId domain_;
  /// Endpoints of each role of the own domain to keep streams to.
  std::size_t attach_ = 64;
  /// The same for endpoints of other domains.
  std::size_t attach_foreign_ = 16;
  PeerConnectionSettings connection_;
};

/// @brief Streams to the agents this entry uses.
class AgentLinks {
 public:
  AgentLinks(Loop& loop, AgentLinkSettings settings, ConfigNode& node,
             EventLog& log);

  [[nodiscard]] membership::Roster& roster() noexcept { return roster_; }
  /// @brief Connection to an agent, or null.
  [[nodiscard]] std::shared_ptr<PeerConnection> Connection(
      const core::InstanceId& id) const;
  /// @brief Mints a ticket for an agent whose stream is open.
  [[nodiscard]] std::optional<routing::ExecutionTicket> MintTicket(
      const core::InstanceId& id);
  /// @brief Called when an endpoint's report changed what may be routed.
  void OnChange(std::function<void()> observer);

 private:
  struct Link {
    config::Instance instance_;
    std::shared_ptr<PeerConnection> connection_;
    OutgoingCallPtr call_;
    std::unique_ptr<FrameReader> reader_;
    std::optional<routing::TicketIssuer> minter_;
    /// Fingerprint of the documents that the agent last said it holds.
    std::uint64_t config_ = 0;
    std::shared_ptr<Timer> retry_;
    /// Runs while the agent's documents differ from those held here.
    std::shared_ptr<Timer> repair_;
    bool repair_due_ = false;
    unsigned failures_ = 0;
  };

  [[nodiscard]] std::vector<config::Instance> Selected() const;
  void Update();
  void Attach(const core::InstanceId& id);
  void OnFrame(const core::InstanceId& id, const AgentFrame& frame);
  void OnLost(const core::InstanceId& id);
  /// Tells some agents at once; each has several entries that do so, and says
  /// on its streams when it has heard.
  void PushConfig(const std::vector<std::string>& keys);
  /// Exchanges all with an agent that still differs after a while: a change
  /// reaches it by several entries, and most differences are gone by then.
  void RepairLater(const core::InstanceId& id);

  Loop& loop_;
  AgentLinkSettings settings_;
  ConfigNode& node_;
  EventLog& log_;
  membership::Roster roster_;
  std::map<core::InstanceId, Link> links_;
  std::function<void()> observer_;
  std::mt19937_64 random_{std::random_device{}()};
};

}  // namespace chalkwell::daemon
