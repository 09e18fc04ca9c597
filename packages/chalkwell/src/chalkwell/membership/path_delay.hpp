// One-way delay without synchronized clocks: the clocks of two machines differ
// by an offset that is nearly constant for minutes, so what exceeds the minimum
// of receive time minus send time is queueing delay.
#pragma once

#include <deque>
#include <optional>

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::membership {

/// @brief Delay of the path from one sender.
class PathDelay {
 public:
  /// @brief Records a received message.
  /// @param sent_at time by the sender's steady clock.
  /// @return its one-way delay in excess of the minimum one-way delay.
  core::Duration OnMessage(core::Duration sent_at, core::TimePoint now);

 private:
  /// Minimum of receive time minus send time, that is, clock offset plus
  /// minimum one-way delay, in the current and in the previous period of five
  /// minutes. Older minima do not count, because the clocks drift apart: by
  /// less than 30 ms within a period, but by seconds within days.
  std::optional<core::Duration> min_;
  std::optional<core::Duration> previous_min_;
  core::TimePoint period_start_;
};

/// @brief Delay of the local link, from messages of many senders: the minimum
/// over all messages of a short window, because a slow sender delays only its
/// own messages.
class LinkDelay {
 public:
  /// @brief Records a message from any sender.
  /// @param delay its one-way delay in excess of the minimum of its path.
  void OnMessage(core::Duration delay, core::TimePoint now);
  /// @brief Minimum delay of the messages of the last 250 ms. With fewer than
  /// three of them, the minimum of the last second; with none in the last
  /// second, the delay of the last message. Zero if that is older than 3 s.
  [[nodiscard]] core::Duration At(core::TimePoint now) const;

 private:
  struct Sample {
    core::TimePoint at_;
    core::Duration delay_;
  };

  /// @return std::nullopt if the window holds fewer than `min_samples`.
  [[nodiscard]] std::optional<core::Duration> MinWithin(
      core::Duration window, std::size_t min_samples,
      core::TimePoint now) const;

  /// Ordered by time; none is older than the longest window, except the newest.
  std::deque<Sample> samples_;
};

}  // namespace chalkwell::membership
