// Sliding window of request and retry counts, in slices.
#include "chalkwell/routing/retry_budget.hpp"

#include <algorithm>

namespace chalkwell::routing {

std::int64_t RetryBudget::SliceIndexAt(core::TimePoint now) const noexcept {
  const auto slice = settings_.window_ / static_cast<int>(kSlices);
  return now.time_since_epoch() / slice;
}

RetryBudget::Slice& RetryBudget::SliceAt(core::TimePoint now) noexcept {
  const auto index = SliceIndexAt(now);
  auto& slice = slices_[static_cast<std::size_t>(index) % kSlices];
  if (slice.index_ != index) {
    slice = Slice{.index_ = index};
  }
  return slice;
}

double RetryBudget::Available(RetryKind kind,
                              core::TimePoint now) const noexcept {
  const auto oldest =
      SliceIndexAt(now) - static_cast<std::int64_t>(kSlices) + std::int64_t{1};
  double requests = 0;
  double retries = 0;
  for (const auto& slice : slices_) {
    if (slice.index_ >= oldest) {
      requests += static_cast<double>(slice.requests_);
      retries += static_cast<double>(slice.retries_);
    }
  }
  const double usable =
      kind == RetryKind::kResume ? 1.0 : 1.0 - settings_.resume_reserve_share_;
  const double allowed =
      settings_.share_ * requests + usable * settings_.reserve_;
  return std::max(0.0, allowed - retries);
}

void RetryBudget::OnRequest(core::TimePoint now) noexcept {
  ++SliceAt(now).requests_;
}

bool RetryBudget::TryConsume(RetryKind kind, core::TimePoint now) noexcept {
  if (Available(kind, now) < 1.0) {
    return false;
  }
  ++SliceAt(now).retries_;
  return true;
}

}  // namespace chalkwell::routing
