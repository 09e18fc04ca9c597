// Senders are selected by the same scores as the subsets of endpoints, so that
// the endpoint is in the subset of nearly all of its senders.
#include "chalkwell/routing/rate_limit_senders.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>
#include <utility>

#include "chalkwell/core/digest.hpp"
#include "chalkwell/core/milliseconds.hpp"
#include "chalkwell/routing/endpoint_subset.hpp"

namespace chalkwell::routing {
namespace {

constexpr double kMinRequestsPerSecond = 0.1;
/// Burst in addition to the requests of a second: enough for several senders,
/// so that the endpoint gets its requests while one of them fails or has no
/// callers.
constexpr double kMinBurst = 3;
constexpr double kMsPerSecond = 1000;

}  // namespace

core::Duration MeanRequestInterval(double requests_per_second) {
  return core::FromMs(kMsPerSecond /
                      std::max(requests_per_second, kMinRequestsPerSecond));
}

double BurstOf(double requests_per_second) {
  return kMinBurst + std::floor(requests_per_second);
}

std::size_t SenderCount(double requests_per_second, std::size_t entries) {
  const auto burst = BurstOf(requests_per_second);
  return burst < static_cast<double>(entries) ? static_cast<std::size_t>(burst)
                                              : entries;
}

RateLimitSenders::RateLimitSenders(EntryLocation self)
    : self_(std::move(self)), local_{self_.id_}, domains_{self_.domain_} {}

void RateLimitSenders::SetEntries(const std::vector<EntryLocation>& others,
                                  bool complete, core::TimePoint now) {
  complete_ = complete;
  started_at_ = started_at_.value_or(now);
  for (const auto& entry : others) {
    known_[entry.id_] = {entry.domain_, now};
  }
  std::erase_if(known_, [now](const auto& entry) {
    return now - entry.second.last_seen_ > kMissingEntryRetention;
  });
  local_ = {self_.id_};
  domains_ = {self_.domain_};
  for (const auto& [id, entry] : known_) {
    if (entry.domain_ == self_.domain_) {
      local_.push_back(id);
    } else if (std::ranges::find(domains_, entry.domain_) == domains_.end()) {
      domains_.push_back(entry.domain_);
    }
  }
}

core::FailureDomainId RateLimitSenders::SenderDomain(
    const RateLimitedEndpoint& endpoint) const {
  if (std::ranges::find(domains_, endpoint.domain_) != domains_.end()) {
    return endpoint.domain_;
  }
  return *std::ranges::max_element(
      domains_, {}, [&endpoint](const core::FailureDomainId& domain) {
        return core::RendezvousScore(endpoint.id_.value(), domain.value());
      });
}

std::optional<RateLimitShare> RateLimitSenders::ShareOf(
    const RateLimitedEndpoint& endpoint) const {
  if (!complete_ || !started_at_ || SenderDomain(endpoint) != self_.domain_) {
    return std::nullopt;
  }
  const auto senders =
      SenderCount(endpoint.requests_per_second_, local_.size());
  const auto own_score = SubsetScore(self_.id_, endpoint.id_);
  const auto rank =
      std::ranges::count_if(local_, [&](const core::InstanceId& entry) {
        return SubsetScore(entry, endpoint.id_) > own_score;
      });
  if (static_cast<std::size_t>(rank) >= senders) {
    return std::nullopt;
  }
  const auto requests = std::min(
      BurstOf(endpoint.requests_per_second_) / static_cast<double>(senders),
      static_cast<double>(kMaxShareRequests));
  RateLimitShare share;
  share.requests_ = static_cast<std::size_t>(requests);
  share.window_ = MeanRequestInterval(endpoint.requests_per_second_) *
                  static_cast<std::int64_t>(senders * share.requests_);
  share.not_before_ = *started_at_ + share.window_;
  return share;
}

}  // namespace chalkwell::routing
