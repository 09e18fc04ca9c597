// A machine that is suspended, as one process on it sees it: the steady clock
// does not count the time, the boot clock and the time of day do.
#pragma once

#include <chrono>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace chalkwell::fleet {

/// @brief Clocks of the children that are started with its environment.
class Suspension {
 public:
  /// @param file shared with the children; removed at the end.
  explicit Suspension(std::filesystem::path file);
  ~Suspension();
  Suspension(const Suspension&) = delete;
  Suspension& operator=(const Suspension&) = delete;

  /// @brief For Child.
  [[nodiscard]] std::vector<std::string> environment() const;
  /// @brief From now on the clocks are apart by so much more. Real machines are
  /// paused meanwhile: so should the child be.
  void Add(std::chrono::nanoseconds length);

 private:
  std::filesystem::path file_;
  std::int64_t* suspended_ns_ = nullptr;
};

}  // namespace chalkwell::fleet
