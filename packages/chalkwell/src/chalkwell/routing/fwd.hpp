// Forward declarations of the routing module.
#pragma once

#include <cstdint>

namespace chalkwell::routing {

class RequestTracker;
class ExecutionGuard;
class TicketIssuer;
class FairQueue;
struct RetryAllowance;
class RetryBudget;
class RetryBudgets;
class RetryReserve;
class DeploymentParts;
class RetryJitter;
class SlotQueue;
class AffinityChooser;
class EndpointTable;
class EndpointRateLimits;
class EndpointRetryTimes;
class RateLimitSenders;
struct EntryLocation;
struct RateLimitedEndpoint;
struct RateLimitShare;
struct RateLimitStatement;
class SlowStartState;
struct SlowStartSharers;
struct EndpointSubsetSettings;
struct PendingAttempt;
class IncarnationTable;
struct EndpointIncarnation;
class RequestAgeEstimator;
class RequestMemory;
class CallerConnections;
struct CallerConnectionsSettings;
enum class ConnectionPhase : std::uint8_t;
struct RequestMemorySettings;
class RequestDigest;
struct RequestContent;
struct RequestIdentity;
class PromptPartShares;
class RequestQuarantine;
class CrashDetector;
struct CrashRecord;
struct EndpointCrash;
struct EngineLoad;
struct StreamRequest;
class EventSplitter;
struct EndpointRow;
struct LoadReport;
struct VersionConstraint;
struct ExecutionTicket;
struct Candidate;
enum class SlotDecision : std::uint8_t;
struct QuarantineDecision;
struct QuarantineHooks;
enum class QuarantineVerdict : std::uint8_t;
enum class Standing : std::uint8_t;
enum class LossAction : std::uint8_t;
enum class RetryKind : std::uint8_t;
enum class RateLimitChange : std::uint8_t;
enum class Outcome : std::uint8_t;
enum class AttemptEnd : std::uint8_t;
enum class EndpointOutcome : std::uint8_t;

}  // namespace chalkwell::routing
