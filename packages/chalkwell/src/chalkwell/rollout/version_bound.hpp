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
  /// @param live whether it was heard of as it was named: a process that has
  /// just started finds a version that was named any time ago.
  /// @return false when the version is no newer than the newest known.
  bool OnNamed(std::uint64_t version, core::TimePoint now, bool live = true);
  /// @brief Newest version heard of; 0 for none.
  [[nodiscard]] std::uint64_t newest() const noexcept {
    return named_.empty() ? 0 : named_.back().version_;
  }
  /// @brief Least version that a request may begin on now; 0 for any.
  /// @param bound time after its naming from which a version is the least.
  [[nodiscard]] std::uint64_t Least(core::Duration bound,
                                    core::TimePoint now) const noexcept;
  /// @brief When a version may no longer be used; none while it is the newest.
  [[nodiscard]] std::optional<core::TimePoint> EndOf(
      std::uint64_t version, core::Duration bound) const noexcept;
  /// @brief The least version and the bound that comes next.
  /// @param calm_margin time before the bound from which an older version is
  /// used nowhere. It counts only for versions that were heard of as they were
  /// named.
  /// @param margin the same where a request may begin later than expected.
  [[nodiscard]] routing::VersionRule RuleAt(core::Duration bound,
                                            core::Duration calm_margin,
                                            core::Duration margin,
                                            core::TimePoint now) const noexcept;

 private:
  struct Named {
    std::uint64_t version_ = 0;
    core::TimePoint heard_at_;
    bool live_ = true;
  };

  /// Rising by version; at most kMaxNamed.
  std::deque<Named> named_;
};

}  // namespace chalkwell::rollout
