// Converts the settings file into the settings of the direct path's components.
#pragma once

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/data_residency.hpp"
#include "chalkwell/routing/request_memory.hpp"
#include "chalkwell/routing/retry_budget.hpp"
#include "daemon/direct/endpoint_list.hpp"
#include "daemon/direct/mesh_node.hpp"
#include "daemon/direct/published_reader.hpp"
#include "daemon/settings.hpp"

namespace chalkwell::daemon::direct {

/// @brief Time from the publication of a target version until no request may
/// start on an older one; practically unbounded if 0 is set.
[[nodiscard]] core::Duration OlderVersionUseLimitOf(const Settings& settings);
/// @brief Settings before the entry knows its part of the reserve.
[[nodiscard]] routing::RetryBudgetSettings RetryBudgetOf(
    const Settings& settings);
/// @brief Memory that callers' connections may hold.
[[nodiscard]] routing::RequestMemorySettings RequestMemoryOf(
    const Settings& settings);
[[nodiscard]] PublishedReaderSettings ReaderSettingsOf(
    const Settings& settings);
[[nodiscard]] EndpointListSettings EndpointListSettingsOf(
    const Settings& settings);
[[nodiscard]] MeshSettings MeshSettingsOf(const Settings& settings);
[[nodiscard]] routing::DomainRegions DomainRegionsOf(const Settings& settings);

/// @brief Rate of the machine's network link in bytes per second; 0 if not set.
[[nodiscard]] std::uint64_t LinkRate(const Settings& settings);

}  // namespace chalkwell::daemon::direct
