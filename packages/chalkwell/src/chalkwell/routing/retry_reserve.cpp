// This entry's part of the deployment's retry reserve.
#include "chalkwell/routing/retry_reserve.hpp"

namespace chalkwell::routing {
namespace {

/// Part of the reserve that is divided. The rest covers attempts that arrive
/// later than they were counted, since their connections open late.
constexpr double kDividedShare = 0.9;

/// Time for which an entry that is not seen any more is counted.
constexpr auto kViewWindow = std::chrono::seconds(60);

}  // namespace

RetryReserve::RetryReserve(core::TimePoint started,
                           core::Duration window) noexcept
    : started_(started),
      window_(window),
      domains_(kViewWindow),
      local_entries_(kViewWindow) {}

void RetryReserve::SetView(std::size_t domains, std::size_t local_entries,
                           core::TimePoint now) noexcept {
  domains_.Add(domains, now);
  local_entries_.Add(local_entries, now);
}

RetryAllowance RetryReserve::PartAt(core::TimePoint now) noexcept {
  const auto parts = domains_.Get(now) * local_entries_.Get(now);
  if (parts == 0) {
    return AllowanceOf(0);
  }
  auto part = AllowanceOf(kDividedShare * total_ / static_cast<double>(parts));
  if (now - started_ < window_) {
    part.reserve_ = 0;
  }
  return part;
}

}  // namespace chalkwell::routing
