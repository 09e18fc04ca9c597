// Keeps an entry's rules current. An entry with the watcher role watches them
// in the store; the others fetch them from peers. One watch covers everything
// that operators publish: the target versions of weights and the evacuations as
// well, which every message between processes announces.
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

/// @brief Manager of an entry's rules.
class RulesManager {
 public:
  /// @brief Activates newer rules.
  /// @param source where they were received from, for the log.
  using Handler = std::function<void(const config::TrafficRules& rules,
                                     const std::string& source)>;

  RulesManager(Loop& loop, const StoreClient& store, PublishedReader& reader,
               MeshNode& mesh, EventLog& log, Metrics& metrics,
               Handler handler);

  /// @param first_read_wait time to wait for the rules from other entries
  /// before the store is read.
  void Start(core::Duration first_read_wait);
  /// @brief The reader received a section that may hold the rules.
  void OnPublished(Section section, const StoreSnapshot& snapshot);
  /// @brief A member announced the version of its active rules.
  /// @param watches whether the member watches the rules in the store.
  void OnVersionAnnounced(const membership::Member& member,
                          std::uint64_t version, bool watches);
  void OnMemberLost(const membership::Member& member) {
    peer_selector_.OnPeerLost(member.id_);
  }
  /// @brief Responds to a peer's call.
  /// @return false when the call is not a request for rules.
  bool HandleCall(const PeerCallPtr& call) {
    return exchange_.HandleCall(call);
  }

  /// @brief Version of the active rules; 0 for none.
  [[nodiscard]] std::uint64_t version() const noexcept { return version_; }
  /// @brief Versions that other entries announced and that are not active here
  /// yet.
  [[nodiscard]] const config::AnnouncedVersions& announced() const noexcept {
    return peer_selector_.announced();
  }
  /// @brief Sets the gauges of the lag behind announced versions.
  void RefreshMetrics();
  /// @brief Whether this entry has the watcher role.
  [[nodiscard]] bool is_watcher() const noexcept { return is_watcher_; }

 private:
  /// @brief Activates rules if they are newer, and announces them.
  /// @param document the same rules, undecoded.
  void Apply(const config::TrafficRules& rules, RulesDocument document,
             config::RulesOrigin origin);
  void Announce(config::RulesOrigin origin);
  void Tick();
  void UpdateRole(core::TimePoint now);
  void CatchUp(core::TimePoint now);
  void FetchFromPeer(const membership::Member& peer);
  void OnFetched(const membership::Member& peer,
                 std::optional<RulesDocument> document);

  Loop& loop_;
  const StoreClient& store_;
  PublishedReader& reader_;
  MeshNode& mesh_;
  EventLog& log_;
  Metrics& metrics_;
  Handler handler_;
  membership::WatcherRole watcher_role_;
  config::RulesPeerSelector peer_selector_;
  RulesExchange exchange_;
  std::uint64_t version_ = 0;
  bool is_watcher_ = true;
  /// Until then the store is not read, unless the rules are known.
  core::TimePoint wait_until_;
  /// Greatest lag since the metrics were last read.
  core::Duration max_lag_{};
  /// When this entry, as a watcher, last announced its versions.
  core::TimePoint announced_at_;
  /// When the rules were last read because a newer version was overdue.
  core::TimePoint read_at_;
  Timer tick_;
};

}  // namespace chalkwell::daemon::direct
