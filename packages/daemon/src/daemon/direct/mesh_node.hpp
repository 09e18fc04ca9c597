// The processes of the system among themselves: who lives, what endpoints
// report, and which pieces of weights agents hold. All of it is sent as
// datagrams; a lost one is made up for by the next.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <msgpack.hpp>
#include <string>
#include <utility>
#include <vector>

#include "chalkwell/membership/gossip_table.hpp"
#include "chalkwell/membership/path_delay.hpp"
#include "chalkwell/routing/endpoint_table.hpp"
#include "daemon/event_log.hpp"
#include "daemon/metrics.hpp"
#include "daemon/udp_socket.hpp"

namespace chalkwell::daemon::direct {

/// @brief Wire form of a member. An array, to spare the names.
struct MemberMessage {
  std::string id_;
  std::uint64_t incarnation_ = 0;
  std::uint8_t kind_ = 0;
  std::string domain_;
  std::string address_;
  std::string service_;
  std::uint64_t beat_ = 0;
  bool leaving_ = false;
  MSGPACK_DEFINE(id_, incarnation_, kind_, domain_, address_, service_, beat_,
                 leaving_)
};

/// @brief What an agent's engine reported.
struct LoadMessage {
  /// Address of the engine, "ip:port".
  std::string endpoint_;
  std::uint32_t active_ = 0;
  std::uint32_t queued_ = 0;
  bool accepting_ = true;
  /// 0 while the engine holds no whole weights.
  std::uint64_t version_ = 0;
  /// Thousandths.
  std::uint32_t pace_ = 1000;
  /// By the agent's steady clock.
  std::uint64_t sent_ms_ = 0;
  /// How long the agent's link holds back what comes in.
  std::uint32_t inbound_ms_ = 0;
  MSGPACK_DEFINE(endpoint_, active_, queued_, accepting_, version_, pace_,
                 sent_ms_, inbound_ms_)
};

/// @brief Which pieces of a version an agent can give.
struct HeldMessage {
  std::string model_;
  std::uint64_t version_ = 0;
  std::uint32_t pieces_ = 0;
  std::string bits_;
  /// Version that its engine serves; 0 for none.
  std::uint64_t serving_ = 0;
  /// Whether it can give the list of the version's pieces.
  bool has_manifest_ = false;
  MSGPACK_DEFINE(model_, version_, pieces_, bits_, serving_, has_manifest_)
};

/// @brief Endpoints that are seen to leave or to be gone.
struct DepartedMessage {
  std::vector<std::string> leaving_;
  std::vector<std::string> gone_;
  MSGPACK_DEFINE(leaving_, gone_)
};

/// @brief One datagram.
struct MeshMessage {
  MemberMessage sender_;
  std::vector<MemberMessage> rows_;
  std::vector<LoadMessage> loads_;
  std::vector<HeldMessage> held_;
  /// Newest weights the sender has heard of, by model.
  std::map<std::string, std::uint64_t> weights_;
  /// Whether the sender wants an answer, to know that the other lives.
  bool asks_ = false;
  DepartedMessage departed_;
  /// By the sender's steady clock.
  std::uint64_t sent_ms_ = 0;
  MSGPACK_DEFINE(sender_, rows_, loads_, held_, weights_, asks_, departed_,
                 sent_ms_)
};

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
  [[nodiscard]] const membership::Member& self() const noexcept {
    return table_.self();
  }
  /// @brief Sends a report to every live entry.
  void PushLoad(const LoadMessage& load);
  /// @brief Tells every live entry which endpoints leave: the one that reads
  /// the list first spares the others the wait for their own reading.
  void PushDeparted(const DepartedMessage& departed);
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
