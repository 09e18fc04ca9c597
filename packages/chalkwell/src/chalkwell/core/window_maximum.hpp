// Maximum of a quantity over a recent window, in constant memory.
#pragma once

#include <algorithm>
#include <cstddef>

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::core {

/// @brief Largest value added in the last one to two windows.
class WindowMaximum {
 public:
  explicit WindowMaximum(Duration window) noexcept : window_(window) {}

  void Add(std::size_t value, TimePoint now) noexcept {
    Advance(now);
    current_ = std::max(current_, value);
  }
  [[nodiscard]] std::size_t Get(TimePoint now) noexcept {
    Advance(now);
    return std::max(current_, previous_);
  }

 private:
  void Advance(TimePoint now) noexcept {
    if (now - begin_ < window_) {
      return;
    }
    previous_ = now - begin_ < 2 * window_ ? current_ : 0;
    current_ = 0;
    begin_ = now;
  }

  Duration window_;
  /// Begin of the current window.
  TimePoint begin_;
  std::size_t current_ = 0;
  /// Maximum of the window before.
  std::size_t previous_ = 0;
};

}  // namespace chalkwell::core
