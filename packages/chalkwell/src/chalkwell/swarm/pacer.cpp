// Token bucket kept as a virtual clock: each byte advances the time at which
// the link becomes free.
#include "chalkwell/swarm/pacer.hpp"

#include <algorithm>

namespace chalkwell::swarm {

Pacer::Pacer(std::uint64_t bytes_per_second, core::Duration burst)
    : bytes_per_second_(bytes_per_second), burst_(burst) {}

core::Duration Pacer::TimeFor(std::uint64_t bytes) const noexcept {
  if (bytes_per_second_ == 0) {
    return {};
  }
  const std::chrono::duration<double> seconds(
      static_cast<double>(bytes) / static_cast<double>(bytes_per_second_));
  return std::chrono::duration_cast<core::Duration>(seconds);
}

void Pacer::OnRequestBytes(std::uint64_t bytes, core::TimePoint now) {
  free_at_ = std::max(free_at_, now - burst_) + TimeFor(bytes);
}

core::Duration Pacer::Reserve(std::uint64_t bytes, core::TimePoint now) {
  const auto wait = BacklogDelay(now);
  free_at_ = std::max(free_at_, now - burst_) + TimeFor(bytes);
  return wait;
}

core::Duration Pacer::BacklogDelay(core::TimePoint now) const {
  return std::max(core::Duration{}, free_at_ - now);
}

}  // namespace chalkwell::swarm
