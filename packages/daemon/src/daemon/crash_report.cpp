// Only calls that are safe in a signal handler.
#include "daemon/crash_report.hpp"

#include <execinfo.h>
#include <unistd.h>

#include <array>
#include <csignal>
#include <string_view>

namespace chalkwell::daemon {
namespace {

constexpr int kMaxFrames = 48;
constexpr int kDecimal = 10;

void Put(std::string_view text) {
  // Nothing can be done about a failure here.
  (void)!::write(STDOUT_FILENO, text.data(), text.size());
}

void OnCrash(int number) {
  const std::array<char, 2> digits{static_cast<char>('0' + number / kDecimal),
                                   static_cast<char>('0' + number % kDecimal)};
  Put("{\"level\":\"FATAL\",\"name\":\"crashed\",\"signal\":\"");
  Put({digits.data(), digits.size()});
  Put("\"}\n");
  std::array<void*, kMaxFrames> frames{};
  const int count = ::backtrace(frames.data(), kMaxFrames);
  ::backtrace_symbols_fd(frames.data(), count, STDOUT_FILENO);
  std::signal(number, SIG_DFL);
  std::raise(number);
}

}  // namespace

void ReportCrashes() {
  // The first call loads what later ones need.
  std::array<void*, 1> warm{};
  (void)::backtrace(warm.data(), 1);
  for (const int number : {SIGSEGV, SIGABRT, SIGBUS, SIGFPE, SIGILL}) {
    std::signal(number, OnCrash);
  }
}

}  // namespace chalkwell::daemon
