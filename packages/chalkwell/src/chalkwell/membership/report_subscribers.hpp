// Subscribers of an endpoint's reports: the entries that use it, while they
// renew their subscriptions. Changes are sent soon and unchanged reports
// periodically, within a fixed budget for all subscribers, so that the traffic
// of an endpoint does not grow with the number of entries.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/membership/fwd.hpp"

namespace chalkwell::membership {

struct ReportSubscribersSettings {
  /// A subscription that is not renewed for this long expires: three times the
  /// longest renewal interval.
  core::Duration lease_ = std::chrono::milliseconds(8000);
  /// Minimum time between two changed reports to one subscriber. Short compared
  /// with a request (about 1 s), because entries with outdated load figures all
  /// choose the same endpoint.
  core::Duration change_interval_ = std::chrono::milliseconds(105);
  /// Time between two unchanged reports to one subscriber; well below the time
  /// after which an unresponsive endpoint gets no requests.
  core::Duration keepalive_interval_ = std::chrono::milliseconds(500);
  /// Reports per second to all subscribers together, some 7 KB per second.
  /// Subscribers of the local failure domain are served first; remote ones,
  /// which send few requests here, share the rest.
  double max_reports_per_second_ = 100;
  /// A report is a full one, some 12 bytes larger, if the last full one to the
  /// subscriber is at least this old.
  core::Duration full_interval_ = std::chrono::milliseconds(1000);
  /// Upper limit of `change_interval_` after it was lengthened to keep
  /// `max_reports_per_second_`.
  core::Duration max_change_interval_ = std::chrono::milliseconds(400);
};

/// @brief A subscriber to which a report is due.
struct ReportTarget {
  std::string address_;
  bool local_ = true;
  /// Whether the report includes fields that change rarely, which the
  /// subscriber may not know.
  bool full_ = false;
};

/// @brief Subscribers of one endpoint's reports.
class ReportSubscribers {
 public:
  explicit ReportSubscribers(ReportSubscribersSettings settings = {});

  /// @brief Adds a subscription or renews it.
  /// @param address where the entry receives reports.
  /// @param local whether the entry is in the local failure domain.
  /// @return whether the subscription is new; it has no report yet.
  bool Subscribe(const std::string& address, bool local, core::TimePoint now);
  /// @brief Makes the next report to each subscriber a full one, because fields
  /// that change rarely did.
  void RequestFullReports();

  /// @brief Selects the subscribers to which the current report is due and
  /// records it as sent to them.
  /// @param changed whether the report differs from the previous one.
  /// @param urgent whether a change must not wait for the interval: the
  /// endpoint accepts no more work or serves other weights.
  [[nodiscard]] std::vector<ReportTarget> CollectDue(bool changed, bool urgent,
                                                     core::TimePoint now);
  [[nodiscard]] std::size_t size() const noexcept {
    return subscribers_.size();
  }
  /// @brief Time of the last subscription or renewal; the epoch if there was
  /// none.
  [[nodiscard]] core::TimePoint last_renewed() const noexcept {
    return last_renewed_;
  }

 private:
  struct Subscriber {
    bool local_ = true;
    core::TimePoint renewed_at_;
    core::TimePoint sent_at_;
    /// Time of the last full report; the epoch if one is due.
    core::TimePoint full_sent_at_;
    /// Number of the report sent last; 0 for none.
    std::uint64_t sent_report_ = 0;
  };

  [[nodiscard]] core::Duration ChangeInterval(bool local) const;

  ReportSubscribersSettings settings_;
  /// By address.
  std::map<std::string, Subscriber> subscribers_;
  /// Number of the current report; incremented by each change.
  std::uint64_t report_ = 1;
  core::TimePoint last_renewed_;
};

}  // namespace chalkwell::membership
