// Limits on the use of older versions.
#include "chalkwell/rollout/version_bound.hpp"

namespace chalkwell::rollout {
namespace {

/// Versions kept; any older one was superseded long ago.
constexpr std::size_t kMaxVersions = 64;

}  // namespace

bool VersionBound::OnVersionPublished(std::uint64_t version,
                                      core::TimePoint now) {
  if (version <= newest()) {
    return false;
  }
  published_.push_back({version, now});
  if (published_.size() > kMaxVersions) {
    published_.pop_front();
  }
  return true;
}

std::uint64_t VersionBound::MinVersion(core::Duration use_limit,
                                       core::TimePoint now) const noexcept {
  std::uint64_t minimum = 0;
  for (const auto& known : published_) {
    if (now - known.received_at_ >= use_limit) {
      minimum = known.version_;
    }
  }
  return minimum;
}

std::optional<core::TimePoint> VersionBound::ExpiryOf(
    std::uint64_t version, core::Duration use_limit) const noexcept {
  for (const auto& known : published_) {
    if (known.version_ > version) {
      return known.received_at_ + use_limit;
    }
  }
  return std::nullopt;
}

routing::VersionConstraint VersionBound::ConstraintAt(
    core::Duration use_limit, core::Duration margin,
    core::TimePoint now) const noexcept {
  routing::VersionConstraint constraint;
  for (const auto& known : published_) {
    const auto until = known.received_at_ + use_limit - margin;
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
