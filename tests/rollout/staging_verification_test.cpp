// StagingVerification in simulated time: an engine whose reads take time, that
// pauses, and whose staged chunks turn bad.
#include "chalkwell/rollout/staging_verification.hpp"

#include <rapidcheck.h>

#include <catch2/catch.hpp>
#include <functional>
#include <map>
#include <random>

namespace chalkwell::rollout {
namespace {

using namespace std::chrono_literals;

const core::TimePoint kStart{1000s};
/// An engine may load a chunk that turned bad less than this ago.
constexpr core::Duration kTolerance = 3s;
/// An engine takes an order within this time.
constexpr core::Duration kMaxOrderDelay = 2s;
/// After this time a read without a reply is given up.
constexpr core::Duration kReadTimeout = 1500ms;
constexpr core::Duration kTick = 40ms;
/// From the detection of a bad chunk until it is staged again.
constexpr core::Duration kStagingTime = 100ms;
constexpr core::Duration kPassDelay = 1s;
constexpr core::Duration kTimeLimit = 30s;
/// Passes that time out after which the engine counts as too slow.
constexpr int kMaxTimeouts = 2;

struct Scenario {
  std::size_t chunks_ = 1;
  core::Duration read_time_ = 1ms;
  /// When the engine falls silent, and for how long.
  std::map<core::Duration, core::Duration> pauses_;
  /// When which chunk turns bad.
  std::multimap<core::Duration, std::size_t> corruptions_;
  core::Duration order_delay_ = 0ms;
  StagingVerificationSettings settings_;
};

struct Outcome {
  /// When the engine took the order; empty if none was sent.
  std::optional<core::Duration> ordered_at_;
  /// Time for which the worst chunk that was loaded had been bad.
  core::Duration bad_for_{};
  int timeouts_ = 0;
  std::size_t reads_ = 0;
  std::size_t max_in_flight_ = 0;
};

class Simulation {
 public:
  explicit Simulation(const Scenario& scenario)
      : scenario_(scenario), verification_(scenario.settings_) {}

  Outcome Run() {
    verification_.Reset(scenario_.chunks_);
    verification_.Begin(kStart);
    for (const auto& [at, chunk] : scenario_.corruptions_) {
      At(at, [this, chunk = chunk] { bad_since_.emplace(chunk, now_); });
    }
    At(0ms, [this] { Tick(); });
    while (!done_ && now_ < kTimeLimit && outcome_.timeouts_ < kMaxTimeouts) {
      const auto next = events_.begin();
      now_ = next->first;
      const auto task = std::move(next->second);
      events_.erase(next);
      task();
    }
    return outcome_;
  }

 private:
  [[nodiscard]] core::TimePoint Now() const { return kStart + now_; }
  void At(core::Duration at, std::function<void()> task) {
    events_.emplace(at, std::move(task));
  }
  /// When the engine replies to a call that takes `time`.
  [[nodiscard]] core::Duration ReplyAt(core::Duration time) const {
    auto at = now_ + time;
    for (const auto& [begin, duration] : scenario_.pauses_) {
      if (at >= begin && at < begin + duration) {
        at = begin + duration;
      }
    }
    return at;
  }
  void Tick() {
    Advance();
    At(now_ + kTick, [this] { Tick(); });
  }
  void Advance() {
    if (done_ || ordered_ || waiting_) {
      return;
    }
    switch (verification_.StateAt(Now())) {
      case VerificationState::kReading:
        Read();
        break;
      case VerificationState::kVerified:
        SendOrder();
        break;
      case VerificationState::kMismatch:
        Resume(kStagingTime);
        break;
      case VerificationState::kTimedOut:
        ++outcome_.timeouts_;
        Resume(kPassDelay);
        break;
    }
  }
  void Read() {
    for (const auto chunk : verification_.Next(Now())) {
      outcome_.max_in_flight_ = std::max(outcome_.max_in_flight_, ++in_flight_);
      ++outcome_.reads_;
      // The engine reads the chunk as soon as the call arrives.
      const auto comparison = bad_since_.contains(chunk)
                                  ? ChunkComparison::kMismatch
                                  : ChunkComparison::kMatch;
      const auto reply_at = ReplyAt(scenario_.read_time_);
      const bool failed = reply_at - now_ > kReadTimeout;
      At(failed ? now_ + kReadTimeout : reply_at,
         [this, chunk,
          result = failed ? ChunkComparison::kFailed : comparison] {
           --in_flight_;
           verification_.OnRead(chunk, result, Now());
           if (result == ChunkComparison::kMismatch) {
             mismatches_.push_back(chunk);
           }
           Advance();
         });
    }
  }
  /// Stages the chunks that were found to be bad and begins another pass.
  void Resume(core::Duration delay) {
    waiting_ = true;
    At(now_ + delay, [this] {
      for (const auto chunk : std::exchange(mismatches_, {})) {
        bad_since_.erase(chunk);
        verification_.OnStaged(chunk);
      }
      waiting_ = false;
      verification_.Begin(Now());
      Advance();
    });
  }
  void SendOrder() {
    ordered_ = true;
    At(now_ + scenario_.order_delay_, [this] {
      done_ = true;
      outcome_.ordered_at_ = now_;
      for (const auto& [chunk, since] : bad_since_) {
        outcome_.bad_for_ = std::max(outcome_.bad_for_, now_ - since);
      }
    });
  }

  const Scenario& scenario_;
  StagingVerification verification_;
  std::multimap<core::Duration, std::function<void()>> events_;
  core::Duration now_{};
  std::map<std::size_t, core::Duration> bad_since_;
  std::vector<std::size_t> mismatches_;
  std::size_t in_flight_ = 0;
  bool waiting_ = false;
  bool ordered_ = false;
  bool done_ = false;
  Outcome outcome_;
};

/// Whether the reads of all chunks fit well into the maximum age.
bool IsFeasible(const Scenario& scenario) {
  const auto& settings = scenario.settings_;
  const auto cycle = scenario.read_time_ * static_cast<int>(scenario.chunks_) /
                     static_cast<int>(settings.max_reads_);
  return cycle + scenario.read_time_ <= settings.max_age_ * 3 / 4;
}

TEST_CASE("no order follows an old comparison, whatever the engine's pace",
          "[rollout]") {
  // Regression: each chunk was compared once, and the order followed the last
  // comparison, however long ago the first one was.
  const std::size_t chunks = GENERATE(1, 5, 96, 1000, 4096);
  const core::Duration read_time = GENERATE(1ms, 25ms, 400ms);
  const int pauses = GENERATE(0, 3);
  CAPTURE(chunks, read_time.count(), pauses);
  std::mt19937_64 random(chunks + static_cast<std::size_t>(pauses));
  for (int run = 0; run < 2; ++run) {
    Scenario scenario{.chunks_ = chunks,
                      .read_time_ = read_time,
                      .order_delay_ = kMaxOrderDelay};
    for (int pause = 0; pause < pauses; ++pause) {
      scenario.pauses_[std::chrono::milliseconds(random() % 5000)] = 1200ms;
    }
    for (int corruption = 0; corruption < 3; ++corruption) {
      scenario.corruptions_.emplace(std::chrono::milliseconds(random() % 5000),
                                    random() % chunks);
    }
    const auto outcome = Simulation(scenario).Run();
    CHECK(outcome.bad_for_ <= kTolerance);
    CHECK((outcome.ordered_at_.has_value() || !IsFeasible(scenario)));
    CHECK((outcome.ordered_at_.has_value() || outcome.timeouts_ > 0));
    CHECK(outcome.max_in_flight_ <= scenario.settings_.max_reads_);
  }
}

TEST_CASE("an engine that reads fast gets one read at a time", "[rollout]") {
  struct Row {
    std::size_t chunks_;
    core::Duration read_time_;
    std::size_t max_in_flight_;
  };
  const auto row = GENERATE(Row{96, 1ms, 1}, Row{96, 5ms, 1}, Row{96, 25ms, 5},
                            Row{1000, 25ms, 32}, Row{5, 700ms, 5});
  CAPTURE(row.chunks_, row.read_time_.count());
  const Scenario scenario{.chunks_ = row.chunks_, .read_time_ = row.read_time_};
  const auto outcome = Simulation(scenario).Run();
  CHECK(outcome.ordered_at_.has_value());
  CHECK(outcome.max_in_flight_ == row.max_in_flight_);
}

TEST_CASE("the simulation finds orders with old comparisons", "[rollout]") {
  // The second chunk turns bad after it was read, and the pass goes on.
  const Scenario scenario{
      .chunks_ = 96,
      .read_time_ = 25ms,
      .pauses_ = {{1000ms, 1200ms}},
      .corruptions_ = {{100ms, 2}},
      .settings_ = {.max_age_ = 10s, .max_reads_ = 1, .timeout_ = 30s}};
  CHECK(Simulation(scenario).Run().bad_for_ > kTolerance);
}

TEST_CASE("any schedule of reads, pauses and corruption keeps the bound",
          "[rollout]") {
  const bool held = rc::check([] {
    Scenario scenario{
        .chunks_ = *rc::gen::inRange<std::size_t>(1, 300),
        .read_time_ = std::chrono::milliseconds(*rc::gen::inRange(1, 80)),
        .order_delay_ = std::chrono::milliseconds(*rc::gen::inRange(0, 2001))};
    for (int pause = *rc::gen::inRange(0, 5); pause > 0; --pause) {
      scenario.pauses_[std::chrono::milliseconds(*rc::gen::inRange(0, 8000))] =
          std::chrono::milliseconds(*rc::gen::inRange(1, 3000));
    }
    for (int chunk = *rc::gen::inRange(0, 6); chunk > 0; --chunk) {
      scenario.corruptions_.emplace(
          std::chrono::milliseconds(*rc::gen::inRange(0, 8000)),
          *rc::gen::inRange<std::size_t>(0, scenario.chunks_));
    }
    const auto outcome = Simulation(scenario).Run();
    RC_ASSERT(outcome.bad_for_ <= kTolerance);
    RC_ASSERT(outcome.ordered_at_.has_value() || !IsFeasible(scenario));
  });
  CHECK(held);
}

TEST_CASE("a chunk that changes is compared again before an order",
          "[rollout]") {
  enum class Change : std::uint8_t { kMismatch, kStaged, kStagedDuringRead };
  const auto change =
      GENERATE(Change::kMismatch, Change::kStaged, Change::kStagedDuringRead);
  StagingVerification verification;
  verification.Reset(1);
  verification.Begin(kStart);
  CHECK(verification.Next(kStart) == std::vector<std::size_t>{0});
  if (change == Change::kStagedDuringRead) {
    verification.OnStaged(0);
  }
  verification.OnRead(0, ChunkComparison::kMatch, kStart);
  if (change == Change::kMismatch) {
    verification.OnMismatch(0);
  } else if (change == Change::kStaged) {
    verification.OnStaged(0);
  }
  const bool mismatch = change == Change::kMismatch;
  CHECK(
      verification.StateAt(kStart) ==
      (mismatch ? VerificationState::kMismatch : VerificationState::kReading));
  CHECK(verification.Next(kStart).empty() == mismatch);
}

TEST_CASE("a late read drops a chunk that was staged again meanwhile",
          "[rollout]") {
  struct Row {
    bool staged_;
    ChunkComparison read_;
    ChunkComparison counted_;
  };
  using enum ChunkComparison;
  const auto row =
      GENERATE(Row{true, kMismatch, kFailed}, Row{true, kMatch, kFailed},
               Row{true, kFailed, kFailed}, Row{false, kMismatch, kMismatch},
               Row{false, kMatch, kMatch}, Row{false, kFailed, kFailed});
  CAPTURE(row.staged_, static_cast<int>(row.read_));
  StagingVerification verification;
  verification.Reset(1);
  verification.Begin(kStart);
  CHECK(verification.Next(kStart).size() == 1);
  if (row.staged_) {
    verification.OnStaged(0);
  }
  CHECK(verification.OnRead(0, row.read_, kStart) == row.counted_);
}

TEST_CASE("a failed read is repeated after a delay", "[rollout]") {
  struct Row {
    core::Duration after_;
    std::size_t reads_;
  };
  const auto row = GENERATE(Row{0ms, 0}, Row{99ms, 0}, Row{100ms, 1});
  StagingVerification verification;
  verification.Reset(1);
  verification.Begin(kStart);
  CHECK(verification.Next(kStart).size() == 1);
  verification.OnRead(0, ChunkComparison::kFailed, kStart);
  CHECK(verification.AllRead());
  CHECK(verification.Next(kStart + row.after_).size() == row.reads_);
}

TEST_CASE("recent comparisons of an earlier pass are not repeated",
          "[rollout]") {
  struct Row {
    core::Duration after_;
    VerificationState state_;
    std::size_t reads_;
  };
  const auto row = GENERATE(Row{499ms, VerificationState::kVerified, 0},
                            Row{1000ms, VerificationState::kVerified, 1},
                            Row{1001ms, VerificationState::kReading, 1});
  StagingVerification verification;
  verification.Reset(1);
  verification.Begin(kStart);
  CHECK(verification.Next(kStart).size() == 1);
  verification.OnRead(0, ChunkComparison::kMatch, kStart + 200ms);
  const auto now = kStart + row.after_;
  verification.Begin(now);
  CHECK(verification.StateAt(now) == row.state_);
  CHECK(verification.Next(now).size() == row.reads_);
}

}  // namespace
}  // namespace chalkwell::rollout
