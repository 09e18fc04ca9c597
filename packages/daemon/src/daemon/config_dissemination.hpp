// Dissemination of the configuration between entries: a few watchers in each
// failure domain read the configuration store; every entry forwards changes by
// push and resolves differences by periodic exchange.
#pragma once

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "daemon/config_replica.hpp"
#include "daemon/loop.hpp"
#include "daemon/peer_connection.hpp"
#include "daemon/store_reader.hpp"

namespace chalkwell::daemon {

/// @brief Settings of a ConfigDisseminator.
struct DisseminationSettings {
  core::FailureDomainId domain_;
  /// Entries of a failure domain that watch the configuration store.
  std::size_t watchers_ = 2;
  /// An entry that received nothing from any peer for this long reads the
  /// configuration store itself; jitter of up to half of it is added.
  core::Duration peer_timeout_ = std::chrono::seconds(5);
  PeerConnectionSettings connection_;
};

/// @brief Compares the documents with a peer's and sends those that the peer
/// lacks. Takes at most two requests.
/// @param on_response called with each response; may be empty.
void ExchangeDocuments(
    const std::shared_ptr<PeerConnection>& connection, ConfigReplica& node,
    const std::function<void(const SyncMessage&)>& on_response);

/// @brief Announces changed documents to a peer and sends those it requests.
/// @param keys of the documents that changed.
/// @param on_response called with each response; may be empty.
void PushDocuments(const std::shared_ptr<PeerConnection>& connection,
                   ConfigReplica& node, const std::vector<std::string>& keys,
                   const std::function<void(const SyncMessage&)>& on_response);

/// @brief Synchronizes the configuration of one entry with other entries and
/// decides when the entry reads the configuration store.
///
/// The entry holds a watch on the store if it is among the highest-ranked
/// entries of its failure domain that are alive and can read the store.
/// Otherwise it reads the store once after the start, if no peer has sent the
/// instance list by then, and whenever it received nothing from any peer for
/// `peer_timeout_`.
///
/// Changes are pushed to a few random peers at once, epidemically. Each period
/// the entry exchanges documents with the entries ranked before it and with one
/// random peer.
class ConfigDisseminator {
 public:
  ConfigDisseminator(Loop& loop, DisseminationSettings settings,
                     ConfigReplica& node, StoreReader& reader);

  /// @brief Records a sign of life of a peer: a /v1/sync request from it, or
  /// its response to one.
  /// @param reaches_service whether the peer can read the configuration store,
  /// as it states in the message.
  void OnPeerMessage(const core::InstanceId& peer, bool reaches_service,
                     core::TimePoint now);

 private:
  struct Peer {
    config::Instance instance_;
    std::shared_ptr<PeerConnection> connection_;
    std::optional<core::TimePoint> last_message_at_;
    bool reaches_service_ = true;
  };

  void OnChange(const std::vector<std::string>& keys);
  void UpdatePeers();
  /// Starts or stops watching the configuration store, by rank among the
  /// entries of the local failure domain.
  void UpdateWatcherRole(core::TimePoint now);
  void Exchange(core::TimePoint now);
  void Push(const std::vector<std::string>& keys);
  /// A handler that records the response as a sign of life of the peer.
  [[nodiscard]] std::function<void(const SyncMessage&)> MakeResponseHandler(
      const Peer& peer);
  void SyncWith(Peer& peer);
  /// Whether the peer is eligible as a watcher: alive, not draining and able to
  /// read the configuration store.
  [[nodiscard]] bool MayWatch(const Peer& peer, core::TimePoint now) const;
  [[nodiscard]] std::vector<Peer*> RandomPeers(std::size_t count);

  Loop& loop_;
  DisseminationSettings settings_;
  ConfigReplica& node_;
  StoreReader& reader_;
  std::mt19937_64 random_;
  /// The other entries of the published instance list.
  std::map<core::InstanceId, Peer> peers_;
  /// Entries of the local failure domain that rank before this one for the
  /// watcher role, until enough of them may watch.
  std::vector<core::InstanceId> higher_ranked_;
  /// Between two exchanges. Grows with the size of the failure domain, since
  /// every entry exchanges with the few that rank highest.
  core::Duration period_;
  core::TimePoint started_;
  core::TimePoint last_message_at_;
  Timer timer_;
};

}  // namespace chalkwell::daemon
