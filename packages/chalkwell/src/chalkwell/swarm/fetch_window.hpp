// Congestion window of a fetch: limits the outstanding chunk requests so that
// chunks fill the link without a long queue, in which request traffic would
// wait.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/swarm/fwd.hpp"

namespace chalkwell::swarm {

struct FetchWindowSettings {
  /// Sizes of the window in outstanding chunk requests.
  std::size_t min_size_ = 1;
  /// Six outstanding chunks keep a link of 7 Mbit/s with a delay of 6 ms busy,
  /// even if the peers reply slowly because they serve others too.
  std::size_t initial_size_ = 6;
  std::size_t max_size_ = 8;
  /// Configured rate of the local link. 0 means unknown: the transmission time
  /// of chunks is then taken as zero.
  std::uint64_t bytes_per_second_ = 0;
  /// The window grows while the queueing delay is below this; the queueing
  /// delay is the transfer time beyond the transmission time on an idle link.
  core::Duration grow_below_ = std::chrono::milliseconds(90);
  /// The window shrinks when the queueing delay is above this. Request traffic
  /// waits in the same queue, so requests may be delayed by up to this much,
  /// which must fit into their target latency.
  core::Duration shrink_above_ = std::chrono::milliseconds(180);
  /// A link that delivers less than this fraction of its configured rate counts
  /// as degraded. Peers that serve many members deliver a third of the rate,
  /// which must not count.
  double degraded_rate_fraction_ = 0.2;
  /// Minimum time between two decreases: the first one has an effect on the
  /// delay only once the chunks requested before it have arrived.
  core::Duration min_decrease_interval_ = std::chrono::milliseconds(300);
};

/// @brief Window with additive increase and multiplicative decrease, controlled
/// by the queueing delay of the local link: it grows by one per window of
/// chunks while the delay is low, and is halved when it is high.
class FetchWindow {
 public:
  explicit FetchWindow(FetchWindowSettings settings);

  /// @brief Starts a fetch: a window above its initial size is reset to it, a
  /// smaller one is kept.
  void Start() noexcept;
  /// @brief Records a received chunk.
  /// @param transfer time from the request to the last byte, less the waiting
  /// time that the sender reports.
  void OnChunkReceived(core::Duration transfer, std::size_t bytes,
                       core::TimePoint now);
  /// @brief Number of chunk requests that may be outstanding.
  [[nodiscard]] std::size_t size() const noexcept { return size_; }
  /// @brief Queueing delay of the local link: the minimum over the recent
  /// chunks, so that one sender's slow link does not count. Zero when no chunk
  /// was received recently.
  [[nodiscard]] core::Duration QueueingDelay(core::TimePoint now) const;
  /// @brief Whether the link delivers far less than its configured rate. False
  /// when the rate is unknown or no chunk was received recently.
  [[nodiscard]] bool LinkDegraded(core::TimePoint now) const;

 private:
  struct Sample {
    core::TimePoint at_;
    core::Duration queueing_delay_;
    /// Estimated rate of the link, assuming that as many chunks as the window
    /// allows were in transfer: the bytes of the window over the transfer time
    /// of this chunk.
    double bytes_per_second_ = 0;
  };

  /// @brief Whether the newest sample is recent enough to be used.
  [[nodiscard]] bool HasRecentSample(core::TimePoint now) const;

  FetchWindowSettings settings_;
  std::size_t size_;
  /// Chunks received since the window last changed.
  std::size_t received_ = 0;
  core::TimePoint decreased_at_;
  /// Ordered by time. Samples older than the sampling window are removed,
  /// except for the newest one.
  std::deque<Sample> samples_;
};

}  // namespace chalkwell::swarm
