// Signal handlers; they make only async-signal-safe calls.
#include "daemon/crash_report.hpp"

#include <execinfo.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <string_view>

namespace chalkwell::daemon {
namespace {

constexpr int kMaxFrames = 48;
constexpr int kDecimalBase = 10;

void WriteText(std::string_view text) {
  // A failed write cannot be reported anywhere.
  (void)!::write(STDOUT_FILENO, text.data(), text.size());
}

void OnCrash(int signal_number) {
  const std::array<char, 2> digits{
      static_cast<char>('0' + signal_number / kDecimalBase),
      static_cast<char>('0' + signal_number % kDecimalBase)};
  WriteText("{\"level\":\"FATAL\",\"name\":\"crashed\",\"signal\":\"");
  WriteText({digits.data(), digits.size()});
  WriteText("\"}\n");
  std::array<void*, kMaxFrames> frames{};
  const int count = ::backtrace(frames.data(), kMaxFrames);
  ::backtrace_symbols_fd(frames.data(), count, STDOUT_FILENO);
  std::signal(signal_number, SIG_DFL);
  std::raise(signal_number);
}

}  // namespace

void InstallCrashHandler() {
  // The first call of backtrace() loads a library and allocates memory, which a
  // signal handler must not do.
  std::array<void*, 1> frame{};
  (void)::backtrace(frame.data(), 1);
  for (const int signal_number : {SIGSEGV, SIGABRT, SIGBUS, SIGFPE, SIGILL}) {
    std::signal(signal_number, OnCrash);
  }
}

}  // namespace chalkwell::daemon
