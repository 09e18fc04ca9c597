// Long runs by hand: soak SEED SECONDS [KINDS [PROGRAM [PAUSE]]], for example
// soak 7 60 freeze,kill; PROGRAM is the chalkwelld of another revision, and a
// last word the mean pause between two disturbances in milliseconds.
#include <csignal>
#include <cstdlib>
#include <iostream>

#include "soak/soak.hpp"

int main(int count, char** words) {
  chalkwell::fleet::KillChildrenWhenEnded();
  // Whoever reads the output may leave before the end.
  std::signal(SIGPIPE, SIG_IGN);
  const std::string seed = count > 1 ? words[1] : "1";
  chalkwell::soak::RunSettings settings;
  settings.troubles_.seed_ = std::stoull(seed);
  settings.troubles_.length_ =
      std::chrono::seconds(count > 2 ? std::stoi(words[2]) : 40);
  settings.troubles_.only_ = count > 3 ? words[3] : "";
  if (count > 4) {
    settings.world_.daemon_ = words[4];
  }
  if (count > 5) {
    settings.troubles_.disturbances_ =
        std::chrono::milliseconds(std::stoi(words[5]));
  }
  settings.world_.folder_ =
      std::filesystem::temp_directory_path() / ("chalkwell-soak-" + seed);
  const auto result = chalkwell::soak::Run(settings);
  std::cout << "soak seed " << seed << (result.started_ ? "" : " NOT STARTED")
            << "\n";
  chalkwell::soak::Print(result, std::cout);
  const bool clean = result.started_ && result.findings_.empty();
  if (!clean) {
    std::cout << "logs in " << settings.world_.folder_.string() << "\n";
  }
  return clean ? EXIT_SUCCESS : EXIT_FAILURE;
}
