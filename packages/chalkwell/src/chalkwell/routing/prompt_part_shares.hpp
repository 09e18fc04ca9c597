// How large a share of the requests that an entry sends to a service holds each
// prompt part. A part that nearly all of them hold is in flight at any endpoint
// that crashes, whatever the cause.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/fwd.hpp"
#include "chalkwell/routing/request_digest.hpp"

namespace chalkwell::routing {

/// @brief Settings of PromptPartShares.
struct PromptPartShareSettings {
  /// Minimum time for which a request is counted.
  core::Duration window_ = std::chrono::seconds(10);
  /// Share of a service's requests from which a part is widespread.
  double widespread_share_ = 0.9;
  /// With fewer requests counted, no part is widespread.
  std::size_t min_requests_ = 20;
  /// Parts counted per window and service; further ones are not.
  std::size_t max_parts_ = 1024;
};

/// @brief Counts requests by service and prompt part.
class PromptPartShares {
 public:
  explicit PromptPartShares(PromptPartShareSettings settings = {})
      : settings_(settings) {}

  /// @brief A request to a service was admitted.
  void OnAdmitted(std::string_view service, const RequestIdentity& request,
                  core::TimePoint now);
  /// @brief Whether nearly all recent requests to the service held the part.
  [[nodiscard]] bool IsWidespread(std::string_view service,
                                  const RequestDigest& part,
                                  core::TimePoint now) const;

 private:
  struct Window {
    core::TimePoint started_at_;
    std::size_t requests_ = 0;
    /// Requests by part; at most `max_parts_` parts.
    std::map<RequestDigest, std::size_t> parts_;
  };
  struct Windows {
    Window current_;
    /// Ended when the current one started, or empty.
    Window previous_;
  };

  void Advance(Windows& windows, core::TimePoint now) const;

  PromptPartShareSettings settings_;
  std::map<std::string, Windows, std::less<>> services_;
};

}  // namespace chalkwell::routing
