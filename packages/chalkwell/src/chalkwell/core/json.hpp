// Checked access to JSON documents; each error names the field and the rule
// that it violates.
#pragma once

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

namespace chalkwell::core::internal {

/// @throws core::Error always, with the field and the rule that it violates.
[[noreturn]] void ThrowFieldError(const std::string& field,
                                  const std::string& rule);
/// @param document_kind names the document in errors.
/// @throws core::Error unless the text is a single JSON object.
[[nodiscard]] nlohmann::json ParseObject(std::string_view text,
                                         const std::string& document_kind);
/// @throws core::Error if the field is absent, not a string or empty.
[[nodiscard]] std::string RequireString(const nlohmann::json& object,
                                        const std::string& field);
/// @throws core::Error if the field is absent or not an unsigned integer.
[[nodiscard]] std::uint64_t RequireUnsigned(const nlohmann::json& object,
                                            const std::string& field);
/// @throws core::Error if the field is absent or not an array.
[[nodiscard]] const nlohmann::json& RequireArray(const nlohmann::json& object,
                                                 const std::string& field);
/// @return the flag, or `fallback` if the field is absent.
/// @throws core::Error if the field is not a boolean.
[[nodiscard]] bool OptionalFlag(const nlohmann::json& object,
                                const std::string& field, bool fallback);

}  // namespace chalkwell::core::internal
