// Exchange of rules between entries. A peer responds with its newest document,
// as a delta from the document that the requester holds where it has that one.
#pragma once

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <msgpack.hpp>
#include <optional>
#include <string>

#include "chalkwell/core/digest.hpp"
#include "daemon/direct/mesh_messages.hpp"
#include "daemon/direct/peer_connections.hpp"
#include "daemon/metrics.hpp"
#include "daemon/peer_server.hpp"

namespace chalkwell::daemon::direct {

/// @brief One version of the rules, undecoded.
struct RulesDocument {
  std::uint64_t version_ = 0;
  /// The holder knows everything that operators published up to this store
  /// revision; none if it does not.
  core::StoreRevision revision_;
  std::string text_;
};

/// @brief Request for newer rules.
struct RulesRequest {
  /// Document that the requester holds; 0 and empty for none.
  std::uint64_t version_ = 0;
  std::string digest_;
  MSGPACK_DEFINE(version_, digest_)
};

/// @brief Response with newer rules.
struct RulesResponse {
  std::uint64_t version_ = 0;
  StoreRevisionMessage revision_;
  /// Digest of the full text.
  std::string digest_;
  std::uint64_t size_ = 0;
  /// Digest of the delta's base text; empty when the deflated bytes are the
  /// full text.
  std::string base_;
  /// Size of the deflated bytes once inflated.
  std::uint64_t packed_size_ = 0;
  std::string deflated_;
  MSGPACK_DEFINE(version_, revision_, digest_, size_, base_, packed_size_,
                 deflated_)
};

/// @brief Stores rules documents, serves them to peers and fetches newer ones.
class RulesExchange {
 public:
  /// @brief Receives the newer rules; none when the peer has none, the call
  /// failed or its response was invalid.
  using Done = std::function<void(std::optional<RulesDocument> document)>;

  RulesExchange(Loop& loop, Metrics& metrics);

  /// @brief Stores a newer active document.
  void Add(RulesDocument document);
  /// @brief Responds to a peer's call.
  /// @return false when the call is not a request for rules.
  bool HandleCall(const PeerCallPtr& call);
  /// @brief Fetches rules newer than the stored ones from a peer.
  /// @param on_silent see PeerConnections::Fetch().
  void Fetch(const std::string& address, Done done,
             std::function<void()> on_silent);

 private:
  struct StoredDocument {
    RulesDocument document_;
    core::Digest digest_;
  };

  [[nodiscard]] const StoredDocument* FindByDigest(
      const std::string& digest) const;
  [[nodiscard]] const std::string& PackedResponseFor(const std::string& digest);
  [[nodiscard]] std::optional<RulesDocument> Apply(
      const RulesResponse& response) const;

  Metrics& metrics_;
  /// Newest first.
  std::deque<StoredDocument> documents_;
  /// Packed responses with the newest document, by digest of the base. They are
  /// cached because the members of a failure domain request the same ones.
  std::map<std::string, std::string> responses_;
  PeerConnections connections_;
};

}  // namespace chalkwell::daemon::direct
