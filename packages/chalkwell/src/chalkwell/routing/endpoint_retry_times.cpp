// Another incarnation of an endpoint is not bound by what the last one asked
// for.
#include "chalkwell/routing/endpoint_retry_times.hpp"

#include <algorithm>

namespace chalkwell::routing {

bool EndpointRetryTimes::OnRefused(const EndpointIncarnation& endpoint,
                                   core::TimePoint retry_at,
                                   core::TimePoint now) {
  std::erase_if(
      times_, [now](const auto& time) { return time.second.retry_at_ <= now; });
  if (retry_at <= now) {
    return false;
  }
  const bool known = Defers(endpoint, now);
  const auto latest = std::max(retry_at, RetryAt(endpoint, now));
  times_.insert_or_assign(endpoint.id_, RetryTime{endpoint, latest});
  return !known;
}

bool EndpointRetryTimes::Defers(const EndpointIncarnation& endpoint,
                                core::TimePoint now) const {
  const auto found = times_.find(endpoint.id_);
  return found != times_.end() && now < found->second.retry_at_ &&
         MayBeSameIncarnation(found->second.endpoint_, endpoint);
}

core::TimePoint EndpointRetryTimes::RetryAt(const EndpointIncarnation& endpoint,
                                            core::TimePoint now) const {
  return Defers(endpoint, now) ? times_.at(endpoint.id_).retry_at_
                               : core::TimePoint{};
}

std::size_t EndpointRetryTimes::DeferredCount(core::TimePoint now) const {
  return static_cast<std::size_t>(std::ranges::count_if(
      times_, [now](const auto& time) { return now < time.second.retry_at_; }));
}

}  // namespace chalkwell::routing
