// What an operator allows to be served: routes, services, client accounts and
// limits, and the look-ups that each request needs.
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

/// @brief What running a request again would do.
enum class Repeatability : std::uint8_t {
  /// Running twice does no harm.
  kIdempotent,
  /// Must run at most once.
  kNonIdempotent,
};

/// @brief One of the services that share a route's requests.
struct ServiceShare {
  std::string service_;
  /// Relative to the others of the route; more than zero.
  double weight_ = 1;
};

/// @brief Where requests of one host and path prefix go, and how.
struct TrafficRoute {
  std::string name_;
  std::string host_;
  /// Begins and ends with a slash.
  std::string path_prefix_;
  Repeatability repeatability_ = Repeatability::kNonIdempotent;
  /// The answer is a stream of numbered events.
  bool streaming_ = false;
  /// A broken stream may go on at another endpoint.
  bool resumable_ = false;
  /// Needs no key.
  bool public_ = false;
  core::Duration timeout_{};
  /// Time within which an answer is worth most to its caller.
  core::Duration target_latency_{};
  /// Longest pause between events within which a stream is in time; zero when
  /// not given.
  core::Duration target_gap_{};
  /// 0 is the most urgent.
  std::uint32_t priority_ = 0;
  std::uint32_t max_attempts_ = 1;
  /// Never empty.
  std::vector<ServiceShare> services_;

  /// @brief Whether another attempt may follow one that may have run.
  [[nodiscard]] bool repeatable() const noexcept {
    return repeatability_ == Repeatability::kIdempotent ||
           (streaming_ && resumable_);
  }
};

/// @brief How an engine turns tokens into time.
struct EngineProfile {
  std::string model_;
  /// Requests run at once.
  std::uint32_t slots_ = 1;
  /// One token for all requests that run.
  core::Duration step_time_{};
  /// Added to a step for each request that runs.
  core::Duration step_time_per_request_{};
  /// Added to a step for each 1,000 tokens of context of all requests.
  core::Duration step_time_per_kilotoken_{};
  /// Prompt tokens read a second.
  double prefill_tokens_per_second_ = 1;
  /// Token steps played between two readings.
  std::uint32_t steps_per_pass_ = 1;
  /// Mean tokens of a prompt and of an answer.
  double mean_prompt_tokens_ = 0;
  double mean_output_tokens_ = 0;
  /// Pieces of its weights; 0 when not given.
  std::uint32_t weight_chunks_ = 0;
};

/// @brief A service that requests are routed to, or a source of weights.
struct TrafficService {
  std::string name_;
  /// Connections one endpoint takes from all callers; 0 when not given.
  std::uint32_t max_connections_ = 0;
  /// Where an endpoint answers whether it is well.
  std::string health_path_;
  /// Model engines only.
  std::optional<EngineProfile> engine_;
  /// Sources of weights only: "ip:port".
  std::string origin_;
  core::FailureDomainId domain_;
};

/// @brief A customer's account and its bearer keys.
struct AccountKeys {
  core::ClientAccountId id_;
  std::vector<std::string> keys_;
  /// Takes precedence over a route's.
  std::optional<std::uint32_t> priority_;
};

/// @brief Bounds on what callers send.
struct CallerLimits {
  std::size_t header_bytes_ = std::size_t{16} << 10;
  std::size_t body_bytes_ = std::size_t{1} << 20;
  core::Duration header_time_ = std::chrono::seconds(5);
  core::Duration idle_time_ = std::chrono::seconds(30);
};

/// @brief One version of all rules.
struct TrafficRules {
  /// Rises with each change, in uneven steps.
  std::uint64_t version_ = 0;
  std::vector<TrafficRoute> routes_;
  std::vector<TrafficService> services_;
  /// Without accounts no request needs a key.
  std::optional<std::vector<AccountKeys>> accounts_;
  CallerLimits limits_;
};

/// @brief Rules in force, indexed; replaced as a whole and never by an older
/// version.
class TrafficTable {
 public:
  /// @return false when the rules are no newer than those in force.
  bool Accept(TrafficRules rules);

  [[nodiscard]] bool empty() const noexcept { return rules_.version_ == 0; }
  [[nodiscard]] const TrafficRules& rules() const noexcept { return rules_; }

  /// @brief The route with the longest prefix of the path; null without one.
  [[nodiscard]] const TrafficRoute* FindRoute(std::string_view host,
                                              std::string_view path) const;
  /// @brief Null when no account holds the key.
  [[nodiscard]] const AccountKeys* FindAccount(const std::string& key) const;
  /// @brief Whether the rules name a service, as such or in a route.
  [[nodiscard]] bool HasService(const std::string& service) const {
    return named_.contains(service);
  }
  [[nodiscard]] const TrafficService* FindService(
      const std::string& name) const;
  /// @brief The service that takes one request of a route: the same for the
  /// same request as long as the shares stay.
  [[nodiscard]] static const std::string& SelectService(
      const TrafficRoute& route, std::string_view request);

 private:
  TrafficRules rules_;
  /// By host; longest prefix first.
  std::unordered_map<std::string, std::vector<const TrafficRoute*>> by_host_;
  std::unordered_map<std::string, const AccountKeys*> by_key_;
  std::unordered_map<std::string, const TrafficService*> by_service_;
  /// Services that are listed or that routes send to.
  std::unordered_set<std::string> named_;
};

}  // namespace chalkwell::config
