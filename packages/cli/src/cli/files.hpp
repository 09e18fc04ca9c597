// Reading and writing of whole files.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace chalkwell::cli {

/// @brief Reads the content of a regular file.
/// @throws core::Error if the file cannot be read or is not a regular file.
[[nodiscard]] std::string ReadFile(const std::string& path);
/// @brief Writes a file atomically: writes a temporary file and renames it.
/// @param mode permission bits, such as 0600.
/// @throws core::Error if the file cannot be written.
void WriteFile(const std::string& path, std::string_view content,
               std::uint32_t mode);

}  // namespace chalkwell::cli
