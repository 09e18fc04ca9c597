// The response of the last attempt of a request is the one that is forwarded.
#include "soak/stated_leaving_check.hpp"

namespace chalkwell::soak {

void StatedLeavingCheck::OnListed(const std::string& endpoint) {
  leaving_.erase(endpoint);
  forwarded_at_.erase(endpoint);
}

void StatedLeavingCheck::OnDisturbed(const std::string& entry) {
  for (auto& [endpoint, entries] : forwarded_at_) {
    entries.erase(entry);
  }
}

std::optional<milliseconds> StatedLeavingCheck::OnArrival(
    const std::string& endpoint, const std::string& request,
    const std::string& entry, TimePoint now) {
  if (!leaving_.contains(endpoint)) {
    attempts_.erase(request);
    return std::nullopt;
  }
  attempts_[request] = {endpoint, entry};
  const auto& entries = forwarded_at_[endpoint];
  const auto forwarded = entries.find(entry);
  if (forwarded == entries.end() || now - forwarded->second <= bound_) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<milliseconds>(now - forwarded->second);
}

void StatedLeavingCheck::OnResponse(const std::string& request, TimePoint now) {
  const auto attempt = attempts_.find(request);
  if (attempt == attempts_.end()) {
    return;
  }
  const auto& [endpoint, entry] = attempt->second;
  if (leaving_.contains(endpoint) &&
      forwarded_at_[endpoint].try_emplace(entry, now).second) {
    ++forwarded_;
  }
  attempts_.erase(attempt);
}

}  // namespace chalkwell::soak
