// Keeps an entry's rules up with what is published: it takes them from the
// store where that is its duty, and from other entries else. The same duty
// decides who watches the naming of weights.
#pragma once

#include <functional>
#include <optional>
#include <string>
#include <vector>

#include "chalkwell/config/rules_peer_selector.hpp"
#include "chalkwell/membership/watcher_role.hpp"
#include "daemon/direct/adapter.hpp"
#include "daemon/direct/mesh_node.hpp"
#include "daemon/direct/published_reader.hpp"
#include "daemon/direct/rules_exchange.hpp"
#include "daemon/event_log.hpp"

namespace chalkwell::daemon::direct {

/// @brief The rules of one entry.
class RulesManager {
 public:
  /// @brief Newer rules are to be in force.
  /// @param source where they were heard, for the log.
  using Handler = std::function<void(const config::TrafficRules& rules,
                                     const std::string& source)>;

  RulesManager(Loop& loop, const StoreClient& store, PublishedReader& reader,
               MeshNode& mesh, EventLog& log, Metrics& metrics,
               Handler handler);

  void Start();
  /// @brief The reader brought the section of rules.
  void OnPublished(const StoreSnapshot& published);
  /// @brief A member told which rules it has.
  /// @param watches whether it takes them from the store.
  void OnVersionAnnounced(const membership::Member& member,
                          std::uint64_t version, bool watches);
  void OnMemberLost(const membership::Member& member) {
    catch_up_.OnPeerLost(member.id_);
  }
  /// @brief Answers a peer's call.
  /// @return false when the call is not for rules.
  bool Answer(const PeerCallPtr& call) { return exchange_.Answer(call); }

  /// @brief Version in force; 0 for none.
  [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
  /// @brief Whether this entry takes the rules from the store.
  [[nodiscard]] bool is_watcher() const noexcept { return watches_; }

 private:
  /// @param document the same rules, undecoded.
  void Take(const config::TrafficRules& rules, RulesDocument document,
            const std::string& source);
  void Tick();
  void FollowDuty(core::TimePoint now);
  void CatchUp(core::TimePoint now);
  void AskPeer(const membership::Member& peer);
  void OnAnswer(const core::InstanceId& peer,
                std::optional<RulesDocument> document);

  Loop& loop_;
  const StoreClient& store_;
  PublishedReader& reader_;
  MeshNode& mesh_;
  EventLog& log_;
  Handler handler_;
  membership::WatcherRole duty_;
  config::RulesPeerSelector catch_up_;
  RulesExchange exchange_;
  std::uint64_t version_ = 0;
  bool watches_ = true;
  core::TimePoint told_at_;
  core::TimePoint read_at_;
  Timer tick_;
};

}  // namespace chalkwell::daemon::direct
