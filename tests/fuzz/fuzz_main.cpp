// Runs simulations with successive seeds: fuzz_long MINUTES SEED. Prints the
// first violation of each failing seed, and figures at the end. Exits with 1 if
// there was a violation.
#include <chrono>
#include <cstdlib>
#include <iostream>
#include <string>

#include "fuzz/simulation.hpp"

namespace {

constexpr int kStepsPerRun = 1500;

}  // namespace

int main(int argc, char** argv) {
  using Clock = std::chrono::steady_clock;
  const double minutes = argc > 1 ? std::stod(argv[1]) : 1;
  std::uint64_t seed = argc > 2 ? std::stoull(argv[2]) : 1;
  const auto started_at = Clock::now();
  const auto elapsed = [started_at] {
    return std::chrono::duration<double>(Clock::now() - started_at).count();
  };
  std::uint64_t steps = 0;
  std::uint64_t violations = 0;
  for (; elapsed() < minutes * 60; ++seed) {
    chalkwell::fuzz::Simulation simulation(seed, {});
    for (int step = 0; step < kStepsPerRun; ++step) {
      simulation.Step();
    }
    steps += kStepsPerRun;
    simulation.Settle();
    if (simulation.oracle().violations() > 0) {
      std::cout << "seed " << seed << ": "
                << simulation.oracle().first_violation() << "\n";
    }
    violations += simulation.oracle().violations();
  }
  std::cout << "figure fuzz_steps " << steps << "\nfigure fuzz_violations "
            << violations << "\nfigure fuzz_steps_per_second "
            << static_cast<double>(steps) / elapsed() << "\n";
  return violations == 0 ? 0 : 1;
}
