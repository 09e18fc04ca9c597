// Parsed published documents: instances, client accounts and routes.
#pragma once

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

#include "chalkwell/config/fwd.hpp"
#include "chalkwell/core/digest.hpp"
#include "chalkwell/core/identifier.hpp"

namespace chalkwell::config {

/// @brief What an instance is.
enum class InstanceKind : std::uint8_t { kEntry, kEndpoint };
/// @brief What an endpoint's back end is.
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
  /// Address of the peer listener, "ip:port".
  std::string peer_;
  /// The platform is about to take the instance away.
  bool leaving_ = false;
  /// The engine refuses orders with an old fencing number.
  bool checks_fencing_ = true;

  friend bool operator==(const Instance&, const Instance&) = default;
};

/// @brief A customer's account.
struct ClientAccount {
  core::ClientAccountId id_;
  /// Digest of the bearer key; the key itself is never published.
  core::Digest key_digest_;
  /// Share of capacity relative to other accounts; at least 1.
  std::uint64_t weight_ = 1;
};

/// @brief Where requests under a path prefix go.
struct Route {
  std::string prefix_;
  core::Role role_;
  /// Whether running a request twice does no harm.
  bool repeatable_ = false;
};

/// @throws core::Error that names the field and the fix.
[[nodiscard]] std::vector<Instance> ParseInstances(std::string_view text);
[[nodiscard]] std::vector<ClientAccount> ParseAccounts(std::string_view text);
[[nodiscard]] std::vector<Route> ParseRoutes(std::string_view text);

}  // namespace chalkwell::config
