// Forward declarations of the rollout module.
#pragma once

#include <cstdint>

namespace chalkwell::rollout {

struct Target;
struct EngineState;
class Activation;
class RolloutSlots;
enum class Phase : std::uint8_t;
class VersionBound;
struct PublishedVersion;
enum class VersionChange : std::uint8_t;
struct FirstFetchForecast;
struct FirstFetchSettings;

}  // namespace chalkwell::rollout
