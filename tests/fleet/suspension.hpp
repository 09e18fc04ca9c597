// Simulates a suspension of the machine for single processes: the steady clock
// does not count the suspended time, the boot clock and the wall clock do.
#pragma once

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace chalkwell::fleet {

/// @brief Clocks of the child processes that are started with `environment()`.
class Suspension {
 public:
  /// @param file shared with the children; the destructor removes it.
  /// @throws std::runtime_error if it cannot be created or mapped.
  explicit Suspension(std::filesystem::path file);
  ~Suspension();
  Suspension(const Suspension&) = delete;
  Suspension& operator=(const Suspension&) = delete;

  /// @brief Environment variables to pass to Child.
  [[nodiscard]] std::vector<std::string> environment() const;
  /// @brief Advances the boot clock and the wall clock of the children.
  ///
  /// The children should be paused by SIGSTOP meanwhile, as on a suspended
  /// machine.
  void AddSuspendedTime(std::chrono::nanoseconds duration);

 private:
  std::filesystem::path file_;
  std::int64_t* suspended_ns_ = nullptr;
};

}  // namespace chalkwell::fleet
