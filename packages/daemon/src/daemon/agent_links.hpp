// An entry's streams to agents: their reports update the roster, and each
// stream issues the execution tickets for its agent.
#pragma once

#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "chalkwell/membership/listed_endpoints.hpp"
#include "chalkwell/routing/execution_ticket.hpp"
#include "daemon/config_replica.hpp"
#include "daemon/loop.hpp"
#include "daemon/peer_connection.hpp"

namespace chalkwell::daemon {

/// @brief Settings of an entry's streams to agents.
struct AgentLinkSettings {
  /// Local failure domain.
  core::FailureDomainId domain_;
  /// Maximum number of endpoints of each role in the local failure domain to
  /// keep streams to.
  std::size_t local_links_per_role_ = 64;
  /// The same for endpoints of remote failure domains, taken together.
  std::size_t remote_links_per_role_ = 16;
  PeerConnectionSettings connection_;
};

/// @brief Streams to the agents that this entry sends requests to.
///
/// The agents are selected by rendezvous hashing. A stream that ends is opened
/// again with exponential backoff.
class AgentLinks {
 public:
  AgentLinks(Loop& loop, AgentLinkSettings settings, ConfigReplica& node,
             EventLog& log);

  [[nodiscard]] membership::ListedEndpoints& roster() noexcept {
    return roster_;
  }
  /// @brief Connection to an agent; null if the agent is not selected.
  [[nodiscard]] std::shared_ptr<PeerConnection> Connection(
      const core::InstanceId& id) const;
  /// @brief Issues an execution ticket for an agent.
  /// @return none unless the stream to the agent is open.
  [[nodiscard]] std::optional<routing::ExecutionTicket> IssueTicket(
      const core::InstanceId& id);
  /// @brief Sets the observer that is called after each report of an endpoint,
  /// which may change where requests can be routed.
  void OnChange(std::function<void()> observer);

 private:
  struct Link {
    config::Instance instance_;
    std::shared_ptr<PeerConnection> connection_;
    OutgoingCallPtr call_;
    std::unique_ptr<FrameReader> reader_;
    std::optional<routing::TicketIssuer> issuer_;
    /// Fingerprint of the documents that the agent holds, as last reported.
    std::uint64_t config_fingerprint_ = 0;
    std::shared_ptr<Timer> retry_timer_;
    /// Set while the agent's documents differ from those of this entry.
    std::shared_ptr<Timer> sync_timer_;
    bool sync_scheduled_ = false;
    unsigned consecutive_failures_ = 0;
  };

  [[nodiscard]] std::vector<config::Instance> SelectInstances() const;
  void UpdateLinks();
  void Attach(const core::InstanceId& id);
  void OnFrame(const core::InstanceId& id, const AgentFrame& frame);
  void OnLost(const core::InstanceId& id);
  /// Pushes changed documents to a share of the agents at once. Each agent has
  /// several entries that do so, and its reports show whether it has received
  /// them.
  void PushConfig(const std::vector<std::string>& keys);
  /// Schedules a full exchange with an agent if its documents still differ
  /// after a delay: a change reaches it from several entries, so most
  /// differences are gone by then.
  void ScheduleSync(const core::InstanceId& id);

  Loop& loop_;
  AgentLinkSettings settings_;
  ConfigReplica& node_;
  EventLog& log_;
  membership::ListedEndpoints roster_;
  std::map<core::InstanceId, Link> links_;
  std::function<void()> observer_;
  std::mt19937_64 random_{std::random_device{}()};
};

}  // namespace chalkwell::daemon
