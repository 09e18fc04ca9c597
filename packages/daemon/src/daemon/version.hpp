// Product version.
#pragma once

#include <string_view>

namespace chalkwell::daemon {

inline constexpr std::string_view kVersion = "0.1.0";

}  // namespace chalkwell::daemon
