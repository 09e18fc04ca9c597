// Start-time fair queueing. A request is refused if its wait, estimated from
// the rate of releases, would make it miss its deadline.
#include "chalkwell/routing/fair_queue.hpp"

#include <algorithm>

namespace chalkwell::routing {
namespace {

/// The newest release interval has a weight of 1/8 in the smoothed one.
constexpr int kSmoothing = 8;
/// A sample above the quantile estimate raises it by 1/18, one below lowers it
/// by 1/162. The ratio of nine makes it converge to the 90th percentile.
constexpr int kServiceTimeRiseDivisor = 18;
constexpr int kServiceTimeFallDivisor = 162;

}  // namespace

FairQueue::FairQueue(QueueLimits limits) : limits_(limits) {}

core::Duration FairQueue::EstimatedWait(
    const core::ClientAccountId& account) const {
  const auto found = accounts_.find(account);
  if (in_flight_ < limits_.max_in_flight_) {
    return {};
  }
  const auto queued =
      found == accounts_.end() ? 0 : found->second.queue_.size();
  const auto other_accounts = static_cast<std::size_t>(
      std::ranges::count_if(accounts_, [&](const auto& entry) {
        return !entry.second.queue_.empty() && entry.first != account;
      }));
  // Ignores weights: assumes that each other account with a queue starts one
  // request per request of this one.
  return release_interval_ *
         static_cast<int>((queued + 1) * (other_accounts + 1));
}

bool FairQueue::Offer(const QueuedRequest& request, core::TimePoint now) {
  auto& account = accounts_[request.account_];
  if (account.queue_.size() >= limits_.max_waiting_) {
    return false;
  }
  const auto wait = EstimatedWait(request.account_);
  if (now + wait + ReservedServiceTime(request, now) >= request.deadline_) {
    return false;
  }
  if (account.queue_.empty()) {
    account.next_start_ = std::max(account.next_start_, virtual_time_);
  }
  account.queue_.push_back({request, now});
  ++waiting_;
  return true;
}

std::optional<QueuedRequest> FairQueue::Next() {
  if (in_flight_ >= limits_.max_in_flight_) {
    return std::nullopt;
  }
  Account* best = nullptr;
  for (auto& [id, account] : accounts_) {
    const bool better =
        best == nullptr || account.next_start_ < best->next_start_;
    if (!account.queue_.empty() && better) {
      best = &account;
    }
  }
  if (best == nullptr) {
    return std::nullopt;
  }
  QueuedRequest request = std::move(best->queue_.front().request_);
  best->queue_.pop_front();
  virtual_time_ = std::max(virtual_time_, best->next_start_);
  best->next_start_ += 1.0 / static_cast<double>(request.weight_);
  --waiting_;
  ++in_flight_;
  return request;
}

std::vector<QueuedRequest> FairQueue::TakeExpired(core::TimePoint now) {
  std::vector<QueuedRequest> expired;
  for (auto& [id, account] : accounts_) {
    std::erase_if(account.queue_, [&](const Waiting& item) {
      const auto service_time =
          ReservedServiceTime(item.request_, item.offered_at_);
      if (item.request_.deadline_ > now + service_time) {
        return false;
      }
      expired.push_back(item.request_);
      return true;
    });
  }
  waiting_ -= expired.size();
  return expired;
}

void FairQueue::Remove(std::uint64_t request) {
  for (auto& [id, account] : accounts_) {
    waiting_ -= std::erase_if(account.queue_, [&](const Waiting& item) {
      return item.request_.request_ == request;
    });
  }
}

void FairQueue::Release(core::TimePoint now) {
  --in_flight_;
  if (last_release_ && waiting_ > 0) {
    const auto interval = now - *last_release_;
    release_interval_ += (interval - release_interval_) / kSmoothing;
  }
  last_release_ = now;
}

core::Duration FairQueue::ReservedServiceTime(
    const QueuedRequest& request, core::TimePoint offered_at) const {
  return std::min(service_time_p90_, (request.deadline_ - offered_at) / 2);
}

void FairQueue::OnServiceTime(core::Duration service_time) noexcept {
  if (service_time_p90_ == core::Duration{}) {
    service_time_p90_ = service_time;
  } else if (service_time > service_time_p90_) {
    service_time_p90_ += service_time_p90_ / kServiceTimeRiseDivisor;
  } else {
    service_time_p90_ -= service_time_p90_ / kServiceTimeFallDivisor;
  }
}

}  // namespace chalkwell::routing
