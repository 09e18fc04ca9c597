// Checks what callers, endpoints and the store observed against the guarantees
// for departing endpoints, for requests that crash endpoints and for rate
// limits that endpoints state. All times are of the steady clock of the soak
// process.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <mutex>
#include <string>
#include <vector>

#include "soak/rate_limit_check.hpp"
#include "soak/response_check.hpp"
#include "soak/retry_after_check.hpp"
#include "soak/retry_budget_check.hpp"
#include "soak/rules_check.hpp"
#include "soak/stated_leaving_check.hpp"

namespace chalkwell::soak {

/// @brief Prefix of the names of requests that crash endpoints; body and id of
/// such a request contain its name.
inline const std::string kCrashMark = "crash-";

/// @brief Prefix of the names of probes of the rules; the version follows.
inline const std::string kProbeMark = "probe-";

/// @brief Guaranteed bounds that are checked.
struct Bounds {
  /// From the store's acknowledgement that an endpoint is draining or removed
  /// to the last request that may arrive there.
  milliseconds drain_{3000};
  /// From the end of a disturbance until the guarantees apply again.
  milliseconds recovery_{4000};
  /// From the store's acknowledgement of rules until they are in force.
  milliseconds rules_{3000};
  /// From the response to a caller to the last arrival of its request at an
  /// endpoint.
  milliseconds late_arrival_{500};
  /// Crashes after which a request must be quarantined.
  std::size_t quarantine_crashes_ = 3;
  /// Arrivals of a quarantined request that are allowed, from undisturbed
  /// entries, once `recovery_` has passed since the last of these crashes.
  std::size_t max_attempts_after_quarantine_ = 3;
  RetryBudgetBounds retries_;
};

/// Kind of a finding: a request that crashes no endpoint was refused as
/// quarantined.
constexpr const char* kWronglyQuarantined = "quarantined without a crash";

/// @brief A violated guarantee.
struct Finding {
  std::string kind_;
  /// Empty if no endpoint is concerned.
  std::string endpoint_;
  std::string request_;
  /// Time since the acknowledgement, the response or the crash that the
  /// guarantee counts from.
  milliseconds delay_{};
};

/// @brief A run that crashed its endpoint.
struct CrashRecord {
  TimePoint at_;
  /// Arrival of the request at the endpoint.
  TimePoint arrived_at_;
  std::string entry_;
  /// Whether neither its entry nor the store was disturbed at the arrival.
  bool undisturbed_ = false;
};

/// @brief Sample of durations.
class DurationSample {
 public:
  void Add(milliseconds time) { durations_.push_back(time); }
  [[nodiscard]] std::size_t count() const noexcept { return durations_.size(); }
  /// @param share 0 to 1.
  /// @return 0 for an empty sample.
  [[nodiscard]] milliseconds Quantile(double share) const;

 private:
  std::vector<milliseconds> durations_;
};

/// @brief Collects observations and checks them as they arrive; callable from
/// any thread.
///
/// Guarantees are not checked for an entry that was disturbed within
/// `Bounds::recovery_`, nor while the store was.
class Checker {
 public:
  explicit Checker(Bounds bounds)
      : bounds_(bounds),
        stated_leaving_(bounds.drain_),
        rules_(bounds.rules_),
        retries_(bounds.retries_),
        incomplete_({.recovery_ = bounds.recovery_}) {}

  /// @brief The store acknowledged that an endpoint is draining or that its row
  /// is removed.
  void OnDepartureAcknowledged(const std::string& endpoint);
  /// @brief An endpoint is listed as ready, again or for the first time.
  void OnListed(const std::string& endpoint);
  /// @brief A disturbance of an entry starts or ends now; the empty name stands
  /// for the store.
  void OnDisturbed(const std::string& entry);
  /// @brief Responses of an endpoint, or of the next one at its address, may
  /// break off from now on for so long.
  void OnBreaks(const std::string& endpoint, milliseconds duration);
  /// @brief The path to an endpoint is held until `OnPathReleased`.
  void OnPathHeld(const std::string& endpoint);
  void OnPathReleased(const std::string& endpoint);
  /// @brief From now on an endpoint states this rate limit.
  /// @param per_second 0 if it states none any more.
  void OnRateLimit(const std::string& endpoint, double per_second);
  /// @brief From now on all responses of an endpoint state that it leaves.
  void OnStatesLeaving(const std::string& endpoint);
  /// @brief From now on an endpoint refuses all requests for so long each; zero
  /// if it accepts them again.
  void OnRefusing(const std::string& endpoint, milliseconds time);
  /// @brief The store acknowledged a version of the rules.
  void OnRulesAcknowledged(unsigned version);
  /// @return the newest version of the rules that must be in force; 0 for none.
  [[nodiscard]] unsigned DueRules() const;
  /// @brief A caller sends a request, which may time out after `timeout`.
  void OnSent(const std::string& request, milliseconds timeout);
  /// @brief The connection of a request ended without a complete response.
  /// @param started whether a part of the response arrived.
  void OnIncomplete(const std::string& request, bool started);
  /// @brief A request arrived at an endpoint.
  /// @param request "ENTRY/NUMBER", its attempt id.
  void OnArrival(const std::string& endpoint, const std::string& service,
                 const std::string& request);
  /// @brief A request crashed an endpoint.
  /// @param request "ENTRY/NAME/NUMBER", where NAME begins with kCrashMark.
  void OnCrash(const std::string& request);
  /// @brief A caller got a successful stream that was not broken off.
  /// @param end_stated whether the entry stated that it was complete; else it
  /// ended with its connection.
  void OnStream(const std::string& request, const std::string& body,
                bool end_stated);
  /// @brief The attempt of a caller ended.
  /// @param status 0 if no complete response arrived.
  void OnResponse(const std::string& request, int status,
                  const std::string& body);

  [[nodiscard]] std::vector<Finding> findings() const;
  /// @brief Number of responses by status, 0 for none.
  [[nodiscard]] std::map<int, std::uint64_t> responses() const;
  [[nodiscard]] std::uint64_t arrivals() const;
  /// @brief Number of streams that ended with their connection.
  [[nodiscard]] std::uint64_t unframed_streams() const;
  /// @brief How long after a departure was acknowledged requests of undisturbed
  /// entries still arrived.
  [[nodiscard]] DurationSample arrivals_after_departure() const;
  /// @brief Crashes by name of the crashing request, in order.
  [[nodiscard]] std::map<std::string, std::vector<CrashRecord>> crashes() const;
  /// @brief Number of other requests refused while a crashing one was on trial.
  [[nodiscard]] std::uint64_t refused_as_suspected() const;
  /// @brief Number of requests that arrived while a rate limit had to be kept.
  [[nodiscard]] std::uint64_t rate_limited_arrivals() const;
  /// @brief Number of endpoints, by each entry, of which it forwarded the
  /// statement that they leave.
  [[nodiscard]] std::size_t forwarded_departures() const;
  /// @brief Number of refusals whose time had to be kept.
  [[nodiscard]] std::size_t refusals() const;
  /// @brief Number of probes of the rules that were checked.
  [[nodiscard]] std::size_t rules_probes() const;
  /// @brief State of the check of retries.
  [[nodiscard]] RetryBudgetCheck retries() const;
  /// @brief State of the check of incomplete responses.
  [[nodiscard]] ResponseCheck incomplete() const;

 private:
  [[nodiscard]] bool IsUndisturbed(const std::string& entry,
                                   TimePoint now) const;
  [[nodiscard]] bool IsPathHeld(const std::string& endpoint,
                                TimePoint now) const;
  void CheckDeparted(const std::string& endpoint, const std::string& request,
                     TimePoint now);
  void CheckLateArrival(const std::string& endpoint, const std::string& request,
                        TimePoint now);
  void CheckCrashing(const std::string& endpoint, const std::string& request,
                     TimePoint now);
  void CheckRateLimit(const std::string& endpoint, const std::string& request,
                      TimePoint now);
  void CheckRetryAfter(const std::string& endpoint, const std::string& request,
                       TimePoint now);
  void CheckRetries(const std::string& endpoint, const std::string& service,
                    const std::string& request, TimePoint now);
  void CheckProbe(const std::string& request, int status, TimePoint now);
  void CheckStatedLeaving(const std::string& endpoint,
                          const std::string& request, TimePoint now);

  Bounds bounds_;
  mutable std::mutex mutex_;
  std::map<std::string, TimePoint> departed_at_;
  std::map<std::string, TimePoint> disturbed_at_;
  /// TimePoint::max() while the path is held.
  std::map<std::string, TimePoint> path_held_until_;
  std::map<std::string, TimePoint> responded_at_;
  std::map<int, std::uint64_t> responses_;
  std::uint64_t arrivals_ = 0;
  DurationSample arrivals_after_departure_;
  std::map<std::string, std::vector<CrashRecord>> crashes_;
  /// Last arrival of each attempt of a crashing request, by attempt id.
  std::map<std::string, CrashRecord> crashing_arrivals_;
  /// Arrivals, by name of the crashing request, that count against
  /// `Bounds::max_attempts_after_quarantine_`.
  std::map<std::string, std::size_t> attempts_after_quarantine_;
  RateLimitCheck rate_limits_;
  StatedLeavingCheck stated_leaving_;
  RetryAfterCheck retry_after_;
  RulesCheck rules_;
  RetryBudgetCheck retries_;
  ResponseCheck incomplete_;
  std::uint64_t refused_as_suspected_ = 0;
  std::uint64_t unframed_streams_ = 0;
  std::vector<Finding> findings_;
};

}  // namespace chalkwell::soak
