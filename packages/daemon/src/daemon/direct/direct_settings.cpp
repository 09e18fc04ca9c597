// Converts the settings file into the settings of the direct path's components.
#include "daemon/direct/direct_settings.hpp"

namespace chalkwell::daemon::direct {
namespace {

constexpr double kBytesPerMegabit = 125'000;
/// Used when no limit is set; longer than any process runs.
constexpr core::Duration kNoUseLimit = std::chrono::hours(10'000);

}  // namespace

std::uint64_t LinkRate(const Settings& settings) {
  return static_cast<std::uint64_t>(settings.Real("weights", "link_mbps") *
                                    kBytesPerMegabit);
}

core::Duration OlderVersionUseLimitOf(const Settings& settings) {
  const auto limit = settings.Milliseconds("rollout", "version_bound_ms");
  return limit == core::Duration{} ? kNoUseLimit : limit;
}

routing::RetryBudgetSettings RetryBudgetOf(const Settings& settings) {
  routing::RetryBudgetSettings budget;
  budget.share_ = settings.Real("requests", "retry_share");
  budget.allowance_ = routing::AllowanceOf(0);
  return budget;
}

routing::RequestMemorySettings RequestMemoryOf(const Settings& settings) {
  constexpr double kBytesPerMegabyte = 1e6;
  routing::RequestMemorySettings memory;
  memory.total_bytes_ = static_cast<std::size_t>(
      settings.Real("process", "memory_mb") * kBytesPerMegabyte *
      settings.Real("requests", "memory_share"));
  return memory;
}

PublishedReaderSettings ReaderSettingsOf(const Settings& settings) {
  PublishedReaderSettings reader;
  reader.watch_wait_ = settings.Milliseconds("platform", "watch_wait_ms");
  reader.poll_interval_ = settings.Milliseconds("platform", "poll_ms");
  return reader;
}

EndpointListSettings EndpointListSettingsOf(const Settings& settings) {
  EndpointListSettings list;
  list.read_interval_ = settings.Milliseconds("platform", "poll_ms");
  list.drain_bound_ = settings.Milliseconds("platform", "leave_bound_ms");
  list.renewal_interval_ = settings.Milliseconds("platform", "renewal_ms");
  return list;
}

MeshSettings MeshSettingsOf(const Settings& settings) {
  MeshSettings mesh;
  mesh.listen_ = ParseAddress(settings.Text("listen", "peer"));
  for (const auto& seed : settings.List("mesh", "seeds")) {
    mesh.seeds_.push_back(ParseAddress(seed));
  }
  mesh.interval_ = settings.Milliseconds("mesh", "interval_ms");
  return mesh;
}

routing::DomainRegions DomainRegionsOf(const Settings& settings) {
  routing::DomainRegions regions;
  for (const auto& [domain, region] : settings.Pairs("routing", "region")) {
    regions[core::FailureDomainId(domain)] = core::RegionId(region);
  }
  return regions;
}

}  // namespace chalkwell::daemon::direct
