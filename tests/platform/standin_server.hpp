// HTTP servers of the fakes, and the parts of their calls.
#pragma once

#include <cstdint>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "standins.hpp"

namespace chalkwell::standins {

/// @brief Starts a server on the loop of a thread.
/// @throws std::runtime_error if the address is not available.
[[nodiscard]] std::unique_ptr<daemon::Http1Server> StartServer(
    LoopThread& thread, daemon::HttpHandler handler,
    const daemon::Address& listen = kAnyPort);
/// @brief Loopback address of a server.
[[nodiscard]] std::string AddressOf(const daemon::Http1Server& server);

/// @brief Whether the query of a path is encoded as URLs are: no bytes but
/// visible ASCII, and two hexadecimal digits after each percent sign.
[[nodiscard]] bool IsEncoded(const std::string& path);
/// @brief Decodes a query parameter: percent escapes, and plus signs for
/// blanks. A fragment does not belong to the query.
/// @return empty if the path has no such parameter.
[[nodiscard]] std::string QueryParameter(const std::string& path,
                                         const std::string& name);
/// @throws std::invalid_argument if the text is neither empty nor a number.
[[nodiscard]] std::uint64_t NumberOr(const std::string& text,
                                     std::uint64_t fallback);
void RespondJson(const daemon::HttpExchangePtr& exchange,
                 const nlohmann::json& body);

}  // namespace chalkwell::standins
