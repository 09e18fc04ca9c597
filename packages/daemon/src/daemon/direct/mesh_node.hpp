// The processes of the system among themselves: who lives, what endpoints
// report, and which pieces of weights agents hold. All of it is sent as
// datagrams; a lost one is made up for by the next.
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
#include "daemon/direct/mesh_messages.hpp"
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
  std::function<void(const membership::Member& sender, const HeldMessage& held)>
      on_held_;
  std::function<void(const std::string& model, std::uint64_t version)>
      on_weights_;
  std::function<void(const membership::Member& member)> on_lost_;
  std::function<void(const DepartedMessage& departed)> on_departed_;
  std::function<void(const ListMessage& list)> on_list_;
  /// A member told which rules it has in force, 0 for none, and whether it
  /// takes them from the store.
  std::function<void(const membership::Member& member, std::uint64_t version,
                     bool watches)>
      on_rules_;
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
  /// @brief Tells the others that this process ends.
  void Leave();
  [[nodiscard]] std::vector<membership::Member> Live() const {
    return table_.Live();
  }
  /// @brief Live entries of the own failure domain that do not leave.
  [[nodiscard]] std::vector<membership::Member> Neighbours() const;
  [[nodiscard]] const membership::Member& self() const noexcept {
    return table_.self();
  }
  /// @brief Sends a report to every live entry.
  void PushLoad(const LoadMessage& load);
  /// @brief Tells every live entry which endpoints leave: the one that reads
  /// the list first spares the others the wait for their own reading.
  void PushDeparted(const DepartedMessage& departed);
  /// @brief Tells a neighbour what was read of the list of endpoints.
  void PushList(const membership::Member& neighbour, const ListMessage& list);
  /// @brief Tells members which rules are in force here.
  void PushRules(const std::vector<membership::Member>& members);
  /// @brief Sends what this agent holds to the agents of its service.
  void PushHeld(const HeldMessage& held);
  /// @brief Sends news of weights to every live member.
  void PushWeights();
  void SetSeeds(std::vector<Address> seeds);
  /// @brief How long this machine's link holds back what comes in.
  [[nodiscard]] core::Duration InboundDelay() const {
    return inbound_.At(loop_.Now());
  }

 private:
  void Tick();
  void OnDatagram(std::string_view bytes);
  void Send(const std::string& address, const MeshMessage& message);
  [[nodiscard]] MeshMessage Envelope() const;
  void Greet();
  void SendToEntries(const MeshMessage& message);

  Loop& loop_;
  MeshSettings settings_;
  membership::GossipTable table_;
  EventLog& log_;
  Metrics& metrics_;
  MeshHooks hooks_;
  /// By address and incarnation of the sender.
  std::map<std::pair<std::string, std::uint64_t>, membership::PathDelay> paths_;
  membership::LinkDelay inbound_;
  std::unique_ptr<UdpSocket> socket_;
  Timer timer_;
  unsigned greetings_ = 0;
};

}  // namespace chalkwell::daemon::direct
