// Forward declarations of the configuration module.
#pragma once

#include <cstdint>

namespace chalkwell::config {

struct Document;
struct DocumentVersion;
struct Instance;
struct ClientAccount;
struct Route;
class AcceptedDocuments;
struct TrafficRoute;
struct TrafficService;
struct TrafficRules;
class TrafficTable;
struct AnnouncedVersion;
class AnnouncedVersions;
class RulesPeerSelector;
struct RulesPeerSelectorSettings;
struct RulesSource;
enum class RulesOrigin : std::uint8_t;
enum class AnnounceScope : std::uint8_t;
struct DeltaPart;
struct SlowStart;
struct Evacuation;
class EvacuationTable;
enum class Verdict : std::uint8_t;

}  // namespace chalkwell::config
