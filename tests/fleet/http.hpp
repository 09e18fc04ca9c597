// Blocking HTTP calls for tests; not callable from several threads.
#pragma once

#include <nlohmann/json.hpp>
#include <string>

#include "daemon/http_client.hpp"

namespace chalkwell::fleet {

/// @brief Sends a request and waits for the complete response.
[[nodiscard]] daemon::HttpResponse Call(const std::string& address,
                                        const daemon::HttpRequest& request);
[[nodiscard]] daemon::HttpResponse Get(const std::string& address,
                                       const std::string& path);
daemon::HttpResponse Post(const std::string& address, const std::string& path,
                          const std::string& body,
                          const daemon::HttpHeaders& headers = {});
/// @brief Body of a GET as JSON; null if the call fails or the body is not
/// JSON.
[[nodiscard]] nlohmann::json GetJson(const std::string& address,
                                     const std::string& path);

}  // namespace chalkwell::fleet
