// A statement expires, because an endpoint that gets no requests can't lift its
// limit.
#include "chalkwell/routing/endpoint_rate_limits.hpp"

#include <algorithm>
#include <chrono>
#include <cmath>

#include "chalkwell/core/milliseconds.hpp"

namespace chalkwell::routing {
namespace {

constexpr std::size_t kMaxStatements = 512;
/// A limit expires when it was not stated again for this long, and not before
/// its endpoint could have received kMinExpiryRequests.
constexpr auto kMinExpiry = std::chrono::seconds(10);
constexpr double kMinExpiryRequests = 4;
constexpr auto kMaxExpiry = std::chrono::seconds(40);

/// Relative difference up to which two limits are close to each other. Entries
/// announce larger ones only: an endpoint may state another limit in every
/// response.
constexpr double kCloseLimits = 0.1;

bool AreClose(const std::optional<double>& left,
              const std::optional<double>& right) {
  return left && right ? std::abs(*left - *right) <=
                             kCloseLimits * std::max(*left, *right)
                       : left.has_value() == right.has_value();
}

core::Duration ExpiryOf(const RateLimitStatement& statement) {
  // A lifted limit is remembered for as long as an older statement of it may
  // still arrive from another entry.
  if (!statement.requests_per_second_) {
    return kMaxExpiry;
  }
  const std::chrono::duration<double> requests(kMinExpiryRequests /
                                               *statement.requests_per_second_);
  return requests >= kMaxExpiry
             ? core::Duration(kMaxExpiry)
             : std::max<core::Duration>(
                   kMinExpiry,
                   std::chrono::duration_cast<core::Duration>(requests));
}

bool IsExpired(const RateLimitStatement& statement, core::TimePoint now) {
  return now - statement.stated_at_ >= ExpiryOf(statement);
}

}  // namespace

std::string_view ToString(RateLimitChange change) noexcept {
  switch (change) {
    case RateLimitChange::kNone:
      return "none";
    case RateLimitChange::kConfirmed:
      return "confirmed";
    case RateLimitChange::kLimited:
      return "limited";
    case RateLimitChange::kLifted:
      return "lifted";
  }
  return "";
}

RateLimitChange EndpointRateLimits::OnResponse(
    const RateLimitStatement& statement, core::TimePoint sent_at) {
  if (statement.requests_per_second_) {
    return Store(statement);
  }
  const auto known = statements_.find(statement.endpoint_.id_);
  const bool lifts = known != statements_.end() &&
                     known->second.requests_per_second_ &&
                     sent_at > known->second.stated_at_;
  return lifts ? Store(statement) : RateLimitChange::kNone;
}

RateLimitChange EndpointRateLimits::Merge(const RateLimitStatement& statement) {
  const auto known = statements_.find(statement.endpoint_.id_);
  if (known != statements_.end() &&
      known->second.stated_at_ >= statement.stated_at_) {
    return RateLimitChange::kNone;
  }
  return Store(statement);
}

std::vector<RateLimitStatement> EndpointRateLimits::Sample(std::size_t limit) {
  std::vector<RateLimitStatement> sample;
  auto next = statements_.upper_bound(last_sampled_);
  while (sample.size() < std::min(limit, statements_.size())) {
    if (next == statements_.end()) {
      next = statements_.begin();
    }
    sample.push_back(next->second);
    last_sampled_ = next->first;
    ++next;
  }
  return sample;
}

RateLimitChange EndpointRateLimits::Store(const RateLimitStatement& statement) {
  const auto [known, added] =
      statements_.try_emplace(statement.endpoint_.id_, statement);
  const bool repeated =
      !added &&
      AreClose(known->second.requests_per_second_,
               statement.requests_per_second_) &&
      MayBeSameIncarnation(known->second.endpoint_, statement.endpoint_);
  known->second = statement;
  if (statements_.size() > kMaxStatements) {
    statements_.erase(std::ranges::min_element(
        statements_, {},
        [](const auto& entry) { return entry.second.stated_at_; }));
  }
  if (repeated) {
    return RateLimitChange::kConfirmed;
  }
  return statement.requests_per_second_ ? RateLimitChange::kLimited
                                        : RateLimitChange::kLifted;
}

std::optional<double> EndpointRateLimits::RateOf(
    const EndpointIncarnation& endpoint, core::TimePoint now) const {
  const auto known = statements_.find(endpoint.id_);
  if (known == statements_.end() ||
      !MayBeSameIncarnation(known->second.endpoint_, endpoint) ||
      IsExpired(known->second, now)) {
    return std::nullopt;
  }
  return known->second.requests_per_second_;
}

std::optional<ExpiredRateLimit> EndpointRateLimits::ExpiredLimitOf(
    const EndpointIncarnation& endpoint, core::TimePoint now) const {
  const auto known = statements_.find(endpoint.id_);
  if (known == statements_.end() ||
      !MayBeSameIncarnation(known->second.endpoint_, endpoint) ||
      !known->second.requests_per_second_ || !IsExpired(known->second, now)) {
    return std::nullopt;
  }
  const auto expired_at = known->second.stated_at_ + ExpiryOf(known->second);
  if (now - expired_at >= kMaxReturnTime) {
    return std::nullopt;
  }
  return ExpiredRateLimit{*known->second.requests_per_second_, expired_at};
}

std::size_t EndpointRateLimits::LimitedCount(core::TimePoint now) const {
  return static_cast<std::size_t>(
      std::ranges::count_if(statements_, [now](const auto& entry) {
        return entry.second.requests_per_second_.has_value() &&
               !IsExpired(entry.second, now);
      }));
}

void EndpointRateLimits::Expire(core::TimePoint now) {
  std::erase_if(statements_, [now](const auto& entry) {
    return IsExpired(entry.second, now - kMaxReturnTime);
  });
}

}  // namespace chalkwell::routing
