// Delta encoding of texts: copied ranges of a base and new text. Used for large
// documents, of which successive versions differ in a few rows.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chalkwell::config {

/// @brief A range of the base, followed by new text; either may be empty.
struct DeltaPart {
  std::uint64_t offset_ = 0;
  std::uint64_t length_ = 0;
  std::string text_;
};

/// @brief Encodes a text as a delta against a base.
/// @return parts that, in order, yield `target`.
[[nodiscard]] std::vector<DeltaPart> MakeDelta(std::string_view base,
                                               std::string_view target);

/// @brief Reconstructs the text that a delta encodes.
/// @return no value when a range lies outside the base, or when the text would
/// be longer than `max_bytes`.
[[nodiscard]] std::optional<std::string> ApplyDelta(
    std::string_view base, const std::vector<DeltaPart>& delta,
    std::size_t max_bytes);

}  // namespace chalkwell::config
