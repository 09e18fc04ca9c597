// Rate limits that endpoints state in their responses. A limit applies to the
// requests of all entries together, for as long as the endpoint states it: a
// later response without one lifts it.
#pragma once

#include <chrono>
#include <cstdint>
#include <map>
#include <optional>
#include <string_view>
#include <vector>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"
#include "chalkwell/routing/endpoint_incarnation.hpp"

namespace chalkwell::routing {

/// @brief What an incarnation of an endpoint stated in a response.
struct RateLimitStatement {
  EndpointIncarnation endpoint_;
  /// Requests per second from all entries together; none for no limit.
  std::optional<double> requests_per_second_;
  /// When the response arrived at the entry that received it.
  core::TimePoint stated_at_;
};

/// @brief Effect of a statement on the known limits.
enum class RateLimitChange : std::uint8_t {
  kNone,
  /// The known limit or one close to it was stated again, or its end.
  kConfirmed,
  /// A limit was stated where none was known, or a clearly different one.
  kLimited,
  /// A known limit no longer applies.
  kLifted,
};

[[nodiscard]] std::string_view ToString(RateLimitChange change) noexcept;

/// @brief A limit that expired because it was not stated again.
struct ExpiredRateLimit {
  double requests_per_second_ = 0;
  core::TimePoint expired_at_;
};

/// @brief The newest statements of endpoints, as known to one entry.
class EndpointRateLimits {
 public:
  /// Longest time over which the entries begin to send to an endpoint whose
  /// limit expired.
  static constexpr auto kMaxReturnTime = std::chrono::seconds(120);

  /// @brief Applies what a response to a request of this entry stated.
  /// @param sent_at when the request was sent. A response without a limit lifts
  /// only one that was stated before: responses on different connections may
  /// overtake each other.
  RateLimitChange OnResponse(const RateLimitStatement& statement,
                             core::TimePoint sent_at);
  /// @brief Applies a statement that another entry received, unless a newer one
  /// is known.
  RateLimitChange Merge(const RateLimitStatement& statement);
  /// @brief Selects statements to send to another entry; successive calls
  /// return all of them in turn.
  [[nodiscard]] std::vector<RateLimitStatement> Sample(std::size_t limit);

  /// @brief Limit of an incarnation; none if it has none.
  [[nodiscard]] std::optional<double> RateOf(
      const EndpointIncarnation& endpoint, core::TimePoint now) const;
  /// @brief Limit of an incarnation that expired within kMaxReturnTime; none if
  /// it applies or was lifted.
  [[nodiscard]] std::optional<ExpiredRateLimit> ExpiredLimitOf(
      const EndpointIncarnation& endpoint, core::TimePoint now) const;
  /// @brief Number of endpoints with a limit.
  [[nodiscard]] std::size_t LimitedCount(core::TimePoint now) const;
  /// @brief Forgets statements that expired before kMaxReturnTime.
  void Expire(core::TimePoint now);

 private:
  RateLimitChange Store(const RateLimitStatement& statement);

  /// By id of the endpoint; at most kMaxStatements.
  std::map<core::InstanceId, RateLimitStatement> statements_;
  /// Endpoint of the last statement that Sample() returned.
  core::InstanceId last_sampled_;
};

}  // namespace chalkwell::routing
