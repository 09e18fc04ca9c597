// How many chunks to ask for at once: enough to fill the link, so few that live
// requests do not wait behind them.
#pragma once

#include <cstddef>
#include <cstdint>
#include <deque>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/swarm/fwd.hpp"

namespace chalkwell::swarm {

/// @brief Settings of a window.
struct FetchWindowSettings {
  std::size_t least_ = 1;
  /// Fills a link of 7 Mbit/s over 6 ms to holders that have others to serve.
  std::size_t first_ = 6;
  std::size_t most_ = 8;
  /// Rate of the own link as set; 0 means unknown, chunks then take no time.
  std::uint64_t bytes_per_second_ = 0;
  /// The window grows while chunks take less than this beyond their time on a
  /// link that carries nothing else.
  core::Duration grow_below_ = std::chrono::milliseconds(90);
  /// It shrinks when they take longer than this: requests wait as long behind
  /// them, a part of their target.
  core::Duration shrink_above_ = std::chrono::milliseconds(180);
  /// A link that brings less than this part of its rate is narrowed. Holders
  /// that serve many give a third of it.
  double narrowed_share_ = 0.2;
  /// Between two cuts: what was asked for before the first must drain.
  core::Duration cut_interval_ = std::chrono::milliseconds(300);
};

/// @brief Window of a fetch, steered by how long chunks are under way on the
/// own link: one more with each window of chunks while it is quick, half of it
/// when it is not.
class FetchWindow {
 public:
  explicit FetchWindow(FetchWindowSettings settings);

  /// @brief A fetch begins; a window that was cut stays so.
  void Start() noexcept;
  /// @brief A chunk arrived.
  /// @param transfer from its request to its last byte, less what its sender
  /// says that it waited there.
  void OnChunkReceived(core::Duration transfer, std::size_t bytes,
                       core::TimePoint now);
  /// @brief Chunks that may be asked for at once; from least to most.
  [[nodiscard]] std::size_t size() const noexcept { return size_; }
  /// @brief How long the own link holds back what comes in, as the quickest of
  /// the last chunks shows: one sender's slow link does not count. Zero when
  /// no chunk came of late.
  [[nodiscard]] core::Duration QueueingDelay(core::TimePoint now) const;
  /// @brief Whether the link carries far less than it is set to. False when the
  /// rate is not set or no chunk came of late.
  [[nodiscard]] bool LinkDegraded(core::TimePoint now) const;

 private:
  struct Sample {
    core::TimePoint at_;
    core::Duration excess_;
    /// Chunks under way together, times their bytes, by the time of this one.
    double bytes_per_second_ = 0;
  };

  [[nodiscard]] bool Remembered(core::TimePoint now) const;

  FetchWindowSettings settings_;
  std::size_t size_;
  /// Chunks that arrived since the window last changed.
  std::size_t arrived_ = 0;
  core::TimePoint cut_at_;
  /// In order of time; what is older than the window of samples goes, but the
  /// newest.
  std::deque<Sample> samples_;
};

}  // namespace chalkwell::swarm
