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
class StagingVerification;
struct StagingVerificationSettings;
enum class ChunkComparison : std::uint8_t;
enum class VerificationState : std::uint8_t;
class StagingGuard;
struct StagingGuardSettings;
enum class OrderReply : std::uint8_t;
enum class OrderResolution : std::uint8_t;

}  // namespace chalkwell::rollout
