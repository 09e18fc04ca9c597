// One run of the soak: a deployment, its callers, its troubles, what was found.
#pragma once

#include <iosfwd>
#include <string>

#include "soak/troubles.hpp"

namespace chalkwell::soak {

/// @brief What a run is made of.
struct RunSettings {
  WorldSettings world_;
  TroubleSettings troubles_;
  /// Requests of callers a second.
  unsigned rate_ = 300;
};

/// @brief What a run showed.
struct RunResult {
  bool started_ = false;
  std::vector<Finding> findings_;
  std::map<int, std::uint64_t> answers_;
  std::map<std::string, unsigned> played_;
  std::uint64_t arrivals_ = 0;
  Times late_sends_;
  std::map<std::string, std::vector<CrashSeen>> crashes_;
  std::uint64_t suspected_ = 0;
  /// Ages of the lists by which attempts were chosen, as entries logged them.
  Times list_ages_;
};

/// @brief Plays one run; the logs of its processes stay in its folder when
/// something was found.
[[nodiscard]] RunResult Run(const RunSettings& settings);
void Print(const RunResult& result, std::ostream& out);

}  // namespace chalkwell::soak
