// Versions may be announced out of order, so the oldest announcement is not
// always that of the lowest version.
#include "chalkwell/config/announced_versions.hpp"

#include <algorithm>
#include <iterator>

namespace chalkwell::config {

void AnnouncedVersions::OnAnnounced(std::uint64_t version,
                                    const core::InstanceId& source,
                                    core::TimePoint now) {
  if (version <= applied_) {
    return;
  }
  pending_.try_emplace(version, AnnouncedVersion{version, now, source});
  if (pending_.size() <= kMaxVersions) {
    return;
  }
  // The newest version keeps the earlier of both times, so that the lag is
  // never understated.
  const auto newest = std::prev(pending_.end());
  const auto previous = std::prev(newest);
  newest->second.announced_at_ =
      std::min(newest->second.announced_at_, previous->second.announced_at_);
  pending_.erase(previous);
}

void AnnouncedVersions::OnApplied(std::uint64_t version) {
  applied_ = std::max(applied_, version);
  pending_.erase(pending_.begin(), pending_.upper_bound(applied_));
}

std::optional<AnnouncedVersion> AnnouncedVersions::Oldest() const {
  const auto oldest = std::ranges::min_element(
      pending_, {},
      [](const auto& entry) { return entry.second.announced_at_; });
  return oldest == pending_.end() ? std::nullopt
                                  : std::optional(oldest->second);
}

std::optional<AnnouncedVersion> AnnouncedVersions::Newest() const {
  return pending_.empty() ? std::nullopt
                          : std::optional(pending_.rbegin()->second);
}

std::uint64_t AnnouncedVersions::NewestAt(core::TimePoint time) const {
  const auto found = std::find_if(
      pending_.rbegin(), pending_.rend(),
      [time](const auto& entry) { return entry.second.announced_at_ <= time; });
  return found == pending_.rend() ? 0 : found->first;
}

core::Duration AnnouncedVersions::LagAt(core::TimePoint now) const {
  const auto oldest = Oldest();
  return oldest ? std::max<core::Duration>(now - oldest->announced_at_, {})
                : core::Duration{};
}

}  // namespace chalkwell::config
