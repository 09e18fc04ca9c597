// Limits on the use of older versions.
#include "chalkwell/rollout/version_bound.hpp"

#include <algorithm>
#include <iterator>

namespace chalkwell::rollout {
namespace {

/// Versions kept; any older one was superseded long ago.
constexpr std::size_t kMaxVersions = 64;
/// Smallest correction of a known time. Smaller differences are errors of
/// measurement, which would add up as processes pass times on to each other.
constexpr auto kMinCorrection = std::chrono::milliseconds(200);

}  // namespace

VersionChange VersionBound::OnVersionPublished(std::uint64_t version,
                                               core::TimePoint at) {
  const auto change =
      version > newest() ? VersionChange::kNewer : VersionChange::kCorrected;
  const auto known = std::ranges::lower_bound(published_, version, {},
                                              &PublishedVersion::version_);
  if (known == published_.end() || known->version_ != version) {
    published_.insert(known, {version, at});
  } else if (known->published_at_ - at >= kMinCorrection) {
    known->published_at_ = at;
  } else {
    return VersionChange::kNone;
  }
  OrderTimes();
  if (published_.size() > kMaxVersions) {
    published_.pop_front();
  }
  return change;
}

void VersionBound::OrderTimes() noexcept {
  for (auto next = published_.rbegin(); next != published_.rend(); ++next) {
    const auto earlier = std::next(next);
    if (earlier != published_.rend()) {
      earlier->published_at_ =
          std::min(earlier->published_at_, next->published_at_);
    }
  }
}

std::vector<PublishedVersion> VersionBound::Limiting(
    core::Duration use_limit, core::TimePoint now) const {
  const auto minimum = MinVersion(use_limit, now);
  std::vector<PublishedVersion> versions;
  std::ranges::copy_if(
      published_, std::back_inserter(versions),
      [&](const PublishedVersion& known) { return known.version_ >= minimum; });
  return versions;
}

std::uint64_t VersionBound::MinVersion(core::Duration use_limit,
                                       core::TimePoint now) const noexcept {
  std::uint64_t minimum = 0;
  for (const auto& known : published_) {
    if (now - known.published_at_ >= use_limit) {
      minimum = known.version_;
    }
  }
  return minimum;
}

std::optional<core::TimePoint> VersionBound::ExpiryOf(
    std::uint64_t version, core::Duration use_limit) const noexcept {
  for (const auto& known : published_) {
    if (known.version_ > version) {
      return known.published_at_ + use_limit;
    }
  }
  return std::nullopt;
}

routing::VersionConstraint VersionBound::ConstraintAt(
    core::Duration use_limit, core::Duration margin,
    core::TimePoint now) const noexcept {
  routing::VersionConstraint constraint;
  for (const auto& known : published_) {
    const auto until = known.published_at_ + use_limit - margin;
    if (now >= until) {
      constraint.min_version_ = known.version_;
      continue;
    }
    constraint.next_min_version_ = known.version_;
    constraint.next_min_at_ = until;
    break;
  }
  return constraint;
}

}  // namespace chalkwell::rollout
