// Admission: shares the capacity of an entry (the process that takes callers'
// requests and routes them) between client accounts by weight, with queues
// bounded by the deadlines of requests.
#pragma once

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <vector>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/identifier.hpp"
#include "chalkwell/routing/fwd.hpp"

namespace chalkwell::routing {

/// @brief A request waiting to be started.
struct QueuedRequest {
  std::uint64_t request_ = 0;
  core::ClientAccountId account_;
  /// Share of the account relative to other accounts.
  std::uint64_t weight_ = 1;
  core::TimePoint deadline_;
};

/// @brief Limits of the queue.
struct QueueLimits {
  /// Concurrent requests in flight.
  std::size_t max_in_flight_ = 256;
  /// Waiting requests per account.
  std::size_t max_waiting_ = 256;
};

/// @brief Start-time fair queueing (SFQ) over client accounts.
class FairQueue {
 public:
  explicit FairQueue(QueueLimits limits);

  [[nodiscard]] std::size_t in_flight() const noexcept { return in_flight_; }
  [[nodiscard]] std::size_t waiting() const noexcept { return waiting_; }
  /// @brief Estimated wait of a new request of the account, by the recent rate
  /// of releases; zero if it may start at once or no rate is known yet.
  [[nodiscard]] core::Duration EstimatedWait(
      const core::ClientAccountId& account) const;

  /// @brief Estimated 90th percentile of service time; zero when not known.
  [[nodiscard]] core::Duration service_time_p90() const noexcept {
    return service_time_p90_;
  }

  /// @brief Appends a request to the queue of its account.
  /// @return false when the request must be refused: its account's queue is
  /// full, or its deadline would pass in the queue or during service.
  [[nodiscard]] bool Offer(const QueuedRequest& request, core::TimePoint now);
  /// @brief Dequeues the next request, if one may start.
  [[nodiscard]] std::optional<QueuedRequest> Next();
  /// @brief Removes requests that can no longer meet their deadline.
  [[nodiscard]] std::vector<QueuedRequest> TakeExpired(core::TimePoint now);
  /// @brief Removes a waiting request whose caller disconnected.
  void Remove(std::uint64_t request);
  /// @brief Records that a started request has ended, so that another may
  /// start.
  void Release(core::TimePoint now);
  /// @brief Adds a sample of the service time, from the start of a request to
  /// the end of its response.
  void OnServiceTime(core::Duration service_time) noexcept;
  void SetMaxInFlight(std::size_t limit) noexcept {
    limits_.max_in_flight_ = limit;
  }

 private:
  struct Waiting {
    QueuedRequest request_;
    core::TimePoint offered_at_;
  };
  struct Account {
    std::deque<Waiting> queue_;
    /// Virtual start time of its next request.
    double next_start_ = 0;
  };

  /// @brief Time reserved for serving a request: the 90th percentile of service
  /// time, but at most half of the time to its deadline when it was offered, so
  /// that short deadlines are not always refused where service times are long.
  [[nodiscard]] core::Duration ReservedServiceTime(
      const QueuedRequest& request, core::TimePoint offered_at) const;

  QueueLimits limits_;
  std::map<core::ClientAccountId, Account> accounts_;
  /// Virtual start time of the last request started; never decreases.
  double virtual_time_ = 0;
  std::size_t in_flight_ = 0;
  /// Total length of all queues.
  std::size_t waiting_ = 0;
  /// Exponentially smoothed time between releases while requests wait.
  core::Duration release_interval_{};
  std::optional<core::TimePoint> last_release_;
  /// Running estimate of the 90th percentile of service time.
  core::Duration service_time_p90_{};
};

}  // namespace chalkwell::routing
