// FetchWindow: growth and decrease by delay, and its effect on a simulated
// link.
#include "chalkwell/swarm/fetch_window.hpp"

#include <catch2/catch.hpp>
#include <deque>

namespace chalkwell::swarm {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart(1h);
constexpr std::size_t kBytes = 24'600;

TEST_CASE("the window grows to its maximum on a link without queueing delay",
          "[swarm]") {
  FetchWindow window({.min_size_ = 1, .initial_size_ = 2, .max_size_ = 4});
  for (int chunk = 0; chunk < 40; ++chunk) {
    window.OnChunkReceived(40ms, kBytes, kStart + chunk * 30ms);
  }
  CHECK(window.size() == 4);
}

TEST_CASE("the window is halved once per interval while the delay is high",
          "[swarm]") {
  struct Row {
    core::Duration after_;
    std::size_t size_;
  };
  const auto row = GENERATE(Row{0ms, 4}, Row{100ms, 4}, Row{320ms, 2},
                            Row{620ms, 1}, Row{5s, 1});
  FetchWindow window({.initial_size_ = 8});
  for (core::Duration at = 0ms; at <= row.after_; at += 20ms) {
    window.OnChunkReceived(400ms, kBytes, kStart + at);
  }
  CHECK(window.size() == row.size_);
  window.Start();
  CHECK(window.size() == std::min<std::size_t>(row.size_, 8));
}

TEST_CASE("a delay between the two thresholds leaves the window unchanged",
          "[swarm]") {
  FetchWindow window({.initial_size_ = 3});
  for (int chunk = 0; chunk < 40; ++chunk) {
    window.OnChunkReceived(120ms, kBytes, kStart + chunk * 30ms);
  }
  CHECK(window.size() == 3);
}

TEST_CASE("the delay of the link is the minimum over the recent chunks",
          "[swarm]") {
  struct Row {
    core::Duration after_;
    core::Duration delay_;
  };
  const auto row =
      GENERATE(Row{0ms, 100ms}, Row{450ms, 100ms}, Row{700ms, 900ms},
               Row{2900ms, 900ms}, Row{4s, 0ms});
  FetchWindow window({.bytes_per_second_ = kBytes * 1000 / 30});
  CHECK(window.QueueingDelay(kStart) == 0ms);
  window.OnChunkReceived(130ms, kBytes, kStart);
  window.OnChunkReceived(930ms, kBytes, kStart + 1ms);
  CHECK(window.QueueingDelay(kStart + 1ms + row.after_) == row.delay_);
}

TEST_CASE("a link that delivers a small fraction of its rate is degraded",
          "[swarm]") {
  struct Row {
    std::size_t window_;
    core::Duration transfer_;
    core::Duration after_;
    bool degraded_;
  };
  const auto row =
      GENERATE(Row{6, 160ms, 0ms, false}, Row{6, 500ms, 0ms, false},
               Row{6, 1300ms, 0ms, true}, Row{1, 216ms, 0ms, true},
               Row{1, 27ms, 0ms, false}, Row{1, 216ms, 2s, true},
               Row{1, 216ms, 4s, false});
  FetchWindow window(
      {.initial_size_ = row.window_, .bytes_per_second_ = kBytes * 1000 / 27});
  CHECK_FALSE(window.LinkDegraded(kStart));
  window.OnChunkReceived(row.transfer_, kBytes, kStart);
  CHECK(window.LinkDegraded(kStart + row.after_) == row.degraded_);
}

/// A link that transmits one chunk at a time.
struct Link {
  struct Chunk {
    core::TimePoint requested_at_;
    core::TimePoint received_at_;
  };
  core::Duration per_chunk_;
  std::deque<Chunk> chunks_;

  [[nodiscard]] core::Duration Delay(core::TimePoint now) const {
    return chunks_.empty() ? core::Duration{}
                           : chunks_.back().received_at_ - now;
  }
  void Request(core::TimePoint now) {
    const auto begin = chunks_.empty() ? now : chunks_.back().received_at_;
    chunks_.push_back({now, std::max(begin, now) + per_chunk_});
  }
};

TEST_CASE("a link is filled without a long queue, also a degraded one",
          "[swarm]") {
  // Guards against a window that does not react to a degraded link: at an
  // eighth of the configured rate it grew to 8, and requests waited 1.6 s
  // behind chunks. The delay of datagrams did not show it, because a saturated
  // link drops them.
  struct Row {
    core::Duration per_chunk_;
    /// Upper bound of the mean queueing delay.
    core::Duration max_queue_;
  };
  // A chunk of 24 KB at 7.3 Mbit/s, and at an eighth of that.
  const auto row = GENERATE(Row{27ms, 200ms}, Row{216ms, 320ms});
  FetchWindow window({.bytes_per_second_ = kBytes * 1000 / 27});
  window.Start();
  Link link{row.per_chunk_, {}};
  std::size_t received = 0;
  core::Duration queued{};
  int samples = 0;
  core::TimePoint now = kStart;
  for (; received < 96; now += 5ms) {
    while (!link.chunks_.empty() && link.chunks_.front().received_at_ <= now) {
      window.OnChunkReceived(now - link.chunks_.front().requested_at_, kBytes,
                             now);
      link.chunks_.pop_front();
      ++received;
    }
    while (link.chunks_.size() < window.size()) {
      link.Request(now);
    }
    queued += link.Delay(now);
    ++samples;
  }
  CHECK(queued / samples < row.max_queue_);
  // The link was never idle for long.
  CHECK(now - kStart < row.per_chunk_ * 96 * 1.1);
}

}  // namespace
}  // namespace chalkwell::swarm
