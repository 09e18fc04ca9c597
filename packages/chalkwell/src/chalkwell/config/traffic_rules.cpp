// Index of the active rules.
#include "chalkwell/config/traffic_rules.hpp"

#include <algorithm>
#include <utility>

#include "chalkwell/core/digest.hpp"

namespace chalkwell::config {
namespace {

/// The host name without the port; used if no route names host and port.
std::string_view StripPort(std::string_view host) {
  return host.substr(0, host.rfind(':'));
}

std::string_view StripQuery(std::string_view target) {
  return target.substr(0, target.find_first_of("?#"));
}

}  // namespace

bool TrafficTable::Accept(TrafficRules rules) {
  if (rules.version_ <= rules_.version_) {
    return false;
  }
  rules_ = std::move(rules);
  by_host_.clear();
  by_key_.clear();
  by_account_.clear();
  by_service_.clear();
  known_services_.clear();
  for (const auto& route : rules_.routes_) {
    by_host_[route.host_].push_back(&route);
    for (const auto& share : route.services_) {
      known_services_.insert(share.service_);
    }
  }
  for (auto& [host, routes] : by_host_) {
    std::ranges::stable_sort(routes, std::greater{}, [](const auto* route) {
      return route->path_prefix_.size();
    });
  }
  if (rules_.accounts_) {
    for (const auto& account : *rules_.accounts_) {
      by_account_.emplace(account.id_, &account);
      for (const auto& key : account.keys_) {
        by_key_.emplace(key, &account);
      }
    }
  }
  for (const auto& service : rules_.services_) {
    by_service_.emplace(service.name_, &service);
    known_services_.insert(service.name_);
  }
  return true;
}

const TrafficRoute* TrafficTable::FindRoute(std::string_view host,
                                            std::string_view path) const {
  auto found = by_host_.find(std::string(host));
  if (found == by_host_.end()) {
    found = by_host_.find(std::string(StripPort(host)));
  }
  if (found == by_host_.end()) {
    return nullptr;
  }
  const auto path_only = StripQuery(path);
  const auto route = std::ranges::find_if(
      found->second, [path_only](const TrafficRoute* candidate) {
        return path_only.starts_with(candidate->path_prefix_);
      });
  return route == found->second.end() ? nullptr : *route;
}

const AccountKeys* TrafficTable::FindAccount(const std::string& key) const {
  const auto found = by_key_.find(key);
  return found == by_key_.end() ? nullptr : found->second;
}

const AccountKeys* TrafficTable::FindAccount(
    const core::ClientAccountId& id) const {
  const auto found = by_account_.find(id);
  return found == by_account_.end() ? nullptr : found->second;
}

const TrafficService* TrafficTable::FindService(const std::string& name) const {
  const auto found = by_service_.find(name);
  return found == by_service_.end() ? nullptr : found->second;
}

const std::string& TrafficTable::SelectService(const TrafficRoute& route,
                                               std::string_view request_id) {
  if (route.services_.size() == 1) {
    return route.services_.front().service_;
  }
  double total = 0;
  for (const auto& share : route.services_) {
    total += share.weight_;
  }
  // Deterministic in the request id and uniform over [0, 1).
  const auto fraction =
      static_cast<double>(core::RendezvousScore(request_id, route.name_) >>
                          11) /
      static_cast<double>(std::uint64_t{1} << 53);
  double remaining = fraction * total;
  for (const auto& share : route.services_) {
    remaining -= share.weight_;
    if (remaining < 0) {
      return share.service_;
    }
  }
  return route.services_.back().service_;
}

}  // namespace chalkwell::config
