// Versions of a document that other processes announced and that are not active
// in this process yet. The age of the oldest one is how far this process lags
// behind; applying a version that is itself outdated does not reset it.
#pragma once

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"

namespace chalkwell::config {

/// @brief A version that a process announced.
struct AnnouncedVersion {
  std::uint64_t version_ = 0;
  /// When it was first announced.
  core::TimePoint announced_at_;
  /// The process that announced it first.
  core::InstanceId source_;
};

/// @brief The announced versions above the active one.
class AnnouncedVersions {
 public:
  /// Versions that are remembered; the two newest are merged beyond it.
  static constexpr std::size_t kMaxVersions = 64;

  /// @brief A process announced a version.
  void OnAnnounced(std::uint64_t version, const core::InstanceId& source,
                   core::TimePoint now);
  /// @brief A version is now active in this process.
  void OnApplied(std::uint64_t version);

  /// @brief Whether no newer version than the active one is known.
  [[nodiscard]] bool empty() const noexcept { return pending_.empty(); }
  /// @brief The version that was announced first among those above the active
  /// one; none if there are none.
  [[nodiscard]] std::optional<AnnouncedVersion> Oldest() const;
  /// @brief The newest version; none if there is none above the active one.
  [[nodiscard]] std::optional<AnnouncedVersion> Newest() const;
  /// @brief The newest version that was announced at or before a time; 0 for
  /// none.
  [[nodiscard]] std::uint64_t NewestAt(core::TimePoint time) const;
  /// @brief Time since the first announcement above the active version; zero if
  /// there is none.
  [[nodiscard]] core::Duration LagAt(core::TimePoint now) const;

 private:
  std::uint64_t applied_ = 0;
  /// Keys are above `applied_`.
  std::map<std::uint64_t, AnnouncedVersion> pending_;
};

}  // namespace chalkwell::config
