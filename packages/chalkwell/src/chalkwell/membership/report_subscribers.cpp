// The budget goes to the own failure domain first.
#include "chalkwell/membership/report_subscribers.hpp"

#include <algorithm>

namespace chalkwell::membership {
namespace {

using Seconds = std::chrono::duration<double>;

}  // namespace

ReportSubscribers::ReportSubscribers(ReportSubscribersSettings settings)
    : settings_(settings) {}

bool ReportSubscribers::Subscribe(const std::string& address, bool near,
                                  core::TimePoint now) {
  const auto [found, fresh] = subscribers_.try_emplace(address);
  found->second.near_ = near;
  found->second.renewed_ = now;
  last_heard_ = now;
  return fresh;
}

core::Duration ReportSubscribers::IntervalOf(bool near) const {
  const auto near_count = static_cast<double>(std::ranges::count_if(
      subscribers_,
      [](const auto& subscriber) { return subscriber.second.near_; }));
  const auto far_count = static_cast<double>(subscribers_.size()) - near_count;
  const Seconds least(settings_.interval_);
  const auto near_rate =
      std::min(near_count / least.count(), settings_.per_second_);
  const auto rate = near ? settings_.per_second_
                         : std::max(settings_.per_second_ - near_rate, 1.0);
  const Seconds stretched((near ? near_count : far_count) / rate);
  return std::chrono::duration_cast<core::Duration>(
      std::clamp(stretched, least, Seconds(settings_.longest_)));
}

void ReportSubscribers::RequestFullReports() {
  for (auto& [address, subscriber] : subscribers_) {
    subscriber.full_at_ = {};
  }
}

std::vector<ReportTarget> ReportSubscribers::CollectDue(bool changed,
                                                        bool urgent,
                                                        core::TimePoint now) {
  std::erase_if(subscribers_, [&](const auto& subscriber) {
    return now - subscriber.second.renewed_ >= settings_.lease_;
  });
  report_ += changed ? 1 : 0;
  const auto near = IntervalOf(true);
  const auto far = IntervalOf(false);
  std::vector<ReportTarget> due;
  for (auto& [address, subscriber] : subscribers_) {
    const bool current = subscriber.told_ == report_;
    const auto interval = subscriber.near_ ? near : far;
    const auto least = current ? settings_.repeat_ : interval;
    const bool first = subscriber.told_ == 0;
    if (!first && !(urgent && !current) && now - subscriber.told_at_ < least) {
      continue;
    }
    subscriber.told_ = report_;
    subscriber.told_at_ = now;
    const bool full = now - subscriber.full_at_ >= settings_.full_interval_;
    if (full) {
      subscriber.full_at_ = now;
    }
    due.push_back({address, subscriber.near_, full});
  }
  return due;
}

}  // namespace chalkwell::membership
