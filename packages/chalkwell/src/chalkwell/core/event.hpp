// Numbered events; each log line, problem document and alarm carries the number
// of one.
#pragma once

#include <span>
#include <string_view>

#include "chalkwell/core/fwd.hpp"

namespace chalkwell::core {

/// @brief Event numbers; they are never reused. docs/EVENTS.md lists them.
enum class EventNumber : std::uint16_t {
  kStarted = 100,
  kStopping = 101,
  kStopped = 102,
  kInternalError = 103,
  kListening = 104,
  kSettingsReloaded = 105,
  kLogDropped = 106,
  kMachineResumed = 107,
  kDocumentAccepted = 200,
  kDocumentRefused = 201,
  kDocumentConflict = 202,
  kStoreUnreachable = 203,
  kStoreReached = 204,
  kWatcherRoleChanged = 205,
  kRulesActivated = 206,
  kEndpointsChanged = 207,
  kVersionPublished = 208,
  kLearnedFromPeer = 209,
  kControlTraffic = 210,
  kStoreCalls = 211,
  kEvacuationChanged = 212,
  kStoreRestored = 213,
  kListNotUsed = 214,
  kPeerConnected = 300,
  kPeerLost = 301,
  kPeerProtocol = 302,
  kInstanceLeaving = 303,
  kMemberJoined = 304,
  kMemberLost = 305,
  kFetchStarted = 400,
  kFetchFinished = 401,
  kChunkCorrupt = 402,
  kChunkFailed = 403,
  kFetchAbandoned = 404,
  kOriginFetchStarted = 405,
  kStageFailed = 406,
  kStagedChunkCorrupt = 407,
  kOlderWeightsFirst = 408,
  kVerificationTimedOut = 409,
  kRolloutSlotObtained = 500,
  kOrderSent = 501,
  kOrderRefused = 502,
  kEndpointReady = 503,
  kEndpointNotReady = 504,
  kEngineUnreachable = 505,
  kSuspensionDetected = 506,
  kEngineClaimed = 507,
  kAgentReplaced = 508,
  kOrderResolved = 509,
  kRequestRefused = 600,
  kRequestFailed = 601,
  kRequestUnknown = 602,
  kRequestRetried = 603,
  kAbandonedResponseDropped = 604,
  kTicketRefused = 605,
  kBadRequest = 606,
  kAccountRefused = 607,
  kRequestSent = 608,
  kAttemptEnded = 609,
  kRequestEnded = 610,
  kCallerDisconnected = 611,
  kRequestLimitViolated = 612,
  kEndpointCrashed = 613,
  kRequestSuspicionChanged = 614,
  kRequestQuarantined = 615,
  kRateLimitChanged = 616,
  kEndpointLeaving = 617,
  kUnknownResponseHeader = 618,
  kAttemptSilent = 619,
  kRequestUnanswered = 620,
};

enum class Severity : std::uint8_t { kDebug, kInfo, kWarning, kError };

/// @brief One entry of the event catalogue.
struct EventDescription {
  EventNumber number_;
  Severity severity_;
  std::string_view name_;
  /// What happened, in one sentence.
  std::string_view meaning_;
  /// What an operator should do.
  std::string_view action_;
};

/// @brief The whole catalogue, ordered by number.
[[nodiscard]] std::span<const EventDescription> EventCatalogue() noexcept;
/// @brief The catalogue entry of an event.
/// @throws std::out_of_range if the number is not in the catalogue.
[[nodiscard]] const EventDescription& Describe(EventNumber number);

}  // namespace chalkwell::core
