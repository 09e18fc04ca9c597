// Deflated bytes, for large messages between the system's processes.
#pragma once

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

namespace chalkwell::daemon {

/// @throws core::Error when memory is short.
[[nodiscard]] std::string Deflate(std::string_view bytes);

/// @param size of the bytes before they were deflated; bounded by the caller.
/// @return nothing when they do not inflate to just this size.
[[nodiscard]] std::optional<std::string> Inflate(std::string_view deflated,
                                                 std::size_t size);

}  // namespace chalkwell::daemon
