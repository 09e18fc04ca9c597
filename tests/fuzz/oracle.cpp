#include "fuzz/oracle.hpp"

#include <numeric>

namespace chalkwell::fuzz {

using enum Invariant;

std::string ToString(Invariant invariant) {
  switch (invariant) {
    case kCompleteWeights:
      return "whole_weights";
    case kCompleteOwnResponse:
      return "own_whole_answer";
    case kNotRunIsCertain:
      return "not_run_is_not_run";
    case kAtMostOnce:
      return "at_most_once";
    case kNoWorkWhileDraining:
      return "leaving_gets_no_work";
    case kShutdownLosesNoWork:
      return "planned_stop_cuts_nothing";
    case kConfigurationNeverReverts:
      return "configuration_never_reverts";
  }
  return "";
}

std::uint64_t Oracle::violations() const noexcept {
  return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

void Oracle::Violate(Invariant invariant, const std::string& message) {
  ++counts_.at(static_cast<std::size_t>(invariant));
  if (first_violation_.empty()) {
    first_violation_ = ToString(invariant) + ": " + message;
  }
}

void Oracle::OnEngineActivated(std::uint64_t version,
                               const core::Digest& /*manifest*/,
                               bool staging_complete, std::size_t running,
                               std::uint64_t previous_version,
                               bool checks_fencing, bool is_signed) {
  if (!staging_complete) {
    Violate(kCompleteWeights, "incomplete weights were activated");
  }
  if (!is_signed) {
    Violate(kConfigurationNeverReverts, "an unsigned bundle was activated");
  }
  if (checks_fencing && running > 0) {
    Violate(kCompleteWeights, "weights changed under running requests");
  }
  if (checks_fencing && version < previous_version) {
    Violate(kConfigurationNeverReverts, "an engine activated an older version");
  }
}

void Oracle::OnAnnounced(const core::Digest& manifest,
                         const std::set<core::Digest>& activated_manifests) {
  if (!activated_manifests.contains(manifest)) {
    Violate(kCompleteWeights,
            "weights were announced that the engine never activated");
  }
}

void Oracle::OnActedOnEngine(bool state_is_current) {
  if (!state_is_current) {
    Violate(kCompleteWeights, "a process acted on engine state past its lease");
  }
}

void Oracle::OnExecuted(std::uint64_t operation, std::uint64_t request,
                        bool repeatable) {
  ++executions_by_request_[request];
  const auto executions = ++executions_by_operation_[operation];
  if (!repeatable && executions > 1) {
    Violate(kAtMostOnce, "a non-repeatable operation was executed twice");
  }
  if (reported_not_run_.contains(request)) {
    Violate(kNotRunIsCertain,
            "a request was executed after it was reported as not run");
  }
}

void Oracle::OnResponseDelivered(std::uint64_t request,
                                 std::uint64_t response_request,
                                 std::uint32_t attempt, std::uint64_t sequence,
                                 const core::Digest& pinned_weights,
                                 const core::Digest& source_weights) {
  auto& delivery = deliveries_[request];
  if (response_request != request) {
    Violate(kCompleteOwnResponse,
            "a response was forwarded to the caller of another request");
  }
  if (ended_.contains(request)) {
    Violate(kCompleteOwnResponse,
            "response data was forwarded after the outcome");
  }
  const bool resumed =
      delivery.next_sequence_ != 0 && attempt != delivery.attempt_;
  if (resumed &&
      (attempt < delivery.attempt_ || pinned_weights != delivery.weights_)) {
    Violate(
        kCompleteOwnResponse,
        "a response was resumed by an earlier attempt or with other weights");
  }
  if (sequence != delivery.next_sequence_) {
    Violate(kCompleteOwnResponse, "a data frame is missing or repeated");
  }
  if (source_weights != pinned_weights) {
    Violate(kCompleteWeights,
            "a response used other weights than the pinned ones");
  }
  delivery.attempt_ = attempt;
  delivery.next_sequence_ = sequence + 1;
  delivery.weights_ = pinned_weights;
}

void Oracle::OnOutcome(std::uint64_t request, routing::Outcome outcome,
                       std::uint64_t response_length) {
  if (!ended_.insert(request).second) {
    Violate(kCompleteOwnResponse, "a request has two outcomes");
  }
  if (outcome == routing::Outcome::kAnswered &&
      deliveries_[request].next_sequence_ != response_length) {
    Violate(kCompleteOwnResponse,
            "a response reported as complete was truncated");
  }
  if (outcome == routing::Outcome::kRefusedNotRun) {
    reported_not_run_.insert(request);
    if (executions_by_request_[request] > 0) {
      Violate(kNotRunIsCertain, "an executed request was reported as not run");
    }
  }
}

void Oracle::OnRequestSent(bool draining_past_bound) {
  if (draining_past_bound) {
    Violate(kNoWorkWhileDraining,
            "an entry sent a request to a draining endpoint");
  }
}

void Oracle::OnRequestAccepted(bool draining) {
  if (draining) {
    Violate(kNoWorkWhileDraining, "a draining process accepted new work");
  }
}

void Oracle::OnExit(std::size_t pending, bool within_limit) {
  if (pending > 0 && within_limit) {
    Violate(kShutdownLosesNoWork, "a graceful shutdown ended accepted work");
  }
}

void Oracle::OnBundleActive(int process, const config::DocumentVersion& stamp,
                            bool is_signed) {
  auto& active = active_stamps_[process];
  if (stamp < active) {
    Violate(kConfigurationNeverReverts,
            "a process replaced its bundle by an older one");
  }
  if (!is_signed) {
    Violate(kConfigurationNeverReverts, "an unsigned bundle is active");
  }
  active = stamp;
}

void Oracle::OnEngineSettled(bool runs_active_bundle) {
  if (!runs_active_bundle) {
    Violate(kConfigurationNeverReverts,
            "an engine does not run the active bundle after all faults ended");
  }
}

void Oracle::OnRestartedWithStaleStore(bool accepting) {
  if (!accepting) {
    Violate(
        kConfigurationNeverReverts,
        "an endpoint accepts no work while the configuration store is stale");
  }
}

void Oracle::OnSettled(const std::vector<config::DocumentVersion>& stamps) {
  for (const auto& stamp : stamps) {
    if (stamp != stamps.front()) {
      Violate(kConfigurationNeverReverts,
              "active bundles differ after all faults ended");
      return;
    }
  }
}

}  // namespace chalkwell::fuzz
