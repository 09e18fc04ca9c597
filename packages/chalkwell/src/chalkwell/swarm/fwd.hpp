// Vocabulary of the swarm module: which chunk, from whom, at what pace.
#pragma once

#include <cstdint>

namespace chalkwell::swarm {

class ChunkSet;
class Planner;
class Pacer;
class Assembly;
class FetchWindow;
class OlderVersionChunks;
class OriginProgress;
struct FetchRequest;
struct PlannerSettings;

}  // namespace chalkwell::swarm
