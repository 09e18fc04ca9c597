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
                               core::StoreRevision revision,
                               core::TimePoint now) {
  bool changed = Apply(active);
  for (const auto& known : States()) {
    const bool listed = std::ranges::find(active, known.domain_,
                                          &Evacuation::domain_) != active.end();
    if (!known.active_ || listed) {
      continue;
    }
    const Evacuation withdrawn{known.domain_, false, revision};
    if (known.revision_.era_ < revision.era_) {
      const DueWithdrawal due{withdrawn, now + kRecoveryTime};
      auto& pending = due_.try_emplace(known.domain_, due).first->second;
      if (pending.state_.revision_.era_ < revision.era_) {
        pending = due;
      }
    } else {
      changed = Apply(withdrawn) || changed;
    }
  }
  return changed;
}

bool EvacuationTable::ApplyDue(core::TimePoint now) {
  bool changed = false;
  for (auto next = due_.begin(); next != due_.end();) {
    if (now < next->second.at_) {
      ++next;
      continue;
    }
    changed = Apply(next->second.state_) || changed;
    next = due_.erase(next);
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
