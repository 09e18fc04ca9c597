// Entries that cannot reach the store learn what is published from others.
#pragma once

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "daemon/direct/adapter.hpp"
#include "daemon/direct/mesh_node.hpp"
#include "daemon/event_log.hpp"
#include "daemon/peer_connection.hpp"
#include "daemon/peer_server.hpp"

namespace chalkwell::daemon::direct {

/// @brief Request for sections newer than those the asker has.
struct PublishedRequest {
  /// Store's revision of each section known; 0 for none.
  std::map<std::uint8_t, std::uint64_t> known_;
  MSGPACK_DEFINE(known_)
};

/// @brief Sections as the store gave them, undecoded, with their revisions.
struct PublishedResponse {
  std::map<std::uint8_t, std::uint64_t> revisions_;
  std::map<std::uint8_t, std::vector<std::string>> pages_;
  /// Since the store was asked for them.
  std::map<std::uint8_t, std::uint64_t> ages_ms_;
  MSGPACK_DEFINE(revisions_, pages_, ages_ms_)
};

/// @brief An answer on the wire. Lists deflate to a fifth, and all entries of a
/// region that lost the store ask for them over one link.
struct DeflatedResponse {
  std::uint64_t size_ = 0;
  std::string bytes_;
  MSGPACK_DEFINE(size_, bytes_)
};

/// @brief Answers others and asks them.
class PublishedRelay {
 public:
  using Handler = std::function<void(Section section, const StoreSnapshot&)>;

  PublishedRelay(Loop& loop, const StoreClient& store, MeshNode& mesh,
                 EventLog& log, Handler handler);

  /// @brief The store answered with a whole section.
  void Store(Section section, const StoreSnapshot& published);
  /// @brief Asks one live entry now, unless an answer is awaited.
  void Fetch();
  /// @brief Answers a peer's call.
  /// @return false when the call is not for the relay.
  bool Answer(const PeerCallPtr& call);

 private:
  struct Kept {
    std::uint64_t revision_ = 0;
    std::vector<std::string> pages_;
    core::TimePoint asked_at_;
  };

  /// @param asked_at when the peer was asked.
  void OnAnswer(const std::string& body, const std::string& peer,
                core::TimePoint asked_at);

  Loop& loop_;
  const StoreClient& store_;
  MeshNode& mesh_;
  EventLog& log_;
  Handler handler_;
  std::map<Section, Kept> kept_;
  std::map<std::string, std::unique_ptr<PeerConnection>> connections_;
  bool asking_ = false;
  std::size_t turn_ = 0;
};

}  // namespace chalkwell::daemon::direct
