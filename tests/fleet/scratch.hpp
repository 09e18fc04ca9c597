// A temporary folder for one test.
#pragma once

#include <string>

namespace chalkwell::fleet {

/// @brief Temporary folder; the destructor removes it, unless CHALKWELL_KEEP is
/// set, which test_main does when a check fails.
class TemporaryFolder {
 public:
  TemporaryFolder();
  ~TemporaryFolder();
  TemporaryFolder(const TemporaryFolder&) = delete;
  TemporaryFolder& operator=(const TemporaryFolder&) = delete;

  [[nodiscard]] const std::string& path() const noexcept { return path_; }

 private:
  std::string path_;
};

}  // namespace chalkwell::fleet
