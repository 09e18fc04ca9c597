// Vocabulary of the routing module: admission, choice, attempts, outcomes.
#pragma once

#include <cstdint>

namespace chalkwell::routing {

class RequestTracker;
class ExecutionGuard;
class TicketMinter;
class FairQueue;
class RetryBudget;
class RetrySpread;
class SlotQueue;
class EndpointChooser;
class EndpointTable;
struct EndpointSubsetSettings;
struct AwaitedAttempt;
class IncarnationTable;
struct EndpointLife;
class RequestAge;
class RequestDigest;
struct RequestContent;
class RequestQuarantine;
class CrashEvidence;
struct CrashRecord;
struct EndpointCrash;
struct EngineLoad;
struct StreamRequest;
class EventSplitter;
struct EndpointRow;
struct LoadReport;
struct VersionRule;
struct ExecutionTicket;
struct Candidate;
enum class SlotVerdict : std::uint8_t;
enum class Standing : std::uint8_t;
enum class LossVerdict : std::uint8_t;
enum class RetryKind : std::uint8_t;
enum class Outcome : std::uint8_t;
enum class AttemptEnd : std::uint8_t;
enum class EndpointOutcome : std::uint8_t;

}  // namespace chalkwell::routing
