// Position in the history of the configuration store, which may return from an
// older copy of its data: its revisions then go back and are given out again.
#pragma once

#include <compare>
#include <cstdint>

namespace chalkwell::core {

/// @brief Revision of the store, ordered by era first.
struct StoreRevision {
  /// No revision; lower than all others.
  constexpr StoreRevision() = default;
  constexpr explicit StoreRevision(std::uint64_t era,
                                   std::uint64_t number) noexcept
      : era_(era), number_(number) {}

  /// Number of times that the store has returned from an older copy; 0 if it
  /// does not state it.
  std::uint64_t era_ = 0;
  /// Rises with each change within an era; 0 for none.
  std::uint64_t number_ = 0;

  /// @brief Whether it is the revision of a list or row, not "none".
  [[nodiscard]] constexpr bool known() const noexcept { return number_ > 0; }

  friend constexpr auto operator<=>(const StoreRevision&,
                                    const StoreRevision&) = default;
};

}  // namespace chalkwell::core
