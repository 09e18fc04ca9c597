// Decodes the published lists from JSON.
#include "chalkwell/config/published_lists.hpp"

#include <set>

#include "chalkwell/core/error.hpp"
#include "chalkwell/core/json.hpp"

namespace chalkwell::config {
namespace {

using core::internal::OptionalFlag;
using core::internal::ParseObject;
using core::internal::RequireArray;
using core::internal::RequireString;
using core::internal::RequireUnsigned;
using core::internal::ThrowFieldError;
using nlohmann::json;

InstanceKind ParseKind(const std::string& text) {
  if (text == "entry") {
    return InstanceKind::kEntry;
  }
  if (text == "endpoint") {
    return InstanceKind::kEndpoint;
  }
  ThrowFieldError("instances.kind", "must be \"entry\" or \"endpoint\"");
}

BackendKind ParseBackend(const std::string& text) {
  if (text == "engine") {
    return BackendKind::kEngine;
  }
  if (text == "service") {
    return BackendKind::kService;
  }
  ThrowFieldError("instances.backend", "must be \"engine\" or \"service\"");
}

Instance ParseInstance(const json& entry) {
  Instance instance;
  instance.id_ = core::InstanceId(RequireString(entry, "id"));
  instance.kind_ = ParseKind(RequireString(entry, "kind"));
  instance.domain_ = core::FailureDomainId(RequireString(entry, "domain"));
  instance.peer_address_ = RequireString(entry, "peer");
  instance.leaving_ = OptionalFlag(entry, "leaving", false);
  instance.checks_fencing_ = OptionalFlag(entry, "checks_fencing", true);
  if (instance.kind_ == InstanceKind::kEndpoint) {
    instance.role_ = core::Role(RequireString(entry, "role"));
    instance.backend_ = ParseBackend(RequireString(entry, "backend"));
  }
  return instance;
}

}  // namespace

std::vector<Instance> ParseInstances(std::string_view text) {
  const json root = ParseObject(text, "instances");
  std::vector<Instance> instances;
  std::set<core::InstanceId> ids;
  for (const auto& entry : RequireArray(root, "instances")) {
    instances.push_back(ParseInstance(entry));
    const auto& id = instances.back().id_;
    if (!ids.insert(id).second) {
      ThrowFieldError("instances.id", "contains " + id.value() + " twice");
    }
  }
  return instances;
}

std::vector<ClientAccount> ParseAccounts(std::string_view text) {
  const json root = ParseObject(text, "accounts");
  std::vector<ClientAccount> accounts;
  for (const auto& entry : RequireArray(root, "accounts")) {
    ClientAccount account;
    account.id_ = core::ClientAccountId(RequireString(entry, "id"));
    const auto digest =
        core::Digest::FromHex(RequireString(entry, "key_digest"));
    if (!digest) {
      ThrowFieldError("accounts.key_digest", "must be 64 hexadecimal digits");
    }
    account.key_digest_ = *digest;
    account.weight_ = RequireUnsigned(entry, "weight");
    if (account.weight_ == 0) {
      ThrowFieldError("accounts.weight", "must be at least 1");
    }
    accounts.push_back(std::move(account));
  }
  return accounts;
}

std::vector<Route> ParseRoutes(std::string_view text) {
  const json root = ParseObject(text, "routes");
  std::vector<Route> routes;
  for (const auto& entry : RequireArray(root, "routes")) {
    Route route;
    route.prefix_ = RequireString(entry, "prefix");
    if (route.prefix_.front() != '/') {
      ThrowFieldError("routes.prefix", "must start with '/'");
    }
    route.role_ = core::Role(RequireString(entry, "role"));
    route.repeatable_ = OptionalFlag(entry, "repeatable", false);
    routes.push_back(std::move(route));
  }
  return routes;
}

}  // namespace chalkwell::config
