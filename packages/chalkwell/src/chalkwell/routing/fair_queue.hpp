// Admission: weighted fair share of the entry's capacity between client
// accounts, with queues bounded by each request's deadline.
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

/// @brief A request that waits for its turn.
struct QueuedRequest {
  std::uint64_t request_ = 0;
  core::ClientAccountId account_;
  std::uint64_t weight_ = 1;
  core::TimePoint deadline_;
};

/// @brief Sizes of the queue.
struct QueueLimits {
  /// Requests in flight at once.
  std::size_t max_in_flight_ = 256;
  /// Requests waiting for one account.
  std::size_t max_waiting_ = 256;
};

/// @brief Start-time fair queueing over client accounts.
class FairQueue {
 public:
  explicit FairQueue(QueueLimits limits);

  [[nodiscard]] std::size_t in_flight() const noexcept { return in_flight_; }
  [[nodiscard]] std::size_t waiting() const noexcept { return waiting_; }
  /// @brief Time a new request of the account would wait, from the pace of
  /// late; zero when nothing is known.
  [[nodiscard]] core::Duration EstimatedWait(
      const core::ClientAccountId& account) const;

  /// @brief Time within which most requests are answered once started; zero
  /// when nothing is known.
  [[nodiscard]] core::Duration service_time_p90() const noexcept {
    return usual_service_;
  }

  /// @return false when the request must be refused at once: its account's
  /// queue is full, or its deadline would pass in the queue or soon after.
  [[nodiscard]] bool Offer(const QueuedRequest& request, core::TimePoint now);
  /// @brief Next request to start, if one may.
  [[nodiscard]] std::optional<QueuedRequest> Next();
  /// @brief Requests that can no longer be answered within their deadline.
  [[nodiscard]] std::vector<QueuedRequest> TakeExpired(core::TimePoint now);
  /// @brief The caller of a waiting request went away.
  void Remove(std::uint64_t request);
  /// @brief A started request has ended.
  void Release(core::TimePoint now);
  /// @brief A started request was answered so long after its start.
  void OnServiceTime(core::Duration service) noexcept;
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
    /// Virtual time at which its next request starts.
    double next_start_ = 0;
  };

  /// @brief Time that a request is given once started: what most take, but at
  /// most half of what it had when it was offered, so that a short deadline
  /// among long answers is not refused unseen.
  [[nodiscard]] core::Duration TimeToServe(const QueuedRequest& request,
                                           core::TimePoint offered_at) const;

  QueueLimits limits_;
  std::map<core::ClientAccountId, Account> accounts_;
  /// Virtual time of the last start; only rises.
  double virtual_time_ = 0;
  std::size_t in_flight_ = 0;
  /// Sum of all queues.
  std::size_t waiting_ = 0;
  /// Smoothed time between releases while others wait.
  core::Duration release_interval_{};
  std::optional<core::TimePoint> last_release_;
  /// Follows the time that nine in ten are answered within.
  core::Duration usual_service_{};
};

}  // namespace chalkwell::routing
