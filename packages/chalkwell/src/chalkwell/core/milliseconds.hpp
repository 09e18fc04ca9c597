// Spans of time in arithmetic with other quantities.
#pragma once

#include <chrono>

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::core {

/// @brief A span as a number of milliseconds.
[[nodiscard]] inline double ToMs(Duration span) {
  return std::chrono::duration<double, std::milli>(span).count();
}

/// @brief The span of a number of milliseconds.
[[nodiscard]] inline Duration FromMs(double milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

}  // namespace chalkwell::core
