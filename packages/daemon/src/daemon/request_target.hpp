// Targets of requests that this process makes itself, built from texts of any
// content: names and keys that others have chosen.
#pragma once

#include <initializer_list>
#include <string>
#include <string_view>

namespace chalkwell::daemon {

/// @brief A parameter of a query, not encoded.
struct QueryParameter {
  std::string_view name_;
  std::string_view value_;
};

/// @brief Builds the target of a request and percent-encodes its parts.
/// @param segments of the path, not encoded; a slash within one is encoded.
[[nodiscard]] std::string BuildTarget(
    std::initializer_list<std::string_view> segments,
    std::initializer_list<QueryParameter> query = {});

/// @brief Whether a target can be part of a request line: it begins with a
/// slash and holds neither blanks nor control characters.
[[nodiscard]] bool IsSendableTarget(std::string_view target) noexcept;

}  // namespace chalkwell::daemon
