// Traffic rules that operators publish (routes, services, client accounts and
// limits) and the lookups that each request needs. Used in the deployment mode
// of daemon/direct; the other mode uses published_lists.hpp.
#pragma once

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <unordered_set>
#include <vector>

#include "chalkwell/config/fwd.hpp"
#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"

namespace chalkwell::config {

/// @brief Whether a request may be run more than once.
enum class Repeatability : std::uint8_t {
  /// Running it again has no further effect.
  kIdempotent,
  /// Must run at most once.
  kNonIdempotent,
};

/// @brief One of the services between which a route's requests are split.
struct ServiceShare {
  std::string service_;
  /// Relative to the other services of the route; greater than zero.
  double weight_ = 1;
};

/// @brief Maps a host and path prefix to services, with the limits of their
/// requests.
struct TrafficRoute {
  std::string name_;
  std::string host_;
  /// Begins and ends with a slash.
  std::string path_prefix_;
  Repeatability repeatability_ = Repeatability::kNonIdempotent;
  /// The response is a stream of numbered events.
  bool streaming_ = false;
  /// A broken stream may be resumed at another endpoint.
  bool resumable_ = false;
  /// Requires no API key.
  bool public_ = false;
  /// Limit of the time from the receipt of a request to the end of its
  /// response.
  core::Duration timeout_{};
  /// Target for the time to first byte, counted from the caller's first
  /// attempt.
  core::Duration target_latency_{};
  /// Longest gap between events with which a stream meets its target; zero if
  /// not set.
  core::Duration target_gap_{};
  /// 0 is the highest priority.
  std::uint32_t priority_ = 0;
  /// Maximum number of attempts of a request, including the first.
  std::uint32_t max_attempts_ = 1;
  /// Never empty.
  std::vector<ServiceShare> services_;
  /// Regions in which its requests may be processed; empty for all.
  std::vector<core::RegionId> allowed_regions_;

  /// @brief Whether a request may be retried after an attempt that may have
  /// run.
  [[nodiscard]] bool may_retry() const noexcept {
    return repeatability_ == Repeatability::kIdempotent ||
           (streaming_ && resumable_);
  }
};

/// @brief Performance model of an engine that batches continuously.
struct EngineProfile {
  std::string model_;
  /// Maximum number of requests in a batch.
  std::uint32_t slots_ = 1;
  /// Base time of a decode step, which generates one token for each running
  /// request.
  core::Duration step_time_{};
  /// Added to a decode step for each running request.
  core::Duration step_time_per_request_{};
  /// Added to a decode step for each 1,000 tokens of context of all running
  /// requests.
  core::Duration step_time_per_kilotoken_{};
  /// Prompt tokens that prefill processes per second.
  double prefill_tokens_per_second_ = 1;
  /// A pass of the engine is a prefill followed by this many decode steps.
  std::uint32_t steps_per_pass_ = 1;
  /// Mean numbers of tokens of a prompt and of an output.
  double mean_prompt_tokens_ = 0;
  double mean_output_tokens_ = 0;
  /// Number of chunks of the model's weights; 0 if not set.
  std::uint32_t weight_chunks_ = 0;
};

/// @brief Rate of requests that an endpoint of a service bears after a start.
struct SlowStart {
  /// Time from its start until the endpoint bears its full rate.
  core::Duration duration_{};
  /// Requests per second from all callers together; 0 for no limit.
  double requests_per_second_ = 0;

  [[nodiscard]] bool limited() const noexcept {
    return duration_ > core::Duration{} && requests_per_second_ > 0;
  }
};

/// @brief A service that requests are routed to, or an origin of weights.
struct TrafficService {
  std::string name_;
  /// Maximum number of connections of all callers to one endpoint; 0 if not
  /// set.
  std::uint32_t max_connections_ = 0;
  /// Path of the endpoints' health check.
  std::string health_path_;
  /// Set for model engines only.
  std::optional<EngineProfile> engine_;
  /// Set for origins of weights only: "ip:port".
  std::string origin_;
  /// Empty if not published.
  core::FailureDomainId domain_;
  SlowStart slow_start_;
};

/// @brief A client account and its bearer keys.
struct AccountKeys {
  core::ClientAccountId id_;
  std::vector<std::string> keys_;
  /// Overrides the priority of the route.
  std::optional<std::uint32_t> priority_;
  /// Regions in which its requests may be processed; empty for all. The regions
  /// of the route apply as well.
  std::vector<core::RegionId> allowed_regions_;
};

/// @brief Size and time limits of incoming requests.
struct CallerLimits {
  std::size_t header_bytes_ = std::size_t{16} << 10;
  std::size_t body_bytes_ = std::size_t{1} << 20;
  /// Time limit from the first byte of a request to the end of its body.
  core::Duration request_read_timeout_ = std::chrono::seconds(5);
  /// A connection without a request for this long is closed.
  core::Duration idle_timeout_ = std::chrono::seconds(30);
};

/// @brief All rules of one version.
struct TrafficRules {
  /// Increases with each change, not necessarily by one.
  std::uint64_t version_ = 0;
  std::vector<TrafficRoute> routes_;
  std::vector<TrafficService> services_;
  /// If not set, no request requires a key.
  std::optional<std::vector<AccountKeys>> accounts_;
  CallerLimits limits_;
};

/// @brief Index of the active rules. All rules are replaced at once, never by
/// an older version.
class TrafficTable {
 public:
  /// @return false if the rules are not newer than the active ones.
  bool Accept(TrafficRules rules);

  [[nodiscard]] bool empty() const noexcept { return rules_.version_ == 0; }
  [[nodiscard]] const TrafficRules& rules() const noexcept { return rules_; }

  /// @brief The route with the longest matching path prefix, or null.
  [[nodiscard]] const TrafficRoute* FindRoute(std::string_view host,
                                              std::string_view path) const;
  /// @brief The account of a key, or null.
  [[nodiscard]] const AccountKeys* FindAccount(const std::string& key) const;
  /// @brief The account with an id, or null.
  [[nodiscard]] const AccountKeys* FindAccount(
      const core::ClientAccountId& id) const;
  /// @brief Whether the rules list a service or reference it in a route.
  [[nodiscard]] bool HasService(const std::string& service) const {
    return known_services_.contains(service);
  }
  [[nodiscard]] const TrafficService* FindService(
      const std::string& name) const;
  /// @brief Selects a service for a request of a route by the weights of the
  /// shares. The choice for a request is stable while the shares do not change.
  [[nodiscard]] static const std::string& SelectService(
      const TrafficRoute& route, std::string_view request_id);

 private:
  TrafficRules rules_;
  /// By host; longest path prefix first.
  std::unordered_map<std::string, std::vector<const TrafficRoute*>> by_host_;
  std::unordered_map<std::string, const AccountKeys*> by_key_;
  std::unordered_map<core::ClientAccountId, const AccountKeys*> by_account_;
  std::unordered_map<std::string, const TrafficService*> by_service_;
  /// Services that are listed or referenced by routes.
  std::unordered_set<std::string> known_services_;
};

}  // namespace chalkwell::config
