// At equal revisions a withdrawal wins: a read may show it at the revision at
// which the evacuation was published.
#include "chalkwell/config/evacuation_table.hpp"

#include <algorithm>
#include <utility>

namespace chalkwell::config {

bool EvacuationTable::Apply(const Evacuation& evacuation) {
  const auto found = states_.find(evacuation.domain_);
  if (found == states_.end()) {
    if (states_.size() >= kMaxDomains) {
      return false;
    }
    states_.emplace(evacuation.domain_, evacuation);
    return true;
  }
  auto& known = found->second;
  const auto order = [](const Evacuation& state) {
    return std::pair(state.revision_, !state.active_);
  };
  if (order(evacuation) <= order(known)) {
    return false;
  }
  known = evacuation;
  return true;
}

bool EvacuationTable::Apply(const std::vector<Evacuation>& evacuations) {
  bool changed = false;
  for (const auto& evacuation : evacuations) {
    changed = Apply(evacuation) || changed;
  }
  return changed;
}

bool EvacuationTable::ApplyAll(const std::vector<Evacuation>& active,
                               core::StoreRevision revision) {
  bool changed = Apply(active);
  for (const auto& known : States()) {
    const bool listed = std::ranges::find(active, known.domain_,
                                          &Evacuation::domain_) != active.end();
    if (known.active_ && !listed) {
      changed = Apply({known.domain_, false, revision}) || changed;
    }
  }
  return changed;
}

std::set<core::FailureDomainId> EvacuationTable::Active() const {
  std::set<core::FailureDomainId> active;
  for (const auto& [domain, state] : states_) {
    if (state.active_) {
      active.insert(domain);
    }
  }
  return active;
}

std::vector<Evacuation> EvacuationTable::States() const {
  std::vector<Evacuation> states;
  states.reserve(states_.size());
  for (const auto& [domain, state] : states_) {
    states.push_back(state);
  }
  return states;
}

}  // namespace chalkwell::config
