// Vocabulary of the core module: identifiers, digests, time and errors.
#pragma once

#include <chrono>
#include <cstdint>

namespace chalkwell::core {

template <typename Tag>
class Identifier;
class Digest;
class Backoff;
struct BackoffSettings;
class Error;
enum class Step : std::uint8_t;
enum class EventNumber : std::uint16_t;

/// @brief Monotonic time; every function that decides takes it as an argument.
/// Callers pass a time that goes on while the machine is suspended, so that
/// what is known ages meanwhile.
using TimePoint = std::chrono::steady_clock::time_point;
/// @brief Time of day at which a process started, by its own clock: a name for
/// one of its lives, never compared with other clocks.
using StartTime = std::chrono::sys_time<std::chrono::milliseconds>;
/// @brief Span of monotonic time.
using Duration = std::chrono::steady_clock::duration;

}  // namespace chalkwell::core
