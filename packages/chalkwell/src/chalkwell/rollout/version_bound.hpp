// Until when older weights may be used: each version that is named ends those
// before it after its own time, whatever is named later.
#pragma once

#include <cstdint>
#include <deque>
#include <optional>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/endpoint_table.hpp"

namespace chalkwell::rollout {

/// @brief Versions of one model's weights with the times they were heard of.
class VersionBound {
 public:
  /// @return false when the version is no newer than the newest known.
  bool OnVersionPublished(std::uint64_t version, core::TimePoint now);
  /// @brief Newest version heard of; 0 for none.
  [[nodiscard]] std::uint64_t newest() const noexcept {
    return named_.empty() ? 0 : named_.back().version_;
  }
  /// @brief Least version that a request may begin on now; 0 for any.
  /// @param bound time after its naming from which a version is the least.
  [[nodiscard]] std::uint64_t MinVersion(core::Duration bound,
                                         core::TimePoint now) const noexcept;
  /// @brief When a version may no longer be used; none while it is the newest.
  [[nodiscard]] std::optional<core::TimePoint> ExpiryOf(
      std::uint64_t version, core::Duration bound) const noexcept;
  /// @brief The least version and the bound that comes next.
  /// @param margin time before the bound from which an older version is used
  /// nowhere.
  [[nodiscard]] routing::VersionConstraint ConstraintAt(
      core::Duration bound, core::Duration margin,
      core::TimePoint now) const noexcept;

 private:
  struct Named {
    std::uint64_t version_ = 0;
    core::TimePoint heard_at_;
  };

  /// Rising by version; at most kMaxNamed.
  std::deque<Named> named_;
};

}  // namespace chalkwell::rollout
