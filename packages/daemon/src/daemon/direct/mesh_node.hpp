// The processes of the system among themselves: who lives, what endpoints
// report, and which pieces of weights agents hold. All of it is sent as
// datagrams; a lost one is made up for by the next. Entries are members, who
// know each other; agents know the entries that use their endpoints.
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
  /// Processes that may be known at the start; only their IP numbers count,
  /// since all processes of a deployment listen on the same port.
  std::vector<Address> seeds_;
  core::Duration interval_ = std::chrono::milliseconds(1000);
};

/// @brief Hooks of a node.
struct MeshHooks {
  std::function<void(const LoadMessage& load)> on_load_;
  std::function<void(const membership::Member& sender,
                     const HeldChunksMessage& held)>
      on_held_chunks_;
  /// An entry wants this agent's reports.
  std::function<void(const membership::Member& entry)> on_subscribe_;
  /// An agent that has just started, or that no entry uses, greets.
  std::function<void(const std::string& address)> on_agent_started_;
  std::function<void(const std::string& model, std::uint64_t version)>
      on_weights_;
  std::function<void(const membership::Member& member)> on_lost_;
  std::function<void(const DepartedMessage& departed)> on_departed_;
  /// @param sent_at when the list was told, by the own clock: datagrams may
  /// wait on their way and before this process, which may stand still.
  std::function<void(const membership::Member& teller,
                     const EndpointListMessage& list, core::TimePoint sent_at)>
      on_list_;
  /// A member told which rules it has in force, 0 for none, and whether it
  /// takes them from the store.
  std::function<void(const membership::Member& member, std::uint64_t version,
                     bool watches)>
      on_rules_;
  /// A member published endpoints that crashed under requests.
  /// @param sent_at when it did, by the own clock.
  std::function<void(const membership::Member& sender,
                     const std::vector<CrashRecordMessage>& records,
                     core::TimePoint sent_at)>
      on_crashes_;
  /// Some records of crashes for another entry.
  std::function<std::vector<CrashRecordMessage>(std::size_t most)> crashes_;
  /// Version of the rules in force here; 0 for none.
  std::function<std::uint64_t()> rules_version_;
  /// Whether this process takes the rules from the store.
  std::function<bool()> watches_rules_;
  /// Newest weights known here.
  std::function<std::map<std::string, std::uint64_t>()> weights_;
};

/// @brief One process's place among the others.
class MeshNode {
 public:
  MeshNode(Loop& loop, membership::Member self, MeshSettings settings,
           EventLog& log, Metrics& metrics, MeshHooks hooks);

  /// @brief Begins to tell and to listen.
  void Start();
  /// @brief Tells the members known that this process ends.
  void AnnounceLeaving();
  /// @brief Entries known: all of the own failure domain, few of each other.
  [[nodiscard]] std::vector<membership::Member> LiveMembers() const {
    return table_.Live();
  }
  /// @brief Live entries of the own failure domain that do not leave.
  [[nodiscard]] std::vector<membership::Member> LocalEntries() const;
  /// @brief Live entries of the whole deployment, this one included.
  [[nodiscard]] std::size_t EntryCount() const {
    return table_.DeploymentSize();
  }
  [[nodiscard]] const membership::Member& self() const noexcept {
    return table_.self();
  }
  /// @brief Where another process of the deployment hears datagrams.
  /// @param endpoint address of the endpoint beside it, "ip:port".
  [[nodiscard]] std::string MeshAddressOf(const std::string& endpoint) const;

  /// @brief Asks the agent at an address for reports, for some seconds.
  /// @param domain failure domain of the agent.
  void Subscribe(const std::string& agent, const core::FailureDomainId& domain);
  /// @brief Sends a report to one subscriber.
  void SendReport(const membership::ReportTarget& entry,
                  const LoadMessage& load);
  /// @brief Tells whoever must know which endpoints leave: the one that reads
  /// the list first spares the others the wait for their own reading.
  void PublishDeparted(const DepartedMessage& departed);
  /// @brief Tells whoever must know what was read of the list of endpoints.
  void PublishList(const EndpointListMessage& list);
  /// @brief Tells the own failure domain that the list could not be read.
  void PublishReadFailure();
  /// @brief Publishes records of crashes to the own failure domain and to the
  /// delegates of the others.
  void PublishCrashes(const std::vector<CrashRecordMessage>& records);
  /// @brief Forwards records that came from another failure domain, if this
  /// entry is a delegate of its own.
  void ForwardCrashes(const core::FailureDomainId& from,
                      const std::vector<CrashRecordMessage>& records);
  /// @brief Tells members which rules and weights are known here.
  void AnnounceVersions(const std::vector<membership::Member>& members);
  /// @brief Tells whoever must know which rules and weights are known here.
  void AnnounceVersions();
  /// @brief When the whole failure domain was told anything: each datagram says
  /// which rules and weights are known here.
  [[nodiscard]] core::TimePoint last_domain_announcement() const noexcept {
    return told_domain_at_;
  }
  /// @brief Tells one agent what this one holds.
  void SendHeldChunks(const std::string& agent,
                      const core::FailureDomainId& domain,
                      const HeldChunksMessage& held);
  void SetSeeds(std::vector<Address> seeds);
  /// @brief How long this machine's link holds back what comes in.
  [[nodiscard]] core::Duration InboundDelay() const {
    return inbound_.At(loop_.Now());
  }
  /// @brief Asks a seed who is there, as at the start.
  void QuerySeed();

 private:
  void Tick();
  void OnDatagram(std::string_view bytes);
  void OnMessage(const MeshMessage& message);
  /// @brief Takes the sender and the rows that it told.
  void TakeMembers(const MeshMessage& message,
                   const membership::Member& sender);
  /// @brief Takes what the sender knows of rules, weights and endpoints.
  /// @param delay how long the message was under way beyond the usual.
  void TakeNews(const MeshMessage& message, const membership::Member& sender,
                core::Duration delay);
  /// @brief A delegate hands on what came from another failure domain.
  void PassOn(const MeshMessage& message, const membership::Member& sender,
              core::Duration delay);
  membership::MergeOutcome Merge(const membership::Member& member);
  void LogMember(core::EventNumber event, const membership::Member& member);
  void Answer(const membership::Member& asker);
  void Send(TrafficKind kind, const std::string& address,
            const core::FailureDomainId& domain, const MeshMessage& message);
  void SendTo(TrafficKind kind, const std::vector<membership::Member>& members,
              const MeshMessage& message);
  [[nodiscard]] MeshMessage Envelope() const;
  /// @brief An envelope with some records of crashes.
  [[nodiscard]] MeshMessage GossipEnvelope(std::size_t crash_records) const;
  [[nodiscard]] membership::PropagationPlan Plan() const;
  [[nodiscard]] bool IsEntry() const noexcept {
    return self().kind_ == membership::MemberKind::kEntry;
  }
  void Greet();

  Loop& loop_;
  MeshSettings settings_;
  membership::GossipTable table_;
  EventLog& log_;
  Metrics& metrics_;
  MeshHooks hooks_;
  TrafficCounter traffic_;
  /// By address and incarnation of the sender.
  std::map<std::pair<std::string, std::uint64_t>, membership::PathDelay> paths_;
  membership::LinkDelay inbound_;
  std::unique_ptr<UdpSocket> socket_;
  Timer timer_;
  unsigned greetings_ = 0;
  /// Seeds are greeted in turn.
  std::size_t seed_ = 0;
  core::TimePoint told_domain_at_;
  /// Rounds since a seed was asked.
  unsigned rounds_ = 0;
};

}  // namespace chalkwell::daemon::direct
