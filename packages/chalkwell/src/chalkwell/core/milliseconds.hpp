// Conversion between durations and fractional milliseconds.
#pragma once

#include <chrono>

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::core {

[[nodiscard]] inline double ToMs(Duration duration) {
  return std::chrono::duration<double, std::milli>(duration).count();
}

[[nodiscard]] inline Duration FromMs(double milliseconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double, std::milli>(milliseconds));
}

}  // namespace chalkwell::core
