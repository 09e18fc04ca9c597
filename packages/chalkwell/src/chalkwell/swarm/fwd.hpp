// Forward declarations of the swarm module, which plans and paces the fetch of
// chunks from peers and from the origin.
#pragma once

#include <cstdint>

namespace chalkwell::swarm {

class ChunkSet;
class Planner;
class Pacer;
class Assembly;
class FetchWindow;
class OlderVersionChunks;
class AvailabilityForecast;
struct FetchRequest;
struct PlannerSettings;

}  // namespace chalkwell::swarm
