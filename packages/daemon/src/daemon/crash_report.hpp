// Report of a crash on standard output.
#pragma once

namespace chalkwell::daemon {

/// @brief Installs handlers for SIGSEGV, SIGABRT, SIGBUS, SIGFPE and SIGILL.
/// They write the signal number and a backtrace to standard output and raise
/// the signal again with its default action.
void InstallCrashHandler();

}  // namespace chalkwell::daemon
