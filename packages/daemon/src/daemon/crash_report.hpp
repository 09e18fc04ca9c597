// A last line when the process dies by a fault of its own.
#pragma once

namespace chalkwell::daemon {

/// @brief Writes the signal and the calls that led to it to standard output,
/// then lets the signal take its course.
void ReportCrashes();

}  // namespace chalkwell::daemon
