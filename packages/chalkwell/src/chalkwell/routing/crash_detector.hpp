// Distinguishes crashed endpoints from broken connections. Attempts that an
// entry (the process that takes callers' requests and routes them) lost at an
// endpoint are held until its process is confirmed to have terminated.
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

/// @brief What follows from a lost attempt.
enum class LossAction : std::uint8_t {
  /// First loss at this endpoint since its last probe: probe its address.
  kProbe,
  /// A probe of the endpoint is in flight: wait for its result.
  kWait,
  /// The endpoint is known to have crashed: attribute the crash to the request
  /// without a probe.
  kCrashed,
  /// The request was sent after the endpoint had crashed and is not its cause.
  kIgnore,
};

/// @brief An attempt that may have run and ended without a complete response,
/// as when its connection broke.
struct LostAttempt {
  RequestIdentity request_;
  /// Time from sending it to its end.
  core::Duration elapsed_{};
  /// Service that the request was sent to.
  std::string service_;
};

/// @brief An endpoint incarnation at which attempts were lost.
struct SuspectedCrash {
  EndpointIncarnation endpoint_;
  /// "ip:port".
  std::string address_;
  /// When the first attempt was lost.
  core::TimePoint first_loss_at_;
  /// One per request, in order of loss.
  std::vector<LostAttempt> attempts_;
};

/// @brief Settings of CrashDetector.
struct CrashDetectorSettings {
  /// Time from the first loss at an incarnation until its record is removed,
  /// whether the crash is confirmed or not; it can be confirmed only within
  /// this time. A restarted endpoint is in the published list with its new
  /// incarnation within a few seconds.
  core::Duration record_retention_ = std::chrono::seconds(10);
  /// Endpoint incarnations held, crashed or suspected; the first added is
  /// evicted.
  std::size_t max_endpoints_ = 256;
  /// Requests held per endpoint incarnation.
  std::size_t max_requests_ = 64;
  /// A crash breaks all connections of an endpoint within this time.
  core::Duration max_break_spread_ = std::chrono::milliseconds(100);
};

/// @brief Decides which lost attempts of one entry were lost to a crash.
class CrashDetector {
 public:
  explicit CrashDetector(CrashDetectorSettings settings = {})
      : settings_(settings) {}

  /// @brief The connection of an attempt broke while it was in flight.
  ///
  /// After an inconclusive probe, an attempt that was sent after the first loss
  /// does not replace the earlier ones: something else may accept connections
  /// for the terminated process. See also OnAnswered().
  [[nodiscard]] LossAction OnLost(const LostAttempt& attempt,
                                  const EndpointIncarnation& endpoint,
                                  const std::string& address,
                                  core::TimePoint now);
  /// @brief The endpoint's process is known to have terminated.
  /// @return the attempts lost there; none if the crash was known already or no
  /// loss is held.
  [[nodiscard]] SuspectedCrash OnCrashed(const EndpointIncarnation& endpoint);
  /// @brief The endpoint itself responded to a request: the losses held there
  /// were no crash, unless a probe is in flight.
  void OnAnswered(const EndpointIncarnation& endpoint);
  /// @brief The probe showed neither a crash nor its absence.
  void OnInconclusive(const EndpointIncarnation& endpoint);
  /// @brief Losses whose probe was inconclusive, to be checked against the
  /// published list.
  [[nodiscard]] std::vector<SuspectedCrash> Unconfirmed(core::TimePoint now);
  /// @brief Whether a probe of any endpoint at which a request of this content
  /// was lost is in flight.
  [[nodiscard]] bool ProbePending(const RequestDigest& content) const;

 private:
  enum class State : std::uint8_t { kProbing, kInconclusive, kCrashed };
  struct Record {
    SuspectedCrash crash_;
    State state_ = State::kProbing;
  };

  [[nodiscard]] Record* Find(const EndpointIncarnation& endpoint);
  /// @brief An attempt was lost at an endpoint whose earlier losses are held
  /// after an inconclusive probe.
  [[nodiscard]] LossAction OnLostAgain(Record& record,
                                       const LostAttempt& attempt,
                                       core::TimePoint now);
  void AddAttempt(Record& record, const LostAttempt& attempt);
  void Expire(core::TimePoint now);

  CrashDetectorSettings settings_;
  /// In order of insertion. A record whose endpoint is probed again after an
  /// inconclusive probe keeps its position.
  std::deque<Record> records_;
};

}  // namespace chalkwell::routing
