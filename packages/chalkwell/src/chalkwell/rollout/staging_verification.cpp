// Scheduling of the reads by age, and the number of reads in flight.
#include "chalkwell/rollout/staging_verification.hpp"

#include <algorithm>
#include <utility>

namespace chalkwell::rollout {
namespace {

/// Weight of a new sample in the moving average of read times.
constexpr int kReadTimeWeight = 4;
/// All chunks are to be read in this fraction of the maximum age. The rest is
/// for chunks that are read a second time, after the engine paused.
constexpr int kCycleFraction = 2;
/// A pass reads one chunk at a time for this fraction of the time for a cycle,
/// and goes by the read time that it measured from then on.
constexpr int kProbeFraction = 4;

}  // namespace

void StagingVerification::Reset(std::size_t chunks) {
  chunks_.assign(chunks, {});
  in_flight_ = 0;
  unread_ = chunks;
}

void StagingVerification::Begin(core::TimePoint now) {
  begun_at_ = now;
  reads_ = 0;
}

std::size_t StagingVerification::Window(core::TimePoint now) const {
  const auto cycle = settings_.max_age_ / kCycleFraction;
  if (read_time_ == core::Duration{} || Elapsed(now) < cycle / kProbeFraction) {
    return 1;
  }
  const auto needed =
      static_cast<std::size_t>(chunks_.size() * read_time_ / cycle) + 1;
  return std::min(needed, settings_.max_reads_);
}

std::vector<std::size_t> StagingVerification::Next(core::TimePoint now) {
  const auto window = Window(now);
  if (in_flight_ >= window) {
    return {};
  }
  std::vector<std::size_t> due;
  for (std::size_t index = 0; index < chunks_.size(); ++index) {
    if (IsDue(chunks_[index], now)) {
      due.push_back(index);
    }
  }
  const auto count = std::min(due.size(), window - in_flight_);
  // An empty time is before all others.
  std::ranges::partial_sort(
      due, due.begin() + static_cast<std::ptrdiff_t>(count), {},
      [this](std::size_t index) {
        return std::pair(chunks_[index].matched_at_, index);
      });
  due.resize(count);
  for (const auto index : due) {
    chunks_[index].sent_at_ = now;
    chunks_[index].changed_ = false;
  }
  in_flight_ += count;
  return due;
}

bool StagingVerification::IsDue(const Chunk& chunk, core::TimePoint now) const {
  if (chunk.mismatch_ || chunk.sent_at_ || now < chunk.retry_at_) {
    return false;
  }
  return !chunk.matched_at_ ||
         now - *chunk.matched_at_ >= settings_.max_age_ / kCycleFraction;
}

ChunkComparison StagingVerification::OnRead(std::size_t index,
                                            ChunkComparison comparison,
                                            core::TimePoint now) {
  auto& chunk = chunks_.at(index);
  if (!chunk.sent_at_) {
    return ChunkComparison::kFailed;
  }
  const auto sent_at = *chunk.sent_at_;
  chunk.sent_at_.reset();
  --in_flight_;
  ++reads_;
  if (!chunk.read_) {
    chunk.read_ = true;
    --unread_;
  }
  if (comparison == ChunkComparison::kFailed) {
    chunk.retry_at_ = now + settings_.retry_delay_;
    return comparison;
  }
  const auto time = now - sent_at;
  read_time_ = read_time_ == core::Duration{}
                   ? time
                   : read_time_ + (time - read_time_) / kReadTimeWeight;
  if (chunk.changed_) {
    return ChunkComparison::kFailed;
  }
  if (chunk.mismatch_) {
    return ChunkComparison::kMismatch;
  }
  if (comparison == ChunkComparison::kMatch) {
    chunk.matched_at_ = sent_at;
  } else {
    OnMismatch(index);
  }
  return comparison;
}

void StagingVerification::OnMismatch(std::size_t index) {
  auto& chunk = chunks_.at(index);
  chunk.matched_at_.reset();
  chunk.mismatch_ = true;
}

void StagingVerification::OnStaged(std::size_t index) {
  auto& chunk = chunks_.at(index);
  chunk.matched_at_.reset();
  chunk.mismatch_ = false;
  chunk.changed_ = true;
}

bool StagingVerification::IsCompared(const Chunk& chunk,
                                     core::TimePoint now) const {
  return chunk.mismatch_ || (chunk.matched_at_ &&
                             (*chunk.matched_at_ >= begun_at_ ||
                              now - *chunk.matched_at_ <= settings_.max_age_));
}

VerificationState StagingVerification::StateAt(core::TimePoint now) const {
  if (const auto age = OldestAge(now); age && *age <= settings_.max_age_) {
    return VerificationState::kVerified;
  }
  const bool mismatch = std::ranges::any_of(
      chunks_, [](const Chunk& chunk) { return chunk.mismatch_; });
  const bool timed_out = Elapsed(now) >= settings_.timeout_;
  const bool all_compared = std::ranges::all_of(
      chunks_,
      [this, now](const Chunk& chunk) { return IsCompared(chunk, now); });
  if (mismatch && (all_compared || timed_out)) {
    return VerificationState::kMismatch;
  }
  return timed_out ? VerificationState::kTimedOut : VerificationState::kReading;
}

std::optional<core::Duration> StagingVerification::OldestAge(
    core::TimePoint now) const {
  core::Duration oldest{};
  for (const auto& chunk : chunks_) {
    if (!chunk.matched_at_) {
      return std::nullopt;
    }
    oldest = std::max(oldest, now - *chunk.matched_at_);
  }
  return oldest;
}

}  // namespace chalkwell::rollout
