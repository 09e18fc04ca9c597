// Vocabulary of the rollout module: one engine, one version.
#pragma once

#include <cstdint>

namespace chalkwell::rollout {

struct Target;
struct EngineState;
class Activation;
class RolloutSlots;
enum class Phase : std::uint8_t;
class VersionBound;
struct FirstFetchForecast;
struct FirstFetchSettings;

}  // namespace chalkwell::rollout
