// Entries share the rate limit of an endpoint without messages about each
// request: only a few entries send to it, each with a part of the rate. With
// all entries as senders, a first request of each would exceed the limit in a
// large deployment.
#pragma once

#include <chrono>
#include <cstddef>
#include <map>
#include <optional>
#include <vector>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"

namespace chalkwell::routing {

/// @brief An entry and the failure domain that it is in.
struct EntryLocation {
  core::InstanceId id_;
  core::FailureDomainId domain_;
};

/// @brief A rate-limited endpoint.
struct RateLimitedEndpoint {
  core::InstanceId id_;
  core::FailureDomainId domain_;
  /// Requests per second from all entries together.
  double requests_per_second_ = 0;
};

/// @brief Mean interval of requests from all entries together. Very low limits
/// still allow a request at times, so that the end of the limit is noticed.
[[nodiscard]] core::Duration MeanRequestInterval(double requests_per_second);

/// @brief Part of a rate limit that one entry uses: at most `requests_` in any
/// window of this length.
struct RateLimitShare {
  std::size_t requests_ = 1;
  core::Duration window_{};
  /// Nothing is sent before: an earlier incarnation of this process may have
  /// used the share just before it ended.
  core::TimePoint not_before_;
};

/// @brief Largest number of requests of a share.
inline constexpr std::size_t kMaxShareRequests = 32;

/// @brief How long an entry that is not known to be live counts as a sender. It
/// may be alive beyond a partition, or return within seconds under the same id.
inline constexpr core::Duration kMissingEntryRetention =
    std::chrono::seconds(60);

/// @brief Requests that all senders together may send at once. In t seconds
/// they send at most this many beyond t times the limit.
[[nodiscard]] double BurstOf(double requests_per_second);

/// @brief Number of entries that send to an endpoint.
/// @param entries entries that can be senders, at least 1.
[[nodiscard]] std::size_t SenderCount(double requests_per_second,
                                      std::size_t entries);

/// @brief Determines, at one entry, whether it sends to an endpoint and how
/// much. Entries that know the same members agree on the senders.
class RateLimitSenders {
 public:
  explicit RateLimitSenders(EntryLocation self);

  /// @brief Sets the other live entries: all of the local failure domain, and
  /// at least one of each remote one that has any. Entries that are no longer
  /// among them keep their shares for kMissingEntryRetention.
  /// @param complete false while this entry may not know all of them; it is no
  /// sender until then.
  void SetEntries(const std::vector<EntryLocation>& others, bool complete,
                  core::TimePoint now);

  /// @brief Share of this entry in the limit of an endpoint; none if only other
  /// entries send to it. The senders are entries of the endpoint's failure
  /// domain, or of another one if that has no entries.
  [[nodiscard]] std::optional<RateLimitShare> ShareOf(
      const RateLimitedEndpoint& endpoint) const;

 private:
  /// @brief Failure domain whose entries send to the endpoint.
  [[nodiscard]] core::FailureDomainId SenderDomain(
      const RateLimitedEndpoint& endpoint) const;

  struct KnownEntry {
    core::FailureDomainId domain_;
    core::TimePoint last_seen_;
  };

  EntryLocation self_;
  bool complete_ = true;
  /// When the entries were first set; none before.
  std::optional<core::TimePoint> started_at_;
  /// Other entries, live or missing for at most kMissingEntryRetention.
  std::map<core::InstanceId, KnownEntry> known_;
  /// Entries of the local failure domain, including this one.
  std::vector<core::InstanceId> local_;
  /// Failure domains with entries, each once.
  std::vector<core::FailureDomainId> domains_;
};

}  // namespace chalkwell::routing
