// From whom a process takes newer rules that others have: from one at a time,
// and rather from its own failure domain.
#pragma once

#include <cstdint>
#include <map>
#include <optional>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"

namespace chalkwell::config {

/// @brief Settings of a catch-up.
struct RulesPeerSelectorSettings {
  /// A process that watches the rules itself gives its watch this long.
  core::Duration watch_grace_ = std::chrono::milliseconds(150);
  /// A process that does not watch waits so long for a neighbour to have what
  /// another failure domain told of: the neighbour's watch takes half a second
  /// for a megabyte, and all of a region share the link.
  core::Duration near_first_ = std::chrono::milliseconds(500);
  /// An ask without its answer for this long is given up.
  core::Duration answer_time_ = std::chrono::milliseconds(2000);
  /// One that failed is left out for this long.
  core::Duration rest_ = std::chrono::milliseconds(500);
  /// Behind for this long, whatever was tried: the publisher is asked. Well
  /// within the two seconds after which rules have to be in force.
  core::Duration patience_ = std::chrono::milliseconds(1300);
};

/// @brief Someone who has rules.
struct RulesSource {
  core::InstanceId id_;
  /// In the own failure domain.
  bool near_ = false;
};

/// @brief The choice of one process.
class RulesPeerSelector {
 public:
  explicit RulesPeerSelector(core::InstanceId self,
                             RulesPeerSelectorSettings settings = {});

  /// @brief Someone told which rules it has.
  void OnAnnounced(const RulesSource& source, std::uint64_t version,
                   core::TimePoint now);
  void OnPeerLost(const core::InstanceId& id) { sources_.erase(id); }
  /// @brief These rules are in force here now.
  void OnApplied(std::uint64_t version, core::TimePoint now);
  /// @brief The ask of a source ended.
  /// @param helped whether it brought newer rules.
  void OnFetchEnded(const core::InstanceId& id, bool helped,
                    core::TimePoint now);

  /// @brief Whom to ask now; it counts as asked from then on.
  /// @param watches whether this process takes the rules from the publisher.
  [[nodiscard]] std::optional<core::InstanceId> Next(bool watches,
                                                     core::TimePoint now);
  /// @brief Whether newer rules are known of for too long.
  [[nodiscard]] bool IsOverdue(core::TimePoint now) const;

 private:
  struct Source {
    std::uint64_t version_ = 0;
    bool near_ = false;
    core::TimePoint rests_until_;
  };
  struct Ask {
    core::InstanceId id_;
    core::TimePoint since_;
  };

  [[nodiscard]] bool Usable(const Source& source, bool watches,
                            core::TimePoint now) const;

  core::InstanceId self_;
  RulesPeerSelectorSettings settings_;
  std::map<core::InstanceId, Source> sources_;
  std::uint64_t version_ = 0;
  /// Newest that anyone told of.
  std::uint64_t newest_ = 0;
  /// Since when newer rules than the own are known of.
  std::optional<core::TimePoint> behind_since_;
  std::optional<Ask> asked_;
};

}  // namespace chalkwell::config
