// Largest numbers of failure domains and of entries that were known lately.
#include "chalkwell/routing/deployment_parts.hpp"

#include <algorithm>

namespace chalkwell::routing {
namespace {

/// Time for which an entry that is not seen any more is counted.
constexpr auto kViewWindow = std::chrono::seconds(60);

}  // namespace

DeploymentParts::DeploymentParts() noexcept
    : domains_(kViewWindow), local_entries_(kViewWindow) {}

void DeploymentParts::SetDomains(std::size_t domains,
                                 core::TimePoint now) noexcept {
  domains_.Add(domains, now);
}

void DeploymentParts::SetLocalEntries(std::size_t entries,
                                      core::TimePoint now) noexcept {
  local_entries_.Add(entries, now);
}

bool DeploymentParts::known(core::TimePoint now) noexcept {
  return local_entries_.Get(now) > 0;
}

std::size_t DeploymentParts::Count(core::TimePoint now) noexcept {
  return std::max<std::size_t>(domains_.Get(now), 1) *
         std::max<std::size_t>(local_entries_.Get(now), 1);
}

}  // namespace chalkwell::routing
