// Fake of a plain service whose requests may be executed only once: it records
// each execution.
#pragma once

#include <cstdint>
#include <map>
#include <string>

#include "daemon/http_server.hpp"

namespace chalkwell::standins {

/// Prefix of the log line of each execution; the request id follows.
inline constexpr const char* kExecutedPrefix = "executed ";

/// @brief Settings of the fake.
struct ServiceSettings {
  daemon::Address address_;
  /// From the execution to the response.
  core::Duration time_ = std::chrono::milliseconds(10);
};

/// @brief Serves any path; /control/record lists the executions.
class Service {
 public:
  Service(daemon::Loop& loop, const ServiceSettings& settings);

 private:
  void OnRequest(const daemon::HttpExchangePtr& exchange);

  daemon::Loop& loop_;
  ServiceSettings settings_;
  /// Number of executions by request id.
  std::map<std::string, std::uint64_t> executed_;
  daemon::HttpServer server_;
};

}  // namespace chalkwell::standins
