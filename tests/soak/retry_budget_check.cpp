// Requests and retries are counted in sliding windows.
#include "soak/retry_budget_check.hpp"

#include <algorithm>

namespace chalkwell::soak {
namespace {

void Forget(std::deque<TimePoint>& times, TimePoint before) {
  while (!times.empty() && times.front() < before) {
    times.pop_front();
  }
}

}  // namespace

double RetryBudgetCheck::Allowed(const Service& service, TimePoint now) const {
  // The bound takes the largest number of the window, of the one before it, and
  // of the one half a window before it.
  std::size_t most = 0;
  for (const auto earlier :
       {milliseconds(0), bounds_.window_ / 2, bounds_.window_}) {
    const auto& times = service.requests_;
    const auto end = std::ranges::upper_bound(times, now - earlier);
    const auto begin =
        std::ranges::lower_bound(times, now - earlier - bounds_.window_);
    most = std::max(most, static_cast<std::size_t>(end - begin));
  }
  return bounds_.share_ * static_cast<double>(most) + bounds_.extra_;
}

std::optional<std::size_t> RetryBudgetCheck::OnArrival(
    const std::string& service_name, const std::string& request,
    TimePoint now) {
  auto& service = services_[service_name];
  Forget(service.requests_, now - 2 * bounds_.window_);
  Forget(service.retries_, now - bounds_.window_);
  if (seen_.insert(request).second) {
    service.requests_.push_back(now);
    return std::nullopt;
  }
  ++retries_;
  service.retries_.push_back(now);
  const auto allowed = Allowed(service, now);
  const auto made = static_cast<double>(service.retries_.size());
  worst_ = std::max(worst_, made / allowed);
  if (made <= allowed) {
    return std::nullopt;
  }
  return static_cast<std::size_t>(made - allowed) + 1;
}

}  // namespace chalkwell::soak
