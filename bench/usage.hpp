// Helpers of the benchmarks: processor time, memory and peer traffic of
// processes, read from their metrics; linear regression; output of figures.
#pragma once

#include <string>
#include <vector>

#include "fleet/fleet.hpp"

namespace chalkwell::bench {

/// @brief Resource counters of one process at one time.
struct ProcessUsage {
  /// Processor time since the process started.
  double cpu_seconds_ = 0;
  double resident_bytes_ = 0;
  /// Bytes to and from peers since the process started.
  double peer_bytes_ = 0;
};

/// @brief Resource usage over a time window, as the mean of several processes.
struct MeanUsage {
  /// Share of one core: 1 is a core fully used.
  double cpu_share_ = 0;
  /// At the end of the window.
  double resident_bytes_ = 0;
  /// Both directions together.
  double peer_bytes_per_second_ = 0;
};

/// @brief Reads the metrics of a process from its admin address. A metric that
/// is missing counts as 0.
[[nodiscard]] ProcessUsage ReadProcessUsage(const fleet::Node& node);
/// @brief Measures processes over a time window; blocks for its length.
/// @param nodes at least one.
[[nodiscard]] MeanUsage MeasureMeanUsage(const std::vector<fleet::Node*>& nodes,
                                         std::chrono::milliseconds window);

/// @brief The line y = intercept + slope * x.
struct LinearFit {
  double intercept_ = 0;
  double slope_ = 0;
};
/// @brief Fits a line by least squares. The slope is 0 when all x are equal.
/// @param x not empty; as long as `y`.
[[nodiscard]] LinearFit FitLine(const std::vector<double>& x,
                                const std::vector<double>& y);

/// @brief Parses the local time at the start of a log line.
/// @return seconds since the epoch, 0 for a line without a time.
[[nodiscard]] double ParseLogTime(const std::string& line);

/// @brief Prints "figure NAME VALUE" to standard output, for the programs that
/// evaluate a run.
void PrintFigure(const std::string& name, double value);

}  // namespace chalkwell::bench
