// Checks the guarantee on endpoints that state in their responses that they are
// draining: an entry that forwarded such a response sends them no request later
// than the drain bound.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

namespace chalkwell::soak {

using TimePoint = std::chrono::steady_clock::time_point;
using std::chrono::milliseconds;

/// @brief Follows which entry knows of which statement.
class StatedLeavingCheck {
 public:
  /// @param bound from the response that an entry forwarded to the last request
  /// that it may send.
  explicit StatedLeavingCheck(milliseconds bound) : bound_(bound) {}

  /// @brief From now on all responses of an endpoint state that it leaves.
  void OnStated(const std::string& endpoint) { leaving_.insert(endpoint); }
  /// @brief The endpoint's next incarnation starts.
  void OnListed(const std::string& endpoint);
  /// @brief An entry was restarted or paused, so that it may have forgotten.
  void OnDisturbed(const std::string& entry);
  /// @brief A request arrived at an endpoint.
  /// @return how long after the entry's first forwarded statement it arrived,
  /// if that is too late.
  [[nodiscard]] std::optional<milliseconds> OnArrival(
      const std::string& endpoint, const std::string& request,
      const std::string& entry, TimePoint now);
  /// @brief A caller got the complete response to a request.
  void OnResponse(const std::string& request, TimePoint now);
  /// @brief Number of statements that entries forwarded, the first one of each
  /// endpoint and entry.
  [[nodiscard]] std::size_t forwarded() const noexcept { return forwarded_; }

 private:
  struct Attempt {
    std::string endpoint_;
    std::string entry_;
  };

  milliseconds bound_;
  std::set<std::string> leaving_;
  /// First forwarded statement, by endpoint and entry.
  std::map<std::string, std::map<std::string, TimePoint>> forwarded_at_;
  /// Last attempt of each request that arrived at a leaving endpoint, by
  /// request id.
  std::map<std::string, Attempt> attempts_;
  std::size_t forwarded_ = 0;
};

}  // namespace chalkwell::soak
