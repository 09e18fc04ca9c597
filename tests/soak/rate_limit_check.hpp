// Checks the guarantee on rate limits that endpoints state in their responses:
// a limit applies to the requests of all entries together.
#pragma once

#include <chrono>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>

namespace chalkwell::soak {

using TimePoint = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/// @brief Guaranteed bounds for stated rate limits.
struct RateLimitBounds {
  /// From the first statement until the limit must be kept.
  milliseconds effective_{3000};
  /// From the response that an entry forwarded until it must know of the limit.
  milliseconds known_{500};
  /// Interval over which requests are counted.
  milliseconds window_{4000};
  /// Allowed in the interval: this many times what the limit gives, and
  /// `allowance_` requests.
  double factor_ = 1.5;
  double allowance_ = 5;
};

/// @brief Counts the requests that arrive at endpoints with a rate limit.
class RateLimitCheck {
 public:
  explicit RateLimitCheck(RateLimitBounds bounds = {}) : bounds_(bounds) {}

  /// @brief From now on an endpoint states this limit.
  /// @param per_second 0 if it states none any more.
  void OnStated(const std::string& endpoint, double per_second, TimePoint now);
  /// @brief A request arrived at an endpoint.
  /// @param excused whether the entry need not keep limits now.
  /// @return how long after the first statement it arrived, if it exceeds the
  /// limit.
  [[nodiscard]] std::optional<milliseconds> OnArrival(
      const std::string& endpoint, const std::string& request,
      const std::string& entry, bool excused, TimePoint now);
  /// @brief A caller got the complete response to a request.
  void OnResponse(const std::string& request, TimePoint now);
  /// @brief Number of requests that arrived while a limit had to be kept.
  [[nodiscard]] std::uint64_t checked() const noexcept { return checked_; }

 private:
  struct Limit {
    double per_second_ = 0;
    TimePoint stated_at_;
    /// When each entry forwarded its first response with the limit.
    std::map<std::string, TimePoint> forwarded_at_;
    /// Arrivals of the last `RateLimitBounds::window_` from entries that must
    /// know of the limit, in order.
    std::deque<TimePoint> arrivals_;
  };
  struct Attempt {
    std::string endpoint_;
    std::string entry_;
  };

  [[nodiscard]] bool MustKnow(const Limit& limit, const std::string& entry,
                              TimePoint now) const;

  RateLimitBounds bounds_;
  /// By endpoint id.
  std::map<std::string, Limit> limits_;
  /// Last attempt of each request that arrived at an endpoint with a limit, by
  /// request id.
  std::map<std::string, Attempt> attempts_;
  std::uint64_t checked_ = 0;
};

}  // namespace chalkwell::soak
