// A request counts only if nothing but its entry can have ended it.
#include "soak/response_check.hpp"

#include <algorithm>
#include <vector>

namespace chalkwell::soak {
namespace {

/// From the report that an endpoint breaks its connections until all of them
/// are closed.
constexpr auto kBreakDuration = milliseconds(500);

}  // namespace

void ResponseCheck::OnSent(const std::string& request, const std::string& entry,
                           milliseconds timeout, TimePoint now) {
  pending_[request] = {entry, now, now + timeout, {}};
}

void ResponseCheck::OnArrival(const std::string& endpoint,
                              const std::string& request, TimePoint now) {
  const auto found = pending_.find(request);
  if (found != pending_.end()) {
    found->second.arrivals_.try_emplace(endpoint, now);
  }
}

void ResponseCheck::OnDisturbed(const std::string& entry, TimePoint now) {
  disturbed_at_[entry] = now;
}

void ResponseCheck::OnBreaks(const std::string& endpoint, TimePoint until) {
  auto& known = breaks_until_[endpoint];
  known = std::max(known, until);
}

std::optional<milliseconds> ResponseCheck::OnIncomplete(const std::string& name,
                                                        bool started,
                                                        TimePoint now) {
  ++(started ? cut_ : unanswered_);
  const auto found = pending_.find(name);
  if (found == pending_.end()) {
    return std::nullopt;
  }
  const auto& request = found->second;
  const bool crosses_close = request.arrivals_.empty() &&
                             now - request.sent_at_ <= bounds_.crossing_close_;
  if (crosses_close || now >= request.timeout_at_ || !IsUndisturbed(request) ||
      IsBrokenByEndpoint(request) ||
      ++counted_[request.entry_] <= bounds_.max_incomplete_) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<milliseconds>(now - request.sent_at_);
}

bool ResponseCheck::IsUndisturbed(const Request& request) const {
  return std::ranges::all_of(std::vector<std::string>{request.entry_, ""},
                             [&](const std::string& name) {
                               const auto found = disturbed_at_.find(name);
                               return found == disturbed_at_.end() ||
                                      request.sent_at_ - found->second >=
                                          bounds_.recovery_;
                             });
}

bool ResponseCheck::IsBrokenByEndpoint(const Request& request) const {
  return std::ranges::any_of(request.arrivals_, [this](const auto& arrival) {
    const auto found = breaks_until_.find(arrival.first);
    return found != breaks_until_.end() &&
           arrival.second <= found->second + kBreakDuration;
  });
}

}  // namespace chalkwell::soak
