// Requests that arrive at an endpoint, counted from the first one on.
#pragma once

#include <atomic>
#include <catch2/catch.hpp>
#include <string>

#include "deployment.hpp"

namespace chalkwell::platform_tests {

/// Requests that are sent after the first response of interest; far more than
/// it takes until each of two equal endpoints is chosen.
inline constexpr int kLaterRequests = 40;

/// @brief Counts the requests that arrive at an endpoint.
class ArrivalCount {
 public:
  explicit ArrivalCount(EndpointStandin& endpoint) {
    endpoint.OnArrival([this](const std::string&) { ++count_; });
  }
  [[nodiscard]] int count() const { return count_; }

 private:
  std::atomic<int> count_{0};
};

/// @brief Sends requests to an entry until the endpoint has responded to one.
inline void SendUntilArrival(const Node& entry, const std::string& path,
                             const ArrivalCount& arrivals) {
  REQUIRE(Eventually([&] {
    (void)SendRequest(entry, RequestText(path));
    return arrivals.count() > 0;
  }));
}

}  // namespace chalkwell::platform_tests
