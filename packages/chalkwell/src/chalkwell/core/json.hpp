// Shared checks for JSON documents: each failure names the field and the fix.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace chalkwell::core::internal {

/// @throws core::Error always, with the field and what it must be.
[[noreturn]] void ThrowFieldError(const std::string& field,
                                  const std::string& fix);
/// @throws core::Error unless the text is one JSON object.
[[nodiscard]] nlohmann::json ParseObject(std::string_view text,
                                         const std::string& what);
[[nodiscard]] std::string RequireString(const nlohmann::json& object,
                                        const std::string& field);
[[nodiscard]] std::uint64_t RequireUnsigned(const nlohmann::json& object,
                                            const std::string& field);
[[nodiscard]] const nlohmann::json& RequireArray(const nlohmann::json& object,
                                                 const std::string& field);
/// @brief A flag that may be left out.
[[nodiscard]] bool OptionalFlag(const nlohmann::json& object,
                                const std::string& field, bool fallback);

}  // namespace chalkwell::core::internal
