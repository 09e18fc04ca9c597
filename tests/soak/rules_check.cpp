// Versions rise, and so do the times of their acknowledgements.
#include "soak/rules_check.hpp"

namespace chalkwell::soak {

void RulesCheck::OnAcknowledged(unsigned version, TimePoint now) {
  acknowledged_at_.try_emplace(version, now);
}

unsigned RulesCheck::Due(TimePoint now) const {
  for (auto known = acknowledged_at_.rbegin(); known != acknowledged_at_.rend();
       ++known) {
    if (now - known->second >= bound_) {
      return known->first;
    }
  }
  return 0;
}

std::optional<milliseconds> RulesCheck::OnProbe(unsigned version, bool rejected,
                                                TimePoint now) {
  ++probes_;
  const auto known = acknowledged_at_.find(version);
  if (!rejected || known == acknowledged_at_.end()) {
    return std::nullopt;
  }
  return std::chrono::duration_cast<milliseconds>(now - known->second);
}

}  // namespace chalkwell::soak
