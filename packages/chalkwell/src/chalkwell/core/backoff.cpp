// The full delay doubles from the initial to the maximum delay; the delay
// returned is random between half of it and all of it.
#include "chalkwell/core/backoff.hpp"

#include <algorithm>

namespace chalkwell::core {
namespace {

/// Bounds the shift; enough to reach the maximum delay of all settings in use.
constexpr unsigned kMaxDoublings = 10;

}  // namespace

Backoff::Backoff(BackoffSettings settings, std::uint64_t seed)
    : settings_(settings), random_(seed) {}

Duration Backoff::OnFailure(TimePoint now) {
  const auto full_delay = std::min(settings_.initial_delay_ * (1U << failures_),
                                   settings_.max_delay_);
  failures_ = std::min(failures_ + 1, kMaxDoublings);
  std::uniform_int_distribution<Duration::rep> jitter(0,
                                                      full_delay.count() / 2);
  const auto delay = full_delay / 2 + Duration(jitter(random_));
  ready_at_ = now + delay;
  return delay;
}

}  // namespace chalkwell::core
