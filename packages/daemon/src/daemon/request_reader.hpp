// Reading of callers' requests: who asks, for which role, until when; or why
// it is refused, with the field and the fix.
#pragma once

#include <optional>
#include <string>
#include <variant>

#include "chalkwell/core/event.hpp"
#include "daemon/config_node.hpp"
#include "daemon/http_server.hpp"
#include "daemon/request_runner.hpp"
#include "daemon/settings.hpp"

namespace chalkwell::daemon {

/// @brief A caller fetches an execution ticket first.
struct TicketRequest {
  core::Role role_;
};

/// @brief A request that is not run.
struct Rejection {
  int status_ = 400;
  core::EventNumber event_ = core::EventNumber::kBadRequest;
  std::string detail_;
};

using ReadResult = std::variant<AdmittedRequest, TicketRequest, Rejection>;

/// @brief Reads requests against the configuration in force.
class RequestReader {
 public:
  RequestReader(const ConfigNode& config, const Settings& settings);

  /// @param id of the request, given or minted.
  [[nodiscard]] ReadResult Read(const HttpRequest& http, const std::string& id,
                                core::TimePoint now) const;
  /// @brief The id a caller gave.
  /// @return nothing when none was given.
  /// @throws core::Error when it is malformed.
  [[nodiscard]] static std::optional<std::string> GivenId(
      const HttpRequest& http);

 private:
  [[nodiscard]] const config::ClientAccount* FindAccount(
      const HttpRequest& http) const;
  [[nodiscard]] const config::Route* FindRoute(std::string_view path) const;
  /// @throws core::Error for a malformed header.
  [[nodiscard]] core::TimePoint Deadline(const HttpRequest& http,
                                         core::TimePoint now) const;

  const ConfigNode& config_;
  core::Duration default_deadline_;
  core::Duration max_deadline_;
  core::Duration retry_after_;
  routing::AttemptNumber max_attempts_;
};

}  // namespace chalkwell::daemon
