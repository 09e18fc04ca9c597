// Rules between entries: the newest document and those before it, told as what
// has changed since the one that the asker holds.
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
#include "daemon/metrics.hpp"
#include "daemon/peer_connection.hpp"
#include "daemon/peer_server.hpp"

namespace chalkwell::daemon::direct {

/// @brief One version of the rules, undecoded.
struct RulesDocument {
  std::uint64_t version_ = 0;
  /// Of the publisher, at which this was the newest.
  std::uint64_t revision_ = 0;
  std::string text_;
};

/// @brief Asks for newer rules.
struct RulesRequest {
  /// What the asker holds; 0 and empty for nothing.
  std::uint64_t version_ = 0;
  std::string digest_;
  MSGPACK_DEFINE(version_, digest_)
};

/// @brief Newer rules.
struct RulesResponse {
  std::uint64_t version_ = 0;
  std::uint64_t revision_ = 0;
  /// Of the whole text.
  std::string digest_;
  std::uint64_t size_ = 0;
  /// Digest of the text that the delta starts from; empty when the deflated
  /// bytes are the whole text.
  std::string base_;
  /// Size before it was deflated.
  std::uint64_t packed_size_ = 0;
  std::string deflated_;
  MSGPACK_DEFINE(version_, revision_, digest_, size_, base_, packed_size_,
                 deflated_)
};

/// @brief Keeps, gives and asks for rules.
class RulesExchange {
 public:
  /// @param done the newer rules; nothing when the peer has none, or what it
  /// said was no use.
  using Done = std::function<void(std::optional<RulesDocument> document)>;

  RulesExchange(Loop& loop, Metrics& metrics);

  /// @brief A newer document is in force.
  void Add(RulesDocument document);
  /// @brief Answers a peer's call.
  /// @return false when the call is not for rules.
  bool Answer(const PeerCallPtr& call);
  /// @brief Asks a peer for rules newer than those kept.
  void Fetch(const std::string& address, Done done);

 private:
  struct Kept {
    RulesDocument document_;
    core::Digest digest_;
  };

  [[nodiscard]] const Kept* Find(const std::string& digest) const;
  [[nodiscard]] const std::string& AnswerFor(const std::string& digest);
  [[nodiscard]] std::optional<RulesDocument> Apply(
      const RulesResponse& answer) const;

  Loop& loop_;
  Metrics& metrics_;
  /// Newest first.
  std::deque<Kept> kept_;
  /// Packed answers of the newest document, by digest of the base: a failure
  /// domain's members ask for the same ones.
  std::map<std::string, std::string> answers_;
  std::map<std::string, std::unique_ptr<PeerConnection>> connections_;
};

}  // namespace chalkwell::daemon::direct
