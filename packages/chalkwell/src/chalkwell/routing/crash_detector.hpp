// Distinguishes crashed endpoints from broken connections: attempts lost at
// an endpoint wait for evidence that its process has ended.
#pragma once

#include <chrono>
#include <cstdint>
#include <deque>
#include <string>
#include <vector>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/endpoint_incarnation.hpp"
#include "chalkwell/routing/request_digest.hpp"

namespace chalkwell::routing {

/// @brief What is to be done about a lost attempt.
enum class LossAction : std::uint8_t {
  /// The first loss there since the last probe: probe the endpoint's address.
  kProbe,
  /// A probe is under way.
  kWait,
  /// The endpoint is known to have crashed.
  kCrashed,
};

/// @brief An attempt whose connection broke.
struct LostAttempt {
  RequestDigest request_;
  /// How long it had been under way.
  core::Duration elapsed_{};
};

/// @brief An endpoint life at which attempts were lost.
struct SuspectedCrash {
  EndpointIncarnation endpoint_;
  /// "ip:port".
  std::string address_;
  /// When the first attempt was lost.
  core::TimePoint first_loss_at_;
  /// One for each request, in order of loss.
  std::vector<LostAttempt> attempts_;
};

/// @brief Settings of the evidence.
struct CrashDetectorSettings {
  /// How long a loss waits for evidence: an endpoint is back under a new
  /// incarnation, and in the published list, within some seconds.
  core::Duration confirmation_timeout_ = std::chrono::seconds(10);
  /// Endpoint lives remembered, lost or crashed; the oldest give way.
  std::size_t max_endpoints_ = 256;
  /// Requests remembered of one endpoint life.
  std::size_t max_requests_ = 64;
};

/// @brief Losses of one entry.
class CrashDetector {
 public:
  explicit CrashDetector(CrashDetectorSettings settings = {})
      : settings_(settings) {}

  /// @brief The connection of an attempt broke while it was under way.
  [[nodiscard]] LossAction OnLost(const LostAttempt& attempt,
                                  const EndpointIncarnation& endpoint,
                                  const std::string& address,
                                  core::TimePoint now);
  /// @brief The endpoint's process is known to have ended.
  /// @return what was lost there; no attempts when that was known already.
  [[nodiscard]] SuspectedCrash OnCrashed(const EndpointIncarnation& endpoint);
  /// @brief The endpoint answered, or did not: nothing follows yet.
  void OnInconclusive(const EndpointIncarnation& endpoint);
  /// @brief Losses that wait for evidence beyond that of a probe.
  [[nodiscard]] std::vector<SuspectedCrash> Unconfirmed(core::TimePoint now);
  /// @brief Whether a probe is to show if a request's last endpoint crashed.
  [[nodiscard]] bool ProbePending(const RequestDigest& request) const;

 private:
  enum class State : std::uint8_t { kProbing, kInconclusive, kCrashed };
  struct Loss {
    SuspectedCrash crash_;
    State state_ = State::kProbing;
  };

  [[nodiscard]] Loss* Find(const EndpointIncarnation& endpoint);
  void Expire(core::TimePoint now);

  CrashDetectorSettings settings_;
  /// In order of time.
  std::deque<Loss> losses_;
};

}  // namespace chalkwell::routing
