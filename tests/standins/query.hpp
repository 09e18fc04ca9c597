// Parsing of query strings for the fakes.
#pragma once

#include <cstdint>
#include <map>
#include <string>

namespace chalkwell::standins {

/// @brief Returns the name=value pairs after the '?' of a path.
[[nodiscard]] std::map<std::string, std::string> ParseQuery(
    const std::string& path);
/// @brief Returns a number of a query; 0 if it is missing or empty.
/// @throws std::invalid_argument if it is not a number.
[[nodiscard]] std::uint64_t NumberOf(
    const std::map<std::string, std::string>& query, const std::string& name);

}  // namespace chalkwell::standins
