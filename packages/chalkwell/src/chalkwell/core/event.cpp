// The event catalogue; docs/EVENTS.md is generated from this table.
#include "chalkwell/core/event.hpp"

#include <algorithm>
#include <array>
#include <stdexcept>

namespace chalkwell::core {
namespace {

using enum Severity;
using enum EventNumber;

constexpr std::array kCatalogue = std::to_array<EventDescription>({
    {kStarted, kInfo, "started", "The process has read its settings.", "None."},
    {kStopping, kInfo, "stopping",
     "A planned stop has begun: no new work is taken.", "None."},
    {kStopped, kInfo, "stopped", "All work is finished; the process exits.",
     "None."},
    {kInternalError, kError, "internal-error",
     "An error reached the edge of the event loop.",
     "Report it with the log lines before it."},
    {kListening, kInfo, "listening", "A listener is open.", "None."},
    {kSettingsReloaded, kInfo, "settings-reloaded",
     "The settings file was read again.", "None."},
    {kLogDropped, kWarning, "log-dropped",
     "Log lines were dropped to keep the volume or the pipe bounded.",
     "Look at what floods the log; counters still count every event."},
    {kResumed, kWarning, "resumed",
     "The machine was suspended; timers that are due run now.",
     "None, if the machine is meant to be suspended."},
    {kDocumentAccepted, kInfo, "document-accepted",
     "A published document is in force in this process.", "None."},
    {kDocumentRefused, kWarning, "document-refused",
     "A published document was refused; what was in force stays.",
     "Read the reason; sign and publish a corrected document."},
    {kDocumentConflict, kWarning, "document-conflict",
     "Two documents carry the same version with different content.",
     "Publish one document with a higher version."},
    {kPlatformUnreachable, kWarning, "platform-unreachable",
     "The configuration service does not answer.",
     "Look at the service; serving goes on with what is in force."},
    {kPlatformReached, kInfo, "platform-reached",
     "The configuration service answers.", "None."},
    {kWatchDuty, kInfo, "watch-duty",
     "This process took up or gave up the watch for its failure domain.",
     "None."},
    {kRulesInForce, kInfo, "rules-in-force",
     "A newer version of routes, services, accounts and limits is in force.",
     "None."},
    {kEndpointsChanged, kInfo, "endpoints-changed",
     "The published list of endpoints differs from the one before.", "None."},
    {kWeightsNamed, kInfo, "weights-named",
     "A newer version of a model's weights was published.", "None."},
    {kLearnedFromPeer, kInfo, "learned-from-peer",
     "What is published was learned from another process.",
     "None: large rules are handed on, and so is all while the service is "
     "away."},
    {kControlTraffic, kInfo, "control-traffic",
     "What this process sent to others of the system in the last seconds, in "
     "bytes by kind; far_bytes left the failure domain.",
     "None; docs/OPERATIONS.md says what is usual."},
    {kStoreCalls, kInfo, "store-calls",
     "How often this process called the configuration service in the last "
     "seconds, by section and by cause.",
     "None; docs/OPERATIONS.md says what is usual."},
    {kPeerConnected, kInfo, "peer-connected", "A stream to a peer is open.",
     "None."},
    {kPeerLost, kWarning, "peer-lost", "A stream to a peer has ended.",
     "None if the instance was replaced; else look at the network."},
    {kPeerProtocol, kError, "peer-protocol",
     "A peer speaks another message version or sent a malformed message.",
     "Bring both processes to the same release."},
    {kInstanceLeaving, kInfo, "instance-leaving",
     "An instance is leaving and gets no new work.", "None."},
    {kMemberJoined, kInfo, "member-joined",
     "Another process of the system is known.", "None."},
    {kMemberLost, kWarning, "member-lost",
     "Nothing was heard of another process for longer than its lease.",
     "None if the instance was replaced; else look at the network."},
    {kFetchStarted, kInfo, "fetch-started", "Weights are being fetched.",
     "None."},
    {kFetchFinished, kInfo, "fetch-finished",
     "All weights are verified and staged at the engine.", "None."},
    {kChunkCorrupt, kWarning, "chunk-corrupt",
     "A chunk did not match its digest and was dropped.",
     "If one source repeats it, look at that source's memory and network."},
    {kChunkFailed, kInfo, "chunk-failed",
     "A chunk request failed or timed out; another source is asked.", "None."},
    {kFetchAbandoned, kInfo, "fetch-abandoned",
     "A fetch was given up for a newer bundle.", "None."},
    {kOriginDrawn, kDebug, "origin-drawn",
     "A chunk was drawn from the weight store or origin.", "None."},
    {kStageFailed, kWarning, "stage-failed",
     "The engine did not take staged weights; it is tried again.",
     "If it lasts, look at the engine's log."},
    {kStagedSpoilt, kWarning, "staged-spoilt",
     "A staged piece no longer matches its digest and is fetched again.",
     "If one instance repeats it, look at its memory."},
    {kOlderWeightsFirst, kInfo, "older-weights-first",
     "An engine without weights gets an older version that may still be used.",
     "If it lasts, look at the origin of weights."},
    {kTurnTaken, kInfo, "turn-taken",
     "This endpoint's turn to switch has come; it drains.", "None."},
    {kOrderSent, kInfo, "order-sent",
     "The engine was ordered to activate weights.", "None."},
    {kOrderRefused, kWarning, "order-refused",
     "The engine refused an order; its state is read again.",
     "If it lasts, look for a second agent of the same endpoint."},
    {kEndpointReady, kInfo, "endpoint-ready",
     "The engine itself reports the weights in force; work is taken.", "None."},
    {kEndpointNotReady, kInfo, "endpoint-not-ready",
     "The endpoint takes no work.", "None."},
    {kEngineUnreachable, kWarning, "engine-unreachable",
     "The engine does not answer.", "Look at the engine."},
    {kPauseNoticed, kWarning, "pause-noticed",
     "This process was paused longer than its lease; it re-reads the world.",
     "Look at the machine if it repeats."},
    {kEngineClaimed, kInfo, "engine-claimed",
     "This agent claims its engine by a fencing number.", "None."},
    {kAgentReplaced, kWarning, "agent-replaced",
     "A higher number has taken the engine; this agent takes no more work. It "
     "claims the engine again after some leases if the list still names it.",
     "Stop this process if the list names another; if it recurs, look for a "
     "second agent of this engine."},
    {kRequestRefused, kInfo, "request-refused",
     "A request was refused and was not run.",
     "If frequent, add capacity or look at the account's share."},
    {kRequestFailed, kWarning, "request-failed",
     "A request ran and failed; the caller was told so.",
     "Look at the endpoint named."},
    {kRequestUnknown, kWarning, "request-unknown",
     "Whether a request ran cannot be known; the caller was told so.",
     "Look at the endpoint named."},
    {kRequestRetried, kInfo, "request-retried",
     "A request is tried at another endpoint.", "None."},
    {kLateAnswerDropped, kInfo, "late-answer-dropped",
     "An answer of an attempt that was given up was dropped.", "None."},
    {kTicketRefused, kInfo, "ticket-refused",
     "An execution ticket was refused.", "None."},
    {kBadRequest, kInfo, "bad-request",
     "A caller's request is malformed; the answer names the field.", "None."},
    {kAccountRefused, kInfo, "account-refused",
     "A caller's key belongs to no client account.",
     "Check the published accounts if the caller should be known."},
    {kRequestSent, kInfo, "request-sent",
     "A request was sent to an endpoint, with what decided it.", "None."},
    {kAttemptEnded, kInfo, "attempt-ended",
     "An attempt ended without the whole answer.",
     "If one endpoint repeats it, look at that endpoint."},
    {kRequestEnded, kInfo, "request-ended",
     "The outcome of an admitted request.", "None."},
    {kCallerGone, kInfo, "caller-gone",
     "A caller left before its answer was whole; its run is cancelled.",
     "None."},
    {kCallerLimit, kInfo, "caller-limit",
     "A request broke a limit on size, time or form.",
     "Look at the limits in force if callers should be allowed to."},
    {kEndpointCrashed, kWarning, "endpoint-crashed",
     "An endpoint's process ended while requests were under way there.",
     "If one request is blamed again and again, it is quarantined; else look "
     "at the endpoint."},
    {kRequestStanding, kWarning, "request-standing",
     "A request is suspected to crash endpoints, quarantined, or cleared of "
     "it; crashes names each with the entry that saw it.",
     "Find its caller by the content of request-sent lines; lift a wrong "
     "quarantine with `chalkwell quarantine`."},
    {kRequestQuarantined, kInfo, "request-quarantined",
     "A request was refused because endpoints crashed under others like it.",
     "None; request-standing says why."},
});

}  // namespace

std::span<const EventDescription> EventCatalogue() noexcept {
  return kCatalogue;
}

const EventDescription& Describe(EventNumber number) {
  const auto row =
      std::ranges::find(kCatalogue, number, &EventDescription::number_);
  if (row == kCatalogue.end()) {
    throw std::out_of_range("event number is not in the catalogue");
  }
  return *row;
}

}  // namespace chalkwell::core
