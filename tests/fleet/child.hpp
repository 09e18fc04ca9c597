// Child processes of tests, with their output redirected to a file.
#pragma once

#include <sys/types.h>

#include <chrono>
#include <optional>
#include <string>
#include <vector>

namespace chalkwell::fleet {

/// @brief One child process; the destructor kills it.
class Child {
 public:
  Child() = default;
  /// @brief Starts a process.
  /// @param arguments path of the program, then its arguments.
  /// @param log file to which its standard output and error are appended.
  /// @param environment "NAME=VALUE", in addition to this process's
  /// environment.
  /// @throws std::runtime_error if it cannot be started.
  Child(const std::vector<std::string>& arguments, const std::string& log,
        const std::vector<std::string>& environment = {});
  ~Child();
  Child(Child&& other) noexcept;
  Child& operator=(Child&& other) noexcept;
  Child(const Child&) = delete;
  Child& operator=(const Child&) = delete;

  [[nodiscard]] pid_t pid() const noexcept { return pid_; }
  [[nodiscard]] bool running();
  /// @brief Sends a signal; does nothing after the process has ended.
  void Signal(int number) const;
  /// @brief Waits for the process to end.
  /// @return the exit code, 128 plus the number of the signal that ended it, or
  /// nothing if it still runs when the limit has passed.
  [[nodiscard]] std::optional<int> Wait(std::chrono::milliseconds limit);
  /// @brief Sends SIGKILL and waits for the process to end.
  void Kill();

 private:
  /// 0 if no process was started, or after it was waited for.
  pid_t pid_ = 0;
  int exit_code_ = 0;
};

/// @brief Installs handlers of SIGINT, SIGTERM and SIGHUP that kill all
/// children before this process ends; they would keep running otherwise.
void KillChildrenOnSignal();

/// @brief Paths of the programs under test.
[[nodiscard]] std::string DaemonPath();
[[nodiscard]] std::string CliPath();
[[nodiscard]] std::string StandinPath();

/// @brief Returns a loopback port that is not in use and that this process and
/// concurrent test processes have not returned before.
/// @throws std::runtime_error if no block of ports is left.
[[nodiscard]] std::uint16_t FreePort();

}  // namespace chalkwell::fleet
