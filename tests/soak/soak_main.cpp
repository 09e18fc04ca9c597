// Long soak runs: soak_long SEED SECONDS [KINDS [PROGRAM [INTERVAL]]], for
// example soak_long 7 60 freeze,kill. KINDS are the disturbances to inject,
// PROGRAM is the path of a chalkwelld, for example of another revision, and
// INTERVAL the mean interval between two disturbances in milliseconds.
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "soak/soak.hpp"

int main(int argument_count, char** arguments) {
  chalkwell::fleet::KillChildrenOnSignal();
  // The reader of the output may close the pipe early.
  std::signal(SIGPIPE, SIG_IGN);
  const std::string seed = argument_count > 1 ? arguments[1] : "1";
  chalkwell::soak::RunSettings settings;
  settings.faults_.seed_ = std::stoull(seed);
  settings.faults_.duration_ =
      std::chrono::seconds(argument_count > 2 ? std::stoi(arguments[2]) : 40);
  settings.faults_.only_kinds_ = argument_count > 3 ? arguments[3] : "";
  if (argument_count > 4) {
    settings.deployment_.daemon_ = arguments[4];
  }
  if (argument_count > 5) {
    settings.faults_.mean_disturbance_interval_ =
        std::chrono::milliseconds(std::stoi(arguments[5]));
  }
  settings.deployment_.folder_ =
      std::filesystem::temp_directory_path() / ("chalkwell-soak-" + seed);
  const auto result = chalkwell::soak::Run(settings);
  std::cout << "soak seed " << seed << (result.started_ ? "" : " NOT STARTED")
            << "\n";
  chalkwell::soak::Print(result, std::cout);
  const bool clean = result.started_ && result.findings_.empty();
  if (!clean) {
    std::cout << "logs in " << settings.deployment_.folder_.string() << "\n";
  }
  return clean ? EXIT_SUCCESS : EXIT_FAILURE;
}
