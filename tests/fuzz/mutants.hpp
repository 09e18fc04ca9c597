// Mutants: injected faults, each with the invariant that it violates.
#pragma once

#include <string>
#include <vector>

#include "fuzz/simulation.hpp"

namespace chalkwell::fuzz {

/// @brief A fault in a module under test that the oracle must detect.
struct Mutant {
  std::string name_;
  /// The invariant whose violation the oracle must report.
  Invariant invariant_;
  Faults faults_;
};

/// @brief All mutants; a mutant may need several injected faults.
[[nodiscard]] std::vector<Mutant> AllMutants();

}  // namespace chalkwell::fuzz
