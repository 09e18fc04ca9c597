// Published lists of instances, client accounts and routes, and their parsers.
// In the deployment mode of daemon/direct, entries send requests to the
// endpoints' own addresses instead of over a stream to an agent; it uses
// TrafficRules and an endpoint list.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chalkwell/config/fwd.hpp"
#include "chalkwell/core/digest.hpp"
#include "chalkwell/core/identifier.hpp"

namespace chalkwell::config {

/// @brief Kind of process that an instance runs. An entry accepts requests of
/// callers and forwards them to endpoints.
enum class InstanceKind : std::uint8_t { kEntry, kEndpoint };
/// @brief Kind of backend to which an endpoint forwards requests.
enum class BackendKind : std::uint8_t { kEngine, kService };

/// @brief One row of the published instance list.
struct Instance {
  core::InstanceId id_;
  InstanceKind kind_ = InstanceKind::kEndpoint;
  core::FailureDomainId domain_;
  /// Endpoints only.
  core::Role role_;
  /// Endpoints only.
  BackendKind backend_ = BackendKind::kEngine;
  /// Address at which this instance accepts connections of peers, "ip:port".
  std::string peer_address_;
  /// The instance is draining: the platform is about to terminate it.
  bool leaving_ = false;
  /// The engine refuses activation orders with a stale fencing number.
  bool checks_fencing_ = true;

  friend bool operator==(const Instance&, const Instance&) = default;
};

/// @brief A client account.
struct ClientAccount {
  core::ClientAccountId id_;
  /// Digest of the bearer key. The key itself is never published.
  core::Digest key_digest_;
  /// Weight in the fair sharing of capacity between accounts; at least 1.
  std::uint64_t weight_ = 1;
};

/// @brief Maps a path prefix to the role that serves its requests.
struct Route {
  std::string prefix_;
  core::Role role_;
  /// Whether requests are idempotent.
  bool repeatable_ = false;
};

/// @throws core::Error with the invalid field and the expected value.
[[nodiscard]] std::vector<Instance> ParseInstances(std::string_view text);
[[nodiscard]] std::vector<ClientAccount> ParseAccounts(std::string_view text);
[[nodiscard]] std::vector<Route> ParseRoutes(std::string_view text);

}  // namespace chalkwell::config
