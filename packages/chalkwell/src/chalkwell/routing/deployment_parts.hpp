// Number of parts into which a limit of the whole deployment is divided, so
// that its entries keep it without asking each other.
#pragma once

#include <cstddef>

#include "chalkwell/core/fwd.hpp"
#include "chalkwell/core/window_maximum.hpp"
#include "chalkwell/routing/fwd.hpp"

namespace chalkwell::routing {

/// @brief Entries between which a limit is divided: not those that are seen to
/// be live, since others may only be cut off.
///
/// Each failure domain has the same part, whoever is live there, and its
/// entries have equal parts of it.
class DeploymentParts {
 public:
  DeploymentParts() noexcept;

  /// @brief Sets the failure domains of the deployment.
  void SetDomains(std::size_t domains, core::TimePoint now) noexcept;
  /// @brief Sets the known live entries of the own failure domain, this one
  /// included. Not to be called before the process has found other entries,
  /// unless it is the only one.
  void SetLocalEntries(std::size_t entries, core::TimePoint now) noexcept;

  /// @brief Whether the entries of the own failure domain are known.
  [[nodiscard]] bool known(core::TimePoint now) noexcept;
  /// @brief Number of parts, at least 1; those of the failure domains only
  /// until the entries are known.
  [[nodiscard]] std::size_t Count(core::TimePoint now) noexcept;

 private:
  /// Largest numbers of the last minute.
  core::WindowMaximum domains_;
  core::WindowMaximum local_entries_;
};

}  // namespace chalkwell::routing
