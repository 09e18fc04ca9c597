// Until when older weights may be used: a published version ends the use of all
// earlier ones a fixed time after this process received it, regardless of later
// publications.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/endpoint_table.hpp"

namespace chalkwell::rollout {

/// @brief Published versions of one model's weights and when each was received.
class VersionBound {
 public:
  /// @return false if the version is not newer than the newest known.
  bool OnVersionPublished(std::uint64_t version, core::TimePoint now);
  /// @brief Newest known version; 0 if none is known.
  [[nodiscard]] std::uint64_t newest() const noexcept {
    return published_.empty() ? 0 : published_.back().version_;
  }
  /// @brief Minimum version that a request may start on; 0 for any.
  /// @param use_limit the version bound: how long older versions may be used
  /// after this process received a newer one.
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

 private:
  struct PublishedVersion {
    std::uint64_t version_ = 0;
    core::TimePoint received_at_;
  };

  /// In ascending order of version; at most 64 (kMaxVersions).
  std::deque<PublishedVersion> published_;
};

}  // namespace chalkwell::rollout
