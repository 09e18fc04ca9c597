// The window of a fetch, alone and on a simulated link.
#include "chalkwell/swarm/fetch_window.hpp"

#include <catch2/catch.hpp>
#include <deque>

namespace chalkwell::swarm {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart(1h);
constexpr std::size_t kBytes = 24'600;

TEST_CASE("a window grows by arrivals on a quick link, within its bounds",
          "[swarm]") {
  FetchWindow window({.least_ = 1, .first_ = 2, .most_ = 4});
  for (int chunk = 0; chunk < 40; ++chunk) {
    window.OnChunkReceived(40ms, kBytes, kStart + chunk * 30ms);
  }
  CHECK(window.size() == 4);
}

TEST_CASE("a window is halved once a while when the link holds back",
          "[swarm]") {
  struct Row {
    core::Duration after_;
    std::size_t size_;
  };
  const auto row = GENERATE(Row{0ms, 4}, Row{100ms, 4}, Row{320ms, 2},
                            Row{620ms, 1}, Row{5s, 1});
  FetchWindow window({.first_ = 8});
  for (core::Duration at = 0ms; at <= row.after_; at += 20ms) {
    window.OnChunkReceived(400ms, kBytes, kStart + at);
  }
  CHECK(window.size() == row.size_);
  window.Start();
  CHECK(window.size() == std::min<std::size_t>(row.size_, 8));
}

TEST_CASE("between the two delays nothing changes", "[swarm]") {
  FetchWindow window({.first_ = 3});
  for (int chunk = 0; chunk < 40; ++chunk) {
    window.OnChunkReceived(120ms, kBytes, kStart + chunk * 30ms);
  }
  CHECK(window.size() == 3);
}

TEST_CASE("a link's delay is what the quickest of the last chunks shows",
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

TEST_CASE("a link that brings a small part of its rate is narrowed",
          "[swarm]") {
  struct Row {
    std::size_t window_;
    core::Duration transfer_;
    core::Duration after_;
    bool narrowed_;
  };
  const auto row =
      GENERATE(Row{6, 160ms, 0ms, false}, Row{6, 500ms, 0ms, false},
               Row{6, 1300ms, 0ms, true}, Row{1, 216ms, 0ms, true},
               Row{1, 27ms, 0ms, false}, Row{1, 216ms, 2s, true},
               Row{1, 216ms, 4s, false});
  FetchWindow window(
      {.first_ = row.window_, .bytes_per_second_ = kBytes * 1000 / 27});
  CHECK_FALSE(window.LinkDegraded(kStart));
  window.OnChunkReceived(row.transfer_, kBytes, kStart);
  CHECK(window.LinkDegraded(kStart + row.after_) == row.narrowed_);
}

/// A link that serves one chunk after the other.
struct Link {
  struct Chunk {
    core::TimePoint asked_;
    core::TimePoint arrives_;
  };
  core::Duration per_chunk_;
  std::deque<Chunk> chunks_;

  [[nodiscard]] core::Duration Delay(core::TimePoint now) const {
    return chunks_.empty() ? core::Duration{} : chunks_.back().arrives_ - now;
  }
  void Ask(core::TimePoint now) {
    const auto begin = chunks_.empty() ? now : chunks_.back().arrives_;
    chunks_.push_back({now, std::max(begin, now) + per_chunk_});
  }
};

TEST_CASE("a link is filled without a long queue, also a narrowed one",
          "[swarm]") {
  // Seen: on a link of an eighth the window grew to 8, and requests waited for
  // 1.6 s behind chunks; delays of datagrams, which a full link drops, had told
  // of nothing.
  struct Row {
    core::Duration per_chunk_;
    /// The queue that requests find on average is bounded by this.
    core::Duration queue_;
  };
  // A piece of 24 KB at 7.3 Mbit/s, and at an eighth of that.
  const auto row = GENERATE(Row{27ms, 200ms}, Row{216ms, 320ms});
  FetchWindow window({.bytes_per_second_ = kBytes * 1000 / 27});
  window.Start();
  Link link{row.per_chunk_, {}};
  std::size_t arrived = 0;
  core::Duration queued{};
  int samples = 0;
  core::TimePoint now = kStart;
  for (; arrived < 96; now += 5ms) {
    while (!link.chunks_.empty() && link.chunks_.front().arrives_ <= now) {
      window.OnChunkReceived(now - link.chunks_.front().asked_, kBytes, now);
      link.chunks_.pop_front();
      ++arrived;
    }
    while (link.chunks_.size() < window.size()) {
      link.Ask(now);
    }
    queued += link.Delay(now);
    ++samples;
  }
  CHECK(queued / samples < row.queue_);
  // The link never stood still for long.
  CHECK(now - kStart < row.per_chunk_ * 96 * 1.1);
}

}  // namespace
}  // namespace chalkwell::swarm
