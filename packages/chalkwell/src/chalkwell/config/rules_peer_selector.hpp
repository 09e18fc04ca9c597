// Selects the peer from which a process fetches newer rules: one peer at a
// time, preferably of the local failure domain.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "chalkwell/config/announced_versions.hpp"
#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"

namespace chalkwell::config {

/// @brief Delays and timeouts of the selection.
struct RulesPeerSelectorSettings {
  /// A process that watches the configuration store waits this long for the
  /// watch to deliver the rules before it requests them from a peer.
  core::Duration watch_delay_ = std::chrono::milliseconds(150);
  /// A process that does not watch waits this long for a watcher of its own
  /// failure domain before it requests rules from a remote peer. The watcher
  /// receives 1 MB of rules from the store in 0.5 s; a fetch from a remote peer
  /// would compete with it for the link that all machines of the domain share.
  /// A version that is known for this long is also fetched from a remote peer
  /// that has it rather than from a local one that does not.
  core::Duration remote_delay_ = std::chrono::milliseconds(500);
  /// A request without a response for this long has failed.
  core::Duration response_timeout_ = std::chrono::milliseconds(2000);
  /// A peer that failed is not selected again for this long.
  core::Duration retry_delay_ = std::chrono::milliseconds(500);
  /// With this lag the process reads the rules from the
  /// store. Well below the 2 s within which rules must be active in all
  /// processes.
  core::Duration max_lag_ = std::chrono::milliseconds(1300);
};

/// @brief A peer that has rules.
struct RulesSource {
  core::InstanceId id_;
  /// In the failure domain of this process.
  bool local_ = false;
};

/// @brief Where rules were received from.
enum class RulesOrigin : std::uint8_t { kStore, kLocalPeer, kRemotePeer };

/// @brief Members to which a process announces rules that it has applied.
enum class AnnounceScope : std::uint8_t {
  kNone,
  kLocalDomain,
  /// The local failure domain and some members of each remote one.
  kAllDomains,
};

/// @brief Determines who is told of rules that a process has applied.
/// @param watches whether the process watches the configuration store.
[[nodiscard]] AnnounceScope AnnounceScopeOf(RulesOrigin origin,
                                            bool watches) noexcept;

/// @brief Selects the peer from which one process fetches newer rules.
class RulesPeerSelector {
 public:
  explicit RulesPeerSelector(core::InstanceId self,
                             RulesPeerSelectorSettings settings = {});

  /// @brief A peer announced the version of its rules.
  void OnAnnounced(const RulesSource& source, std::uint64_t version,
                   core::TimePoint now);
  void OnPeerLost(const core::InstanceId& id) { sources_.erase(id); }
  /// @brief Rules of this version are now active in this process.
  void OnApplied(std::uint64_t version);
  /// @brief The request to a peer ended.
  /// @param succeeded whether it returned newer rules.
  void OnFetchEnded(const core::InstanceId& id, bool succeeded,
                    core::TimePoint now);

  /// @brief The peer to request rules from now, if any; a request to it is then
  /// pending.
  /// @param watches whether this process watches the store.
  [[nodiscard]] std::optional<core::InstanceId> Next(bool watches,
                                                     core::TimePoint now);
  /// @brief Whether the lag has reached `max_lag_`, however many outdated
  /// versions were applied meanwhile.
  /// @param delay additional lag that is waited for.
  [[nodiscard]] bool IsOverdue(core::TimePoint now,
                               core::Duration delay = {}) const;
  /// @brief Announced versions that are not active in this process yet.
  [[nodiscard]] const AnnouncedVersions& announced() const noexcept {
    return announced_;
  }

 private:
  struct Source {
    std::uint64_t version_ = 0;
    bool local_ = false;
    core::TimePoint retry_at_;
  };
  struct Request {
    core::InstanceId id_;
    core::TimePoint since_;
  };

  [[nodiscard]] bool IsEligible(const Source& source, bool watches,
                                core::TimePoint now) const;

  core::InstanceId self_;
  RulesPeerSelectorSettings settings_;
  std::map<core::InstanceId, Source> sources_;
  AnnouncedVersions announced_;
  std::uint64_t version_ = 0;
  std::optional<Request> pending_;
};

}  // namespace chalkwell::config
