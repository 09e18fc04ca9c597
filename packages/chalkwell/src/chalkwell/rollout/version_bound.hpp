// Until when older weights may be used: a published version ends the use of all
// earlier ones a fixed time after its publication, regardless of later ones and
// of when a process learns of it.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>
#include <vector>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/endpoint_table.hpp"

namespace chalkwell::rollout {

/// @brief A version and when it was published, as far as known.
struct PublishedVersion {
  std::uint64_t version_ = 0;
  core::TimePoint published_at_;
};

/// @brief Effect of what became known of a version.
enum class VersionChange : std::uint8_t {
  kNone,
  /// An older version than the newest, or an earlier time of a known one.
  kCorrected,
  /// The version is newer than all known ones.
  kNewer,
};

/// @brief Published versions of one model's weights.
class VersionBound {
 public:
  /// @brief A version was published, or is known to have been published
  /// earlier.
  /// @param at when it was received here or, if that was clearly earlier, by
  /// another process.
  VersionChange OnVersionPublished(std::uint64_t version, core::TimePoint at);
  /// @brief Newest known version; 0 if none is known.
  [[nodiscard]] std::uint64_t newest() const noexcept {
    return published_.empty() ? 0 : published_.back().version_;
  }
  /// @brief Minimum version that a request may start on; 0 for any.
  /// @param use_limit the version bound: how long older versions may be used
  /// after the publication of a newer one.
  [[nodiscard]] std::uint64_t MinVersion(core::Duration use_limit,
                                         core::TimePoint now) const noexcept;
  /// @brief When a version may no longer be used; empty if no newer one is
  /// known.
  [[nodiscard]] std::optional<core::TimePoint> ExpiryOf(
      std::uint64_t version, core::Duration use_limit) const noexcept;
  /// @brief The minimum version now, and the next one with its time.
  /// @param margin how much earlier than `use_limit` this process stops
  /// starting requests on older versions.
  [[nodiscard]] routing::VersionConstraint ConstraintAt(
      core::Duration use_limit, core::Duration margin,
      core::TimePoint now) const noexcept;
  /// @brief The minimum version now, if any, and all newer ones: what another
  /// process needs to know to use the same versions.
  [[nodiscard]] std::vector<PublishedVersion> Limiting(
      core::Duration use_limit, core::TimePoint now) const;

 private:
  /// @brief A version is published no later than the next one.
  void OrderTimes() noexcept;

  /// In ascending order of version and of time; at most 64 (kMaxVersions).
  std::deque<PublishedVersion> published_;
};

}  // namespace chalkwell::rollout
