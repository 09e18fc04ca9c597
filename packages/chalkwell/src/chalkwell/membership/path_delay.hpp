// How long a path holds messages back, from the sender's own clock: clocks
// differ by a constant, so what exceeds the least difference is delay.
#pragma once

#include <deque>
#include <optional>

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::membership {

/// @brief Delay of the path from one sender.
class PathDelay {
 public:
  /// @brief Takes a message.
  /// @param sent_at time by the sender's steady clock.
  /// @return how much longer than the quickest message it was under way.
  core::Duration OnMessage(core::Duration sent_at, core::TimePoint now);

 private:
  /// Least difference of the two clocks, of this period and of the one before;
  /// it includes the shortest way. Steady clocks of two machines drift apart,
  /// by seconds in some days.
  std::optional<core::Duration> least_;
  std::optional<core::Duration> least_before_;
  core::TimePoint period_began_;
};

/// @brief Delay of the own link, from messages of many senders: what even the
/// quickest of a short time shows is not the senders' doing.
class LinkDelay {
 public:
  /// @brief A message of some sender was under way longer by `delay`.
  void OnMessage(core::Duration delay, core::TimePoint now);
  /// @brief Least delay of the last messages: of a quarter of a second if that
  /// brought several, else of a second, else of the last message, which counts
  /// for some seconds. Zero when nothing was heard.
  [[nodiscard]] core::Duration At(core::TimePoint now) const;

 private:
  struct Sample {
    core::TimePoint at_;
    core::Duration delay_;
  };

  /// @return none when the window holds fewer samples.
  [[nodiscard]] std::optional<core::Duration> LeastWithin(
      core::Duration window, std::size_t samples, core::TimePoint now) const;

  /// In order of time; none older than the longest window, but the newest.
  std::deque<Sample> samples_;
};

}  // namespace chalkwell::membership
