// What turns one text into another: runs of the first, and new text. Versions
// of large documents differ in a few rows.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace chalkwell::config {

/// @brief A run of the base, followed by new text; either may be empty.
struct DeltaPart {
  std::uint64_t offset_ = 0;
  std::uint64_t length_ = 0;
  std::string text_;
};

/// @brief Finds what of a text stands in a base already.
/// @return parts that, in order, make up `target`.
[[nodiscard]] std::vector<DeltaPart> MakeDelta(std::string_view base,
                                               std::string_view target);

/// @brief Makes the text that a delta describes.
/// @return nothing when a run lies outside the base, or the text would be
/// longer than `longest`.
[[nodiscard]] std::optional<std::string> ApplyDelta(
    std::string_view base, const std::vector<DeltaPart>& delta,
    std::size_t longest);

}  // namespace chalkwell::config
