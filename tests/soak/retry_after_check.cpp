// Later refusals within the time of an earlier one start no time of their own.
#include "soak/retry_after_check.hpp"

namespace chalkwell::soak {

void RetryAfterCheck::OnRefusing(const std::string& endpoint,
                                 milliseconds time) {
  if (time > milliseconds(0)) {
    refusing_[endpoint] = time;
  } else {
    refusing_.erase(endpoint);
  }
}

void RetryAfterCheck::OnDisturbed(const std::string& entry) {
  std::erase_if(asked_,
                [&](const auto& asked) { return asked.first.second == entry; });
}

std::optional<milliseconds> RetryAfterCheck::OnArrival(
    const std::string& endpoint, const std::string& entry, TimePoint now) {
  const auto key = std::pair(endpoint, entry);
  const auto asked = asked_.find(key);
  if (asked != asked_.end() && now < asked->second.retry_at_) {
    auto& refusal = asked->second;
    const auto after = now - refusal.refused_at_;
    if (after < bounds_.effective_ ||
        ++refusal.requests_ <= bounds_.max_requests_) {
      return std::nullopt;
    }
    return std::chrono::duration_cast<milliseconds>(after);
  }
  if (const auto refusing = refusing_.find(endpoint);
      refusing != refusing_.end()) {
    asked_.insert_or_assign(key, Refusal{now, now + refusing->second, 0});
    ++refusals_;
  }
  return std::nullopt;
}

}  // namespace chalkwell::soak
