// Streams between an agent and its neighbours in the swarm, on which they
// announce the chunks they hold and the versions that members serve.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include "chalkwell/swarm/chunk_set.hpp"
#include "daemon/config_replica.hpp"
#include "daemon/loop.hpp"
#include "daemon/peer_connection.hpp"
#include "daemon/peer_server.hpp"

namespace chalkwell::daemon {

/// @brief Index of the manifest in announcements and chunk requests; chunk i of
/// the weights has index i + 1.
inline constexpr std::uint32_t kManifestIndex = 0;

/// @brief Callbacks for the announcements of neighbours.
struct SwarmObserver {
  /// The set of chunks that a neighbour holds has changed; gets the whole set.
  std::function<void(const core::InstanceId& peer,
                     const std::set<std::uint32_t>& held)>
      on_chunks_changed_;
  /// The stream to a neighbour ended, or it is no neighbour any more.
  std::function<void(const core::InstanceId& peer)> on_neighbour_lost_;
  /// A member serves a higher bundle version than known before.
  std::function<void(const core::InstanceId& member, std::uint64_t version)>
      on_version_served_;
};

/// @brief Subscriptions to the announcements of neighbours, and the subscribers
/// of this process.
///
/// A subscription whose stream ends is renewed after a delay.
class SwarmLinks {
 public:
  SwarmLinks(Loop& loop, ConfigReplica& node, PeerConnectionSettings settings,
             SwarmObserver observer);

  /// @brief Connection to a neighbour; null if `id` is not a neighbour.
  [[nodiscard]] std::shared_ptr<PeerConnection> Connection(
      const core::InstanceId& id) const;

  /// @brief Subscribes to these neighbours, and no others, for one manifest.
  /// @param manifest digest in hexadecimal.
  void Subscribe(const std::string& manifest,
                 const std::vector<config::Instance>& neighbours);
  /// @brief Ends all subscriptions; the subscribers of this process stay.
  void Unsubscribe();
  /// @brief Handles a call of /v1/have, which adds a subscriber.
  /// @throws core::Error if the request is malformed.
  void HandleHave(const PeerCallPtr& call);
  /// @brief Sets the chunks that this process holds of a manifest and announces
  /// the change to subscribers.
  /// @param manifest digest in hexadecimal.
  void SetHeldChunks(const std::string& manifest, std::set<std::uint32_t> held);
  /// @brief Records that a member serves a version and announces it, unless the
  /// same or a higher version is known.
  void SetServedVersion(const core::InstanceId& member, std::uint64_t version);

 private:
  struct Neighbour {
    config::Instance instance_;
    std::shared_ptr<PeerConnection> connection_;
    OutgoingCallPtr call_;
    std::unique_ptr<FrameReader> reader_;
    std::set<std::uint32_t> held_;
    std::shared_ptr<Timer> retry_timer_;
  };
  struct Subscriber {
    PeerCallPtr call_;
    std::string manifest_;
    /// Chunks and versions announced to it so far.
    std::set<std::uint32_t> announced_chunks_;
    std::map<std::string, std::uint64_t> announced_versions_;
  };

  void SubscribeTo(const core::InstanceId& id);
  void OnFrame(const core::InstanceId& id, const HaveFrame& frame);
  /// @brief Schedules an announcement to all subscribers.
  void Announce();
  /// @brief Sends the changes since the last announcement, if any.
  void AnnounceTo(Subscriber& subscriber);

  Loop& loop_;
  ConfigReplica& node_;
  PeerConnectionSettings settings_;
  SwarmObserver observer_;
  /// Manifest of the subscriptions, in hexadecimal; empty for none.
  std::string manifest_;
  std::map<core::InstanceId, Neighbour> neighbours_;
  std::vector<std::shared_ptr<Subscriber>> subscribers_;
  /// Manifest, in hexadecimal, of the chunks in `held_`.
  std::string held_manifest_;
  /// Chunks that this process holds of `held_manifest_`.
  std::set<std::uint32_t> held_;
  /// Highest known version that each member serves.
  std::map<std::string, std::uint64_t> versions_;
  bool announcement_pending_ = false;
  Timer announcement_timer_;
};

}  // namespace chalkwell::daemon
