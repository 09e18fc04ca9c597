// Start-time fair queueing; the pace of releases bounds what is queued.
#include "chalkwell/routing/fair_queue.hpp"

#include <algorithm>

namespace chalkwell::routing {
namespace {

/// Weight of the newest interval in the smoothed pace.
constexpr int kSmoothing = 8;
/// Steps by which the usual service is followed: a slower one raises it nine
/// times as much as a quicker one lowers it, so nine in ten lie below.
constexpr int kServiceRise = 18;
constexpr int kServiceFall = 162;

}  // namespace

FairQueue::FairQueue(QueueLimits limits) : limits_(limits) {}

core::Duration FairQueue::EstimatedWait(
    const core::ClientAccountId& account) const {
  const auto found = accounts_.find(account);
  if (in_flight_ < limits_.max_in_flight_) {
    return {};
  }
  const auto own = found == accounts_.end() ? 0 : found->second.queue_.size();
  const auto busy = static_cast<std::size_t>(
      std::ranges::count_if(accounts_, [&](const auto& entry) {
        return !entry.second.queue_.empty() && entry.first != account;
      }));
  // Each other busy account takes a turn for each of ours.
  return release_interval_ * static_cast<int>((own + 1) * (busy + 1));
}

bool FairQueue::Offer(const QueuedRequest& request, core::TimePoint now) {
  auto& account = accounts_[request.account_];
  if (account.queue_.size() >= limits_.max_waiting_) {
    return false;
  }
  const auto wait = EstimatedWait(request.account_);
  if (now + wait + TimeToServe(request, now) >= request.deadline_) {
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
    std::erase_if(account.queue_, [&](const Waiting& held) {
      const auto serve = TimeToServe(held.request_, held.offered_at_);
      if (held.request_.deadline_ > now + serve) {
        return false;
      }
      expired.push_back(held.request_);
      return true;
    });
  }
  waiting_ -= expired.size();
  return expired;
}

void FairQueue::Remove(std::uint64_t request) {
  for (auto& [id, account] : accounts_) {
    waiting_ -= std::erase_if(account.queue_, [&](const Waiting& held) {
      return held.request_.request_ == request;
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

core::Duration FairQueue::TimeToServe(const QueuedRequest& request,
                                      core::TimePoint offered_at) const {
  return std::min(usual_service_, (request.deadline_ - offered_at) / 2);
}

void FairQueue::OnServiceTime(core::Duration service) noexcept {
  if (usual_service_ == core::Duration{}) {
    usual_service_ = service;
  } else if (service > usual_service_) {
    usual_service_ += usual_service_ / kServiceRise;
  } else {
    usual_service_ -= usual_service_ / kServiceFall;
  }
}

}  // namespace chalkwell::routing
