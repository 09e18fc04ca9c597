// Mesh of a deployment's processes: membership, load reports of endpoints, and
// the chunks of weights that agents hold. Everything is sent as datagrams; a
// later datagram makes up for a lost one. Only entries are in the member table
// and know each other. An agent knows only the entries that use its endpoint;
// its messages describe it by a Member, too, which is not merged.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

#include "chalkwell/membership/gossip_table.hpp"
#include "chalkwell/membership/path_delay.hpp"
#include "chalkwell/membership/propagation_plan.hpp"
#include "chalkwell/membership/report_subscribers.hpp"
#include "daemon/direct/mesh_messages.hpp"
#include "daemon/direct/traffic_counter.hpp"
#include "daemon/event_log.hpp"
#include "daemon/metrics.hpp"
#include "daemon/udp_socket.hpp"

namespace chalkwell::daemon::direct {

/// @brief Settings of a node.
struct MeshSettings {
  Address listen_;
  /// Addresses queried for members at the start. Only the IP address is used,
  /// since all processes of a deployment listen on the same port.
  std::vector<Address> seeds_;
  /// Interval between gossip rounds.
  core::Duration interval_ = std::chrono::milliseconds(1000);
};

/// @brief Hooks of a node.
struct MeshHooks {
  /// An agent sent a load report of its engine.
  std::function<void(const LoadMessage& load)> on_load_;
  /// An agent announced the chunks that it holds.
  std::function<void(const membership::Member& sender,
                     const HeldChunksMessage& held)>
      on_held_chunks_;
  /// An entry subscribed to this agent's reports.
  std::function<void(const membership::Member& entry)> on_subscribe_;
  /// An agent that knows no entries, because it has just started or no entry
  /// uses its endpoint, requested a reply from this entry.
  std::function<void(const std::string& address)> on_agent_query_;
  /// A process announced the newest weights version that it knows.
  std::function<void(const std::string& model, std::uint64_t version)>
      on_weights_;
  /// The lease of a member expired.
  std::function<void(const membership::Member& member)> on_lost_;
  /// An entry published draining or removed endpoints.
  std::function<void(const membership::Member& sender,
                     const DepartedMessage& departed)>
      on_departed_;
  /// @param sent_at when the list was sent, by the local clock. It may be well
  /// before the call: datagrams queue in the network, and in the socket while
  /// this process is suspended.
  std::function<void(const membership::Member& sender,
                     const EndpointListMessage& list, core::TimePoint sent_at)>
      on_list_;
  /// A member announced the version of its active rules, 0 for none, and
  /// whether it watches them in the store.
  std::function<void(const membership::Member& member, std::uint64_t version,
                     bool watches)>
      on_rules_;
  /// A member published crashes of endpoints with the requests in flight there.
  /// @param sent_at when the records were sent, by the local clock.
  std::function<void(const membership::Member& sender,
                     const std::vector<CrashRecordMessage>& records,
                     core::TimePoint sent_at)>
      on_crashes_;
  /// Supplies crash records for another entry, up to a limit.
  std::function<std::vector<CrashRecordMessage>(std::size_t max_records)>
      crashes_;
  /// A member published rate limits that endpoints stated.
  /// @param sent_at when they were sent, by the local clock.
  std::function<void(const membership::Member& sender,
                     const std::vector<RateLimitMessage>& limits,
                     core::TimePoint sent_at)>
      on_rate_limits_;
  /// Supplies rate limits for another entry, up to a number of them.
  std::function<std::vector<RateLimitMessage>(std::size_t max_limits)>
      rate_limits_;
  /// Version of the local active rules; 0 for none.
  std::function<std::uint64_t()> rules_version_;
  /// Whether this process watches the rules in the store.
  std::function<bool()> watches_rules_;
  /// Another entry announced the versions that limit the use of older weights.
  /// @param sent_at when they were sent, by the local clock.
  std::function<void(const std::vector<PublishedVersionMessage>& versions,
                     core::TimePoint sent_at)>
      on_published_versions_;
  /// Supplies the versions that limit the use of older weights.
  std::function<std::vector<PublishedVersionMessage>()> published_versions_;
  /// Newest weights versions known locally, by model.
  std::function<std::map<std::string, std::uint64_t>()> weights_;
  /// A process announced the evacuations that it knows.
  std::function<void(const std::vector<config::Evacuation>& evacuations)>
      on_evacuations_;
  /// Evacuations known locally.
  std::function<std::vector<config::Evacuation>()> evacuations_;
};

/// @brief One process of the mesh.
class MeshNode {
 public:
  MeshNode(Loop& loop, membership::Member self, MeshSettings settings,
           EventLog& log, Metrics& metrics, MeshHooks hooks);

  /// @brief Opens the socket and starts the periodic rounds.
  void Start();
  /// @brief Announces to all known members that this process shuts down.
  void AnnounceLeaving();
  /// @brief Known live entries: all of the local failure domain, a few of each
  /// remote one.
  [[nodiscard]] std::vector<membership::Member> LiveMembers() const {
    return table_.Live();
  }
  /// @brief Live entries of the local failure domain that are not draining.
  [[nodiscard]] std::vector<membership::Member> LocalEntries() const;
  /// @brief Number of live entries of the whole deployment, including this one.
  [[nodiscard]] std::size_t EntryCount() const {
    return table_.DeploymentSize();
  }
  [[nodiscard]] const membership::Member& self() const noexcept {
    return table_.self();
  }
  /// @brief Mesh address of the process on the host of an endpoint.
  /// @param endpoint address of the endpoint, "ip:port".
  [[nodiscard]] std::string MeshAddressOf(const std::string& endpoint) const;

  /// @brief Subscribes to the reports of the agent at an address for a few
  /// seconds.
  /// @param domain failure domain of the agent.
  void Subscribe(const std::string& agent, const core::FailureDomainId& domain);
  /// @brief Sends a report to one subscriber.
  void SendReport(const membership::ReportTarget& entry,
                  const LoadMessage& load);
  /// @brief Publishes which endpoints are draining or removed, so that no other
  /// entry has to wait for its own next read of the list.
  void PublishDeparted(const DepartedMessage& departed);
  /// @brief Publishes a read of the endpoint list to the local failure domain
  /// and one delegate of each remote one.
  void PublishList(const EndpointListMessage& list);
  /// @brief Announces to the local failure domain that a read of the list
  /// failed.
  void PublishReadFailure();
  /// @brief Publishes crash records to the local failure domain and to the
  /// delegates of the remote ones.
  void PublishCrashes(const std::vector<CrashRecordMessage>& records);
  /// @brief Forwards records from a remote failure domain, if this entry is a
  /// delegate of the local one.
  void ForwardCrashes(const core::FailureDomainId& from,
                      const std::vector<CrashRecordMessage>& records);
  /// @brief Publishes rate limits like PublishCrashes().
  void PublishRateLimits(const std::vector<RateLimitMessage>& limits);
  /// @brief Forwards rate limits like ForwardCrashes().
  void ForwardRateLimits(const core::FailureDomainId& from,
                         const std::vector<RateLimitMessage>& limits);
  /// @brief Announces the known versions of rules and weights, and the
  /// evacuations, to some members.
  void AnnounceVersions(const std::vector<membership::Member>& members);
  /// @brief Announces the known versions of rules and weights, and the
  /// evacuations, to the local failure domain and to the delegates of the
  /// remote ones.
  void AnnounceVersions();
  /// @brief When a message was last sent to the whole local failure domain.
  /// Each message announces the known versions of rules and weights.
  [[nodiscard]] core::TimePoint last_domain_announcement() const noexcept {
    return last_domain_announcement_;
  }
  /// @brief Sends one agent the chunks that this one holds.
  void SendHeldChunks(const std::string& agent,
                      const core::FailureDomainId& domain,
                      const HeldChunksMessage& held);
  void SetSeeds(std::vector<Address> seeds);
  /// @brief Queueing delay of this machine's link for inbound traffic.
  [[nodiscard]] core::Duration InboundDelay() const {
    return inbound_.At(loop_.Now());
  }
  /// @brief Queries the next seed for members, as at the start.
  void QuerySeed();

 private:
  void Tick();
  void OnDatagram(std::string_view bytes);
  void OnMessage(const MeshMessage& message);
  /// @brief Merges the sender and the member rows of a message.
  void MergeMembers(const MeshMessage& message,
                    const membership::Member& sender);
  /// @brief Calls the hooks for what a message announces of rules, weights,
  /// endpoints and crashes.
  /// @param delay delay of the message beyond the minimum one-way delay.
  void HandleAnnouncements(const MeshMessage& message,
                           const membership::Member& sender,
                           core::Duration delay);
  /// @brief Forwards the endpoint changes of a message from a remote failure
  /// domain, if this entry is a delegate.
  void Forward(const MeshMessage& message, const membership::Member& sender,
               core::Duration delay);
  membership::MergeOutcome Merge(const membership::Member& member);
  void LogMember(core::EventNumber event, const membership::Member& member);
  void Reply(const membership::Member& requester);
  void Send(TrafficKind kind, const std::string& address,
            const core::FailureDomainId& domain, const MeshMessage& message);
  void SendTo(TrafficKind kind, const std::vector<membership::Member>& members,
              const MeshMessage& message);
  /// @brief A message with the sender, its send time and the versions that it
  /// announces.
  [[nodiscard]] MeshMessage MakeMessage() const;
  /// @brief A message with up to a number of crash records and rate limits.
  [[nodiscard]] MeshMessage MakeGossipMessage(std::size_t records) const;
  /// @brief Sends a message to the local failure domain and to the delegates of
  /// the remote ones.
  void Publish(TrafficKind kind, const MeshMessage& message);
  [[nodiscard]] membership::PropagationPlan Plan() const;
  [[nodiscard]] bool IsEntry() const noexcept {
    return self().kind_ == membership::MemberKind::kEntry;
  }
  void StartupTick();

  Loop& loop_;
  MeshSettings settings_;
  membership::GossipTable table_;
  EventLog& log_;
  Metrics& metrics_;
  MeshHooks hooks_;
  TrafficCounter traffic_;
  /// Delay of messages, by address and incarnation of the sender.
  std::map<std::pair<std::string, std::uint64_t>, membership::PathDelay> paths_;
  membership::LinkDelay inbound_;
  std::unique_ptr<UdpSocket> socket_;
  Timer timer_;
  unsigned startup_rounds_ = 0;
  /// Index of the next seed; seeds are queried round-robin.
  std::size_t next_seed_ = 0;
  core::TimePoint last_domain_announcement_;
  /// Gossip rounds so far.
  unsigned rounds_ = 0;
};

}  // namespace chalkwell::daemon::direct
