// Child processes of tests: started with their output in a file, ended by id.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace chalkwell::fleet {

/// @brief One child process; destroying it kills it.
class Child {
 public:
  Child() = default;
  /// @param log file that gets its standard output and error.
  /// @param environment "NAME=VALUE", beside what this process has.
  Child(const std::vector<std::string>& arguments, const std::string& log,
        const std::vector<std::string>& environment = {});
  ~Child();
  Child(Child&& other) noexcept;
  Child& operator=(Child&& other) noexcept;
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  [[nodiscard]] pid_t pid() const noexcept { return pid_; }
  [[nodiscard]] bool running();
  void Signal(int number) const;
  /// @brief Waits for its end.
  /// @return the exit code, 128 plus the signal number, or nothing when the
  /// time is up.
  [[nodiscard]] std::optional<int> Wait(std::chrono::milliseconds limit);
  void Kill();

 private:
  /// 0 when there is no process, or it has been waited for.
  pid_t pid_ = 0;
  int exit_code_ = 0;
};

/// @brief From now on children are killed when this process is ended by SIGINT,
/// SIGTERM or SIGHUP: nobody else would end them.
void KillChildrenWhenEnded();

/// @brief Paths of the programs under test.
[[nodiscard]] std::string DaemonPath();
[[nodiscard]] std::string CliPath();
[[nodiscard]] std::string StandinPath();

/// @brief A loopback port that is free now.
[[nodiscard]] std::uint16_t FreePort();

}  // namespace chalkwell::fleet
