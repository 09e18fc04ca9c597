// The library decides which statements apply.
#include "daemon/direct/rate_limit_manager.hpp"

#include <array>
#include <charconv>
#include <chrono>
#include <utility>

namespace chalkwell::daemon::direct {
namespace {

using routing::RateLimitChange;

constexpr auto kExpiryInterval = std::chrono::milliseconds(1000);
/// Endpoints whose invalid limits are remembered, so that each is logged once.
constexpr std::size_t kMaxInvalid = 512;

bool IsChange(RateLimitChange change) {
  return change == RateLimitChange::kLimited ||
         change == RateLimitChange::kLifted;
}

}  // namespace

std::string RateText(const std::optional<double>& requests_per_second) {
  if (!requests_per_second) {
    return "none";
  }
  std::array<char, 32> text{};
  const auto [end, error] = std::to_chars(
      text.data(), text.data() + text.size(), *requests_per_second);
  return {text.data(), end};
}

RateLimitManager::RateLimitManager(Loop& loop,
                                   routing::EndpointRateLimits& limits,
                                   MeshNode& mesh, EventLog& log,
                                   Metrics& metrics)
    : loop_(loop),
      limits_(limits),
      mesh_(mesh),
      log_(log),
      metrics_(metrics),
      expiry_timer_(loop) {
  expiry_timer_.Every(kExpiryInterval, [this] { limits_.Expire(loop_.Now()); });
}

void RateLimitManager::OnResponse(const routing::EndpointRow& endpoint,
                                  const ResponseHead& response,
                                  core::TimePoint sent_at) {
  if (!response.invalid_rate_limit_.empty()) {
    LogInvalid(endpoint, response.invalid_rate_limit_);
  }
  // A refusal, or a response of something else on the path, need not state the
  // limit.
  const bool lifts = response.signed_ && !response.not_run_ &&
                     response.invalid_rate_limit_.empty();
  if (response.mismatched_ || !(response.rate_limit_ || lifts)) {
    return;
  }
  const routing::RateLimitStatement statement{
      endpoint.incarnation(), response.rate_limit_, loop_.Now()};
  const auto change = limits_.OnResponse(statement, sent_at);
  if (IsChange(change)) {
    LogChange(statement, change, "response");
    mesh_.PublishRateLimits({ToMessage(statement, loop_.Now())});
  }
}

void RateLimitManager::OnLimits(const membership::Member& sender,
                                const std::vector<RateLimitMessage>& limits,
                                core::TimePoint sent_at) {
  std::vector<RateLimitMessage> forwarded;
  for (const auto& message : limits) {
    const auto statement = ToStatement(message, sent_at);
    if (!statement) {
      metrics_.Count("rate_limits_invalid_total", {});
      continue;
    }
    const auto change = limits_.Merge(*statement);
    if (IsChange(change)) {
      LogChange(*statement, change, sender.id_.value());
      forwarded.push_back(ToMessage(*statement, loop_.Now()));
    }
  }
  if (!forwarded.empty()) {
    mesh_.ForwardRateLimits(sender.domain_, forwarded);
  }
}

std::vector<RateLimitMessage> RateLimitManager::Sample(std::size_t max_limits) {
  std::vector<RateLimitMessage> messages;
  for (const auto& statement : limits_.Sample(max_limits)) {
    messages.push_back(ToMessage(statement, loop_.Now()));
  }
  return messages;
}

void RateLimitManager::LogInvalid(const routing::EndpointRow& endpoint,
                                  const std::string& text) {
  metrics_.Count("rate_limits_invalid_total", {});
  if (invalid_.size() >= kMaxInvalid) {
    invalid_.clear();
  }
  if (std::exchange(invalid_[endpoint.id_], text) != text) {
    log_.Write(core::EventNumber::kRateLimitChanged,
               {{"endpoint", endpoint.id_.value()},
                {"change", "invalid"},
                {"requests_per_second", text}});
  }
}

void RateLimitManager::LogChange(const routing::RateLimitStatement& statement,
                                 RateLimitChange change,
                                 const std::string& source) {
  log_.Write(
      core::EventNumber::kRateLimitChanged,
      {{"endpoint", statement.endpoint_.id_.value()},
       {"change", std::string(ToString(change))},
       {"source", source},
       {"age_ms", std::to_string(ToAgeMs(loop_.Now() - statement.stated_at_))},
       {"requests_per_second", RateText(statement.requests_per_second_)}});
}

void RateLimitManager::RefreshMetrics() {
  metrics_.Set("rate_limited_endpoints", {},
               static_cast<double>(limits_.LimitedCount(loop_.Now())));
}

}  // namespace chalkwell::daemon::direct
