// Splits the report budget, subscribers of the local failure domain first.
#include "chalkwell/membership/report_subscribers.hpp"

#include <algorithm>

namespace chalkwell::membership {
namespace {

using Seconds = std::chrono::duration<double>;

}  // namespace

ReportSubscribers::ReportSubscribers(ReportSubscribersSettings settings)
    : settings_(settings) {}

bool ReportSubscribers::Subscribe(const std::string& address, bool local,
                                  core::TimePoint now) {
  const auto [found, added] = subscribers_.try_emplace(address);
  found->second.local_ = local;
  found->second.renewed_at_ = now;
  last_renewed_ = now;
  return added;
}

core::Duration ReportSubscribers::ChangeInterval(bool local) const {
  const auto local_count = static_cast<double>(std::ranges::count_if(
      subscribers_,
      [](const auto& subscriber) { return subscriber.second.local_; }));
  const auto remote_count =
      static_cast<double>(subscribers_.size()) - local_count;
  const Seconds min_interval(settings_.change_interval_);
  const auto local_rate = std::min(local_count / min_interval.count(),
                                   settings_.max_reports_per_second_);
  const auto rate =
      local ? settings_.max_reports_per_second_
            : std::max(settings_.max_reports_per_second_ - local_rate, 1.0);
  const Seconds lengthened((local ? local_count : remote_count) / rate);
  return std::chrono::duration_cast<core::Duration>(std::clamp(
      lengthened, min_interval, Seconds(settings_.max_change_interval_)));
}

void ReportSubscribers::RequestFullReports() {
  for (auto& [address, subscriber] : subscribers_) {
    subscriber.full_sent_at_ = {};
  }
}

std::vector<ReportTarget> ReportSubscribers::CollectDue(bool changed,
                                                        bool urgent,
                                                        core::TimePoint now) {
  std::erase_if(subscribers_, [&](const auto& subscriber) {
    return now - subscriber.second.renewed_at_ >= settings_.lease_;
  });
  report_ += changed ? 1 : 0;
  const auto local_interval = ChangeInterval(true);
  const auto remote_interval = ChangeInterval(false);
  std::vector<ReportTarget> due;
  for (auto& [address, subscriber] : subscribers_) {
    const bool up_to_date = subscriber.sent_report_ == report_;
    const auto change_interval =
        subscriber.local_ ? local_interval : remote_interval;
    const auto interval =
        up_to_date ? settings_.keepalive_interval_ : change_interval;
    const bool first = subscriber.sent_report_ == 0;
    if (!first && !(urgent && !up_to_date) &&
        now - subscriber.sent_at_ < interval) {
      continue;
    }
    subscriber.sent_report_ = report_;
    subscriber.sent_at_ = now;
    const bool full =
        now - subscriber.full_sent_at_ >= settings_.full_interval_;
    if (full) {
      subscriber.full_sent_at_ = now;
    }
    due.push_back({address, subscriber.local_, full});
  }
  return due;
}

}  // namespace chalkwell::membership
