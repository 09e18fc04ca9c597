// Children are started by posix_spawn with their output redirected to a file.
#include "fleet/child.hpp"

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <spawn.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <csignal>
#include <stdexcept>
#include <thread>
#include <utility>

namespace chalkwell::fleet {
namespace {

/// Below the system's range of ephemeral ports, so that no outgoing connection
/// occupies a port that a child is about to listen on.
constexpr int kFirstPort = 10000;
/// Ports are claimed in blocks, so that concurrent test processes never return
/// the same ones.
constexpr int kPortsPerBlock = 500;
constexpr int kPortBlocks = 44;
constexpr int kSignalExitBase = 128;
constexpr auto kPollInterval = std::chrono::milliseconds(5);

/// Process ids of running children; 0 marks a free slot. Atomic, as a signal
/// handler reads it.
constexpr std::size_t kMaxChildren = 1024;
std::array<std::atomic<pid_t>, kMaxChildren> running_children;

void RegisterChild(pid_t pid) {
  for (auto& slot : running_children) {
    pid_t expected = 0;
    if (slot.compare_exchange_strong(expected, pid)) {
      return;
    }
  }
}

void UnregisterChild(pid_t pid) {
  for (auto& slot : running_children) {
    pid_t expected = pid;
    slot.compare_exchange_strong(expected, 0);
  }
}

void KillChildren(int signal) {
  for (const auto& slot : running_children) {
    if (const pid_t pid = slot; pid != 0) {
      ::kill(pid, SIGKILL);
    }
  }
  std::signal(signal, SIG_DFL);
  std::raise(signal);
}

/// Binds a loopback port.
/// @return the socket, -1 if the port is in use.
int Bind(int port, bool reuse) {
  const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = reuse ? 1 : 0;
  ::setsockopt(descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  sockaddr_in address{};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(port));
  address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
  if (::bind(descriptor, reinterpret_cast<sockaddr*>(&address),
             sizeof(address)) != 0) {
    ::close(descriptor);
    return -1;
  }
  return descriptor;
}

/// Claims a block of ports until this process ends, by listening on the first
/// one.
/// @return the first port.
int ClaimPorts() {
  for (int i = 0; i < kPortBlocks; ++i) {
    const int port =
        kFirstPort + (::getpid() + i) % kPortBlocks * kPortsPerBlock;
    const int listener = Bind(port, false);
    if (listener >= 0 && ::listen(listener, 1) == 0) {
      return port;
    }
  }
  throw std::runtime_error("all blocks of test ports are in use");
}

std::vector<char*> ToPointers(const std::vector<std::string>& texts) {
  std::vector<char*> pointers;
  pointers.reserve(texts.size() + 1);
  for (const auto& text : texts) {
    pointers.push_back(const_cast<char*>(text.c_str()));
  }
  return pointers;
}

bool IsFree(std::uint16_t port) {
  const int probe = Bind(port, true);
  if (probe >= 0) {
    ::close(probe);
  }
  return probe >= 0;
}

}  // namespace

Child::Child(const std::vector<std::string>& arguments, const std::string& log,
             const std::vector<std::string>& environment) {
  auto argv = ToPointers(arguments);
  argv.push_back(nullptr);
  auto variables = ToPointers(environment);
  for (char** inherited = environ; *inherited != nullptr; ++inherited) {
    variables.push_back(*inherited);
  }
  variables.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, 0644);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = posix_spawn(&pid_, argv.front(), &actions, nullptr,
                                argv.data(), variables.data());
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    throw std::runtime_error("cannot start child process " + arguments.front());
  }
  RegisterChild(pid_);
}

Child::~Child() { Kill(); }

Child::Child(Child&& other) noexcept
    : pid_(std::exchange(other.pid_, 0)), exit_code_(other.exit_code_) {}

Child& Child::operator=(Child&& other) noexcept {
  Kill();
  pid_ = std::exchange(other.pid_, 0);
  exit_code_ = other.exit_code_;
  return *this;
}

bool Child::running() {
  return pid_ != 0 && !Wait(std::chrono::milliseconds(0));
}

void Child::Signal(int number) const {
  if (pid_ != 0) {
    ::kill(pid_, number);
  }
}

std::optional<int> Child::Wait(std::chrono::milliseconds limit) {
  const auto until = std::chrono::steady_clock::now() + limit;
  while (pid_ != 0) {
    int status = 0;
    if (::waitpid(pid_, &status, WNOHANG) == pid_) {
      UnregisterChild(pid_);
      pid_ = 0;
      exit_code_ = WIFEXITED(status) ? WEXITSTATUS(status)
                                     : kSignalExitBase + WTERMSIG(status);
      break;
    }
    if (std::chrono::steady_clock::now() >= until) {
      return std::nullopt;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return exit_code_;
}

void Child::Kill() {
  if (pid_ != 0) {
    ::kill(pid_, SIGKILL);
    int status = 0;
    ::waitpid(pid_, &status, 0);
    UnregisterChild(pid_);
    pid_ = 0;
    exit_code_ = kSignalExitBase + SIGKILL;
  }
}

void KillChildrenOnSignal() {
  for (const int signal : {SIGINT, SIGTERM, SIGHUP}) {
    std::signal(signal, KillChildren);
  }
}

std::string DaemonPath() { return CHALKWELLD_PATH; }
std::string CliPath() { return CHALKWELL_PATH; }
std::string StandinPath() { return STANDIN_PATH; }

std::uint16_t FreePort() {
  static int next = ClaimPorts();
  static int end = next + kPortsPerBlock - 1;
  for (;;) {
    if (next == end) {
      next = ClaimPorts();
      end = next + kPortsPerBlock - 1;
    }
    const auto port = static_cast<std::uint16_t>(++next);
    if (IsFree(port)) {
      return port;
    }
  }
}

}  // namespace chalkwell::fleet
