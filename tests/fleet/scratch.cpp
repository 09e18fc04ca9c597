// The folder is created by mkdtemp below the system's temporary folder.
#include "fleet/scratch.hpp"

#include <cstdlib>
#include <filesystem>
#include <iostream>
#include <stdexcept>

namespace chalkwell::fleet {

TemporaryFolder::TemporaryFolder()
    : path_((std::filesystem::temp_directory_path() / "chalkwell-XXXXXX")
                .string()) {
  if (::mkdtemp(path_.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
}

TemporaryFolder::~TemporaryFolder() {
  if (std::getenv("CHALKWELL_KEEP") != nullptr) {
    std::cout << "kept: " << path_ << "\n";
    return;
  }
  std::error_code ignored;
  std::filesystem::remove_all(path_, ignored);
}

}  // namespace chalkwell::fleet
