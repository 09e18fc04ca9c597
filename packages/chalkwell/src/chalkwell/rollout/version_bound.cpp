// Bounds of versions.
#include "chalkwell/rollout/version_bound.hpp"

namespace chalkwell::rollout {
namespace {

/// Versions kept; one that is older was superseded long ago.
constexpr std::size_t kMaxNamed = 64;

}  // namespace

bool VersionBound::OnVersionPublished(std::uint64_t version,
                                      core::TimePoint now) {
  if (version <= newest()) {
    return false;
  }
  named_.push_back({version, now});
  if (named_.size() > kMaxNamed) {
    named_.pop_front();
  }
  return true;
}

std::uint64_t VersionBound::MinVersion(core::Duration bound,
                                       core::TimePoint now) const noexcept {
  std::uint64_t least = 0;
  for (const auto& named : named_) {
    if (now - named.heard_at_ >= bound) {
      least = named.version_;
    }
  }
  return least;
}

std::optional<core::TimePoint> VersionBound::ExpiryOf(
    std::uint64_t version, core::Duration bound) const noexcept {
  for (const auto& named : named_) {
    if (named.version_ > version) {
      return named.heard_at_ + bound;
    }
  }
  return std::nullopt;
}

routing::VersionConstraint VersionBound::ConstraintAt(
    core::Duration bound, core::Duration margin,
    core::TimePoint now) const noexcept {
  routing::VersionConstraint rule;
  for (const auto& named : named_) {
    const auto until = named.heard_at_ + bound - margin;
    if (now >= until) {
      rule.min_version_ = named.version_;
      continue;
    }
    rule.next_min_version_ = named.version_;
    rule.next_min_at_ = until;
    break;
  }
  return rule;
}

}  // namespace chalkwell::rollout
