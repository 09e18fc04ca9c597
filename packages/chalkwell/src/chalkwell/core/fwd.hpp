// Forward declarations and time types of the core module.
#pragma once

#include <chrono>
#include <cstdint>

namespace chalkwell::core {

template <typename Tag>
class Identifier;
class Digest;
class Backoff;
class WindowMaximum;
struct BackoffSettings;
struct StoreRevision;
class Error;
enum class Step : std::uint8_t;
enum class EventNumber : std::uint16_t;

/// @brief Monotonic time, passed to all time-dependent functions as an
/// argument. Values come from CLOCK_BOOTTIME (daemon::BootTime()), which also
/// counts the time of a suspension, so that timeouts and leases expire during
/// it; steady_clock::now() does not count it.
using TimePoint = std::chrono::steady_clock::time_point;
/// @brief Wall-clock start time of a process, by its own clock. It identifies
/// one incarnation; it is never compared with other clocks and not ordered: the
/// clock may be stepped back.
using StartTime = std::chrono::sys_time<std::chrono::milliseconds>;
using Duration = std::chrono::steady_clock::duration;

}  // namespace chalkwell::core
