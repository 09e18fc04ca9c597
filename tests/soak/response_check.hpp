// Checks the guarantee that a request which an entry has read ends with a
// complete response, unless its endpoint or its deadline ended it.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <string>

namespace chalkwell::soak {

using TimePoint = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/// @brief Guaranteed bounds for requests without a complete response.
struct ResponseBounds {
  /// Allowed for each entry.
  std::size_t max_incomplete_ = 3;
  /// From the end of a disturbance of an entry until it is checked again.
  milliseconds recovery_{4000};
  /// A request that is not forwarded to an endpoint may cross the closing of
  /// its connection.
  milliseconds crossing_close_{200};
};

/// @brief Counts responses that are cut off, and requests without any response.
class ResponseCheck {
 public:
  explicit ResponseCheck(ResponseBounds bounds = {}) : bounds_(bounds) {}

  /// @brief A request is sent to an entry.
  /// @param timeout from now on its end by the entry is allowed.
  void OnSent(const std::string& request, const std::string& entry,
              milliseconds timeout, TimePoint now);
  /// @brief A request arrived at an endpoint.
  void OnArrival(const std::string& endpoint, const std::string& request,
                 TimePoint now);
  /// @brief A disturbance of an entry starts or ends; the empty name stands for
  /// the store.
  void OnDisturbed(const std::string& entry, TimePoint now);
  /// @brief Responses of an endpoint may break off until then.
  void OnBreaks(const std::string& endpoint, TimePoint until);
  /// @brief The connection of a request ended without a complete response.
  /// @param started whether a part of the response arrived.
  /// @return how long after it was sent, if it is one too many of its entry.
  [[nodiscard]] std::optional<milliseconds> OnIncomplete(
      const std::string& request, bool started, TimePoint now);
  /// @brief A request ended, with any result.
  void OnEnded(const std::string& request) { pending_.erase(request); }

  /// @brief Number of responses that were cut off, for any reason.
  [[nodiscard]] std::size_t cut() const noexcept { return cut_; }
  /// @brief Number of requests that were sent and got no response, for any
  /// reason.
  [[nodiscard]] std::size_t unanswered() const noexcept { return unanswered_; }
  /// @brief Number of both that count against the guarantee, by entry.
  [[nodiscard]] const std::map<std::string, std::size_t>& counted() const {
    return counted_;
  }

 private:
  struct Request {
    std::string entry_;
    TimePoint sent_at_;
    TimePoint timeout_at_;
    /// Arrival by endpoint.
    std::map<std::string, TimePoint> arrivals_;
  };

  [[nodiscard]] bool IsUndisturbed(const Request& request) const;
  [[nodiscard]] bool IsBrokenByEndpoint(const Request& request) const;

  ResponseBounds bounds_;
  /// By attempt id.
  std::map<std::string, Request> pending_;
  std::map<std::string, TimePoint> disturbed_at_;
  std::map<std::string, TimePoint> breaks_until_;
  std::size_t cut_ = 0;
  std::size_t unanswered_ = 0;
  std::map<std::string, std::size_t> counted_;
};

}  // namespace chalkwell::soak
