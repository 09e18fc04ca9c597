// The pause grows from 1x to 2^n x its first length.
#include "chalkwell/core/backoff.hpp"

#include <algorithm>

namespace chalkwell::core {
namespace {

/// More doublings than any pause here needs to reach its longest.
constexpr unsigned kMaxDoublings = 10;

}  // namespace

Backoff::Backoff(BackoffSettings settings, std::uint64_t seed)
    : settings_(settings), random_(seed) {}

Duration Backoff::OnFailure(TimePoint now) {
  const auto whole = std::min(settings_.initial_delay_ * (1U << failures_),
                              settings_.max_delay_);
  failures_ = std::min(failures_ + 1, kMaxDoublings);
  std::uniform_int_distribution<Duration::rep> jitter(0, whole.count() / 2);
  const auto wait = whole / 2 + Duration(jitter(random_));
  ready_at_ = now + wait;
  return wait;
}

}  // namespace chalkwell::core
