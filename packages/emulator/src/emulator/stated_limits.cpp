// A limit by load is fixed when it begins: it does not follow the lower rate
// that it causes.
#include "emulator/stated_limits.hpp"

#include <algorithm>
#include <utility>

namespace chalkwell::emulator {
namespace {

/// Over which an engine measures the rate of its requests.
constexpr std::chrono::seconds kRateWindow(4);

}  // namespace

StatedLimits::StatedLimits(std::vector<StatedRateLimit> fixed,
                           std::optional<LoadRateLimit> by_load,
                           std::size_t engines, core::TimePoint start)
    : fixed_(std::move(fixed)),
      by_load_(by_load),
      start_(start),
      engines_(engines) {}

void StatedLimits::OnReceived(std::size_t engine, std::size_t requests,
                              core::TimePoint now) {
  if (!by_load_) {
    return;
  }
  auto& state = engines_[engine];
  auto& received = state.received_;
  received.push_back(now);
  while (now - received.front() > kRateWindow) {
    received.pop_front();
  }
  if (now < state.limited_until_ || requests < by_load_->min_requests_) {
    return;
  }
  const std::chrono::duration<double> window = kRateWindow;
  state.requests_per_second_ =
      by_load_->share_ * static_cast<double>(received.size()) / window.count();
  state.limited_until_ = now + by_load_->duration_;
}

std::optional<double> StatedLimits::LimitOf(std::size_t engine,
                                            core::TimePoint now) const {
  const auto fixed =
      std::ranges::find_if(fixed_, [&](const StatedRateLimit& limit) {
        return limit.engine_ == engine && now - start_ >= limit.at_;
      });
  if (fixed != fixed_.end()) {
    return fixed->requests_per_second_;
  }
  const auto& state = engines_[engine];
  return now < state.limited_until_ ? std::optional(state.requests_per_second_)
                                    : std::nullopt;
}

std::size_t StatedLimits::LimitedCount(core::TimePoint now) const {
  std::size_t count = 0;
  for (std::size_t engine = 0; engine < engines_.size(); ++engine) {
    count += LimitOf(engine, now) ? 1 : 0;
  }
  return count;
}

}  // namespace chalkwell::emulator
