// Exchange of published sections between entries, for those that cannot reach
// the store.
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

/// @brief Request for sections newer than those of the requester.
struct PublishedRequest {
  /// Store revision of each known section.
  std::map<std::uint8_t, StoreRevisionMessage> known_;
  MSGPACK_DEFINE(known_)
};

/// @brief Sections as received from the store, undecoded, with their revisions.
struct PublishedResponse {
  std::map<std::uint8_t, StoreRevisionMessage> revisions_;
  std::map<std::uint8_t, std::vector<std::string>> pages_;
  /// Time since the store was queried for each section.
  std::map<std::uint8_t, std::uint64_t> ages_ms_;
  MSGPACK_DEFINE(revisions_, pages_, ages_ms_)
};

/// @brief Compressed PublishedResponse. Lists deflate to a fifth of their size,
/// and all entries of a region that lost the store request them over one link.
struct DeflatedResponse {
  std::uint64_t size_ = 0;
  std::string bytes_;
  MSGPACK_DEFINE(size_, bytes_)
};

/// @brief Serves published sections to peers and fetches them from peers.
class PublishedRelay {
 public:
  using Handler = std::function<void(Section section, const StoreSnapshot&)>;

  PublishedRelay(Loop& loop, const StoreClient& store, MeshNode& mesh,
                 EventLog& log, Handler handler);

  /// @brief Stores a full section for peers; a delta or older one is ignored.
  void Store(Section section, const StoreSnapshot& snapshot);
  /// @brief Requests newer sections from one live entry, unless a request is in
  /// flight.
  void Fetch();
  /// @brief Responds to a peer's call.
  /// @return false when the call is not a request for published sections.
  bool HandleCall(const PeerCallPtr& call);

 private:
  struct StoredSection {
    core::StoreRevision revision_;
    std::vector<std::string> pages_;
    /// When the store was queried.
    core::TimePoint as_of_;
  };

  /// @param requested_at when the request was sent to the peer.
  void OnResponse(const std::string& body, const std::string& peer,
                  core::TimePoint requested_at);

  Loop& loop_;
  const StoreClient& store_;
  MeshNode& mesh_;
  EventLog& log_;
  Handler handler_;
  std::map<Section, StoredSection> sections_;
  std::map<std::string, std::unique_ptr<PeerConnection>> connections_;
  bool request_pending_ = false;
  std::size_t next_entry_ = 0;
};

}  // namespace chalkwell::daemon::direct
