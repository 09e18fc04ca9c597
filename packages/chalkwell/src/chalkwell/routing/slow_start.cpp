// Subsets are selected by hashing, so the number of entries that use an
// endpoint varies around its expected value.
#include "chalkwell/routing/slow_start.hpp"

#include <algorithm>
#include <cmath>

#include "chalkwell/core/digest.hpp"
#include "chalkwell/core/milliseconds.hpp"

namespace chalkwell::routing {
namespace {

/// Share of an endpoint's rate for the entries whose subset contains it.
constexpr double kSubsetRateShare = 0.95;
/// Share of its rate for all other entries.
constexpr double kOtherRateShare = 0.2;
/// Minimum interval of an entry that does not know the number of entries yet,
/// if any of them may use the endpoint.
constexpr auto kUnknownEntriesInterval = std::chrono::seconds(5);
/// Users of an endpoint per endpoint in a subset that such an entry assumes if
/// the subset is only a part of the endpoints: there are about as many entries
/// as endpoints, and some endpoints belong to more subsets than others.
constexpr double kAssumedUsersPerSubsetEndpoint = 1.5;
constexpr double kMsPerSecond = 1000;

/// Standard deviations above the expected number of users that are assumed.
constexpr double kUserDeviations = 2;

/// Number of entries whose subset contains an endpoint, hardly ever exceeded.
double SubsetUsers(const SlowStartSharers& sharers) {
  const auto endpoints = std::max<std::size_t>(sharers.endpoints_, 1);
  const auto used = std::min(sharers.subset_size_, endpoints);
  const auto entries = static_cast<double>(sharers.entries_);
  const auto expected =
      entries * static_cast<double>(used) / static_cast<double>(endpoints);
  const auto reported = static_cast<double>(sharers.reported_users_);
  if (!sharers.entries_known_) {
    const auto assumed = kAssumedUsersPerSubsetEndpoint *
                         static_cast<double>(sharers.subset_size_);
    return std::max({reported, expected, assumed});
  }
  if (reported > 0) {
    return std::max(reported, expected);
  }
  const auto deviation = std::sqrt(expected);
  return std::min(entries, expected + kUserDeviations * deviation + 1);
}

}  // namespace

core::Duration SlowStartInterval(const config::SlowStart& limit,
                                 const SlowStartSharers& sharers,
                                 bool in_subset) {
  const auto users =
      in_subset ? SubsetUsers(sharers) : static_cast<double>(sharers.entries_);
  const auto share = in_subset ? kSubsetRateShare : kOtherRateShare;
  const auto interval =
      core::FromMs(kMsPerSecond * users / (share * limit.requests_per_second_));
  const bool users_bounded =
      in_subset && sharers.endpoints_ > sharers.subset_size_;
  return sharers.entries_known_ || users_bounded
             ? interval
             : std::max<core::Duration>(interval, kUnknownEntriesInterval);
}

core::Duration SlowStartOffset(const core::InstanceId& entry,
                               const core::InstanceId& endpoint,
                               core::Duration interval) {
  constexpr int kFractionBits = 53;
  const auto score = core::RendezvousScore(endpoint.value(), entry.value());
  const auto fraction = std::ldexp(
      static_cast<double>(score >> (64 - kFractionBits)), -kFractionBits);
  return core::FromMs(core::ToMs(interval) * fraction);
}

void SlowStartState::Begin(core::TimePoint now, core::TimePoint until) {
  if (!Active(now)) {
    begin_ = now;
  }
  end_ = std::max(end_, until);
}

void SlowStartState::SetEnd(core::TimePoint now, core::TimePoint end) {
  if (!Active(now)) {
    begin_ = now;
  }
  end_ = end;
}

core::TimePoint SlowStartState::NextSend(core::Duration interval,
                                         core::Duration offset) const noexcept {
  const auto first = begin_ + offset;
  return last_sent_ >= begin_ ? last_sent_ + interval : first;
}

}  // namespace chalkwell::routing
