// Parts of the settings as the direct processes use them.
#pragma once

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/routing/retry_budget.hpp"
#include "daemon/direct/endpoint_list.hpp"
#include "daemon/direct/mesh_node.hpp"
#include "daemon/direct/published_reader.hpp"
#include "daemon/settings.hpp"

namespace chalkwell::daemon::direct {

/// @brief From the naming of weights until nothing may begin on older ones.
[[nodiscard]] core::Duration VersionBoundOf(const Settings& settings);
[[nodiscard]] routing::RetryBudgetSettings RetryBudgetOf(
    const Settings& settings);
[[nodiscard]] PublishedReaderSettings ReaderSettingsOf(
    const Settings& settings);
[[nodiscard]] EndpointListSettings EndpointListSettingsOf(
    const Settings& settings);
[[nodiscard]] MeshSettings MeshSettingsOf(const Settings& settings);

/// @brief Rate of the machine's link in bytes a second; 0 when not set.
[[nodiscard]] std::uint64_t LinkRate(const Settings& settings);

}  // namespace chalkwell::daemon::direct
