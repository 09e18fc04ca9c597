// Requests are counted per endpoint, in a sliding interval.
#include "soak/rate_limit_check.hpp"

namespace chalkwell::soak {

void RateLimitCheck::OnStated(const std::string& endpoint, double per_second,
                              TimePoint now) {
  if (per_second > 0) {
    limits_[endpoint] = {.per_second_ = per_second,
                         .stated_at_ = now,
                         .forwarded_at_ = {},
                         .arrivals_ = {}};
  } else {
    limits_.erase(endpoint);
  }
}

bool RateLimitCheck::MustKnow(const Limit& limit, const std::string& entry,
                              TimePoint now) const {
  const auto forwarded = limit.forwarded_at_.find(entry);
  return forwarded != limit.forwarded_at_.end() &&
         now - forwarded->second >= bounds_.known_;
}

std::optional<milliseconds> RateLimitCheck::OnArrival(
    const std::string& endpoint, const std::string& request,
    const std::string& entry, bool excused, TimePoint now) {
  const auto found = limits_.find(endpoint);
  if (found == limits_.end()) {
    // A retry: the response will not be that of the endpoint with a limit.
    attempts_.erase(request);
    return std::nullopt;
  }
  attempts_[request] = {endpoint, entry};
  auto& limit = found->second;
  if (excused || !MustKnow(limit, entry, now)) {
    return std::nullopt;
  }
  auto& arrivals = limit.arrivals_;
  arrivals.push_back(now);
  while (now - arrivals.front() > bounds_.window_) {
    arrivals.pop_front();
  }
  const auto after = now - limit.stated_at_;
  if (after < bounds_.effective_) {
    return std::nullopt;
  }
  ++checked_;
  const std::chrono::duration<double> window = bounds_.window_;
  const double allowed =
      bounds_.factor_ * limit.per_second_ * window.count() + bounds_.allowance_;
  if (static_cast<double>(arrivals.size()) <= allowed) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<milliseconds>(after);
}

void RateLimitCheck::OnResponse(const std::string& request, TimePoint now) {
  const auto attempt = attempts_.find(request);
  if (attempt == attempts_.end()) {
    return;
  }
  const auto limit = limits_.find(attempt->second.endpoint_);
  if (limit != limits_.end()) {
    limit->second.forwarded_at_.try_emplace(attempt->second.entry_, now);
  }
  attempts_.erase(attempt);
}

}  // namespace chalkwell::soak
