// Who is told an endpoint's reports: the entries that use it, as long as they
// say so. Each is told a change soon and that nothing changed now and then;
// all together take a fixed budget, so that what a reporter sends does not grow
// with the number of entries.
#pragma once

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/membership/fwd.hpp"

namespace chalkwell::membership {

/// @brief Settings of an audience.
struct ReportSubscribersSettings {
  /// A subscriber that did not renew for this long is left out: three
  /// renewals of those who renew least often.
  core::Duration lease_ = std::chrono::milliseconds(8000);
  /// Between two reports of changes to one subscriber: a request takes about a
  /// second, and a choice by an older count meets an endpoint that others chose
  /// as well.
  core::Duration interval_ = std::chrono::milliseconds(105);
  /// Between two reports without change: well within the time after which a
  /// silent endpoint is passed over.
  core::Duration repeat_ = std::chrono::milliseconds(500);
  /// Reports a second to all together, some 7 KB. Subscribers of the own
  /// failure domain are served first; those of others, who send little here,
  /// share what is left.
  double per_second_ = 100;
  /// Between two full reports: some 12 bytes more each.
  core::Duration full_interval_ = std::chrono::milliseconds(1000);
  /// Longest time that the budget stretches an interval to.
  core::Duration longest_ = std::chrono::milliseconds(400);
};

/// @brief A subscriber that is due.
struct ReportTarget {
  std::string address_;
  bool local_ = true;
  /// What seldom changes is told as well: the subscriber may not know it.
  bool full_ = false;
};

/// @brief Subscribers of one endpoint.
class ReportSubscribers {
 public:
  explicit ReportSubscribers(ReportSubscribersSettings settings = {});

  /// @brief An entry uses the endpoint, or still does.
  /// @param address where it takes reports.
  /// @param near whether it is of the own failure domain.
  /// @return whether it was none before: it has no report yet.
  bool Subscribe(const std::string& address, bool near, core::TimePoint now);
  /// @brief What seldom changes did: the next report to each is a full one.
  void RequestFullReports();

  /// @brief Whom to tell the present report. They count as told.
  /// @param changed whether it differs from the last one.
  /// @param urgent it cannot wait for anyone's interval: the endpoint takes
  /// nothing any more, or serves other weights.
  [[nodiscard]] std::vector<ReportTarget> CollectDue(bool changed, bool urgent,
                                                     core::TimePoint now);
  [[nodiscard]] std::size_t size() const noexcept {
    return subscribers_.size();
  }
  /// @brief When an entry was last heard; the epoch for never.
  [[nodiscard]] core::TimePoint last_renewed() const noexcept {
    return last_heard_;
  }

 private:
  struct Subscriber {
    bool near_ = true;
    core::TimePoint renewed_;
    core::TimePoint told_at_;
    /// When it had a full report; the epoch when it is to have one.
    core::TimePoint full_at_;
    /// The report that it was told last; 0 for none.
    std::uint64_t told_ = 0;
  };

  [[nodiscard]] core::Duration IntervalOf(bool near) const;

  ReportSubscribersSettings settings_;
  /// By address.
  std::map<std::string, Subscriber> subscribers_;
  /// Rises with each changed report.
  std::uint64_t report_ = 1;
  core::TimePoint last_heard_;
};

}  // namespace chalkwell::membership
