// The oracles.
#include "fuzz/oracle.hpp"

#include <numeric>

namespace chalkwell::fuzz {

using enum Invariant;

std::string ToString(Invariant invariant) {
  switch (invariant) {
    case kWholeWeights:
      return "whole_weights";
    case kOwnWholeAnswer:
      return "own_whole_answer";
    case kNotRunIsNotRun:
      return "not_run_is_not_run";
    case kAtMostOnce:
      return "at_most_once";
    case kLeavingGetsNoWork:
      return "leaving_gets_no_work";
    case kPlannedStopCutsNothing:
      return "planned_stop_cuts_nothing";
    case kConfigurationNeverReverts:
      return "configuration_never_reverts";
  }
  return "";
}

std::uint64_t Oracle::violations() const noexcept {
  return std::accumulate(counts_.begin(), counts_.end(), std::uint64_t{0});
}

void Oracle::Violate(Invariant invariant, const std::string& what) {
  ++counts_.at(static_cast<std::size_t>(invariant));
  if (first_.empty()) {
    first_ = ToString(invariant) + ": " + what;
  }
}

void Oracle::OnEngineActivated(std::uint64_t version,
                               const core::Digest& /*manifest*/,
                               bool staged_whole, std::size_t running,
                               std::uint64_t version_before,
                               bool checks_fencing, bool is_signed) {
  if (!staged_whole) {
    Violate(kWholeWeights, "weights that are not whole were activated");
  }
  if (!is_signed) {
    Violate(kConfigurationNeverReverts, "an unsigned bundle was activated");
  }
  if (checks_fencing && running > 0) {
    Violate(kWholeWeights, "weights changed under running requests");
  }
  if (checks_fencing && version < version_before) {
    Violate(kConfigurationNeverReverts, "an engine went back in version");
  }
}

void Oracle::OnAnnounced(const core::Digest& manifest,
                         const std::set<core::Digest>& ever_held) {
  if (!ever_held.contains(manifest)) {
    Violate(kWholeWeights, "weights were announced that no engine held");
  }
}

void Oracle::OnHandedOn(bool knows_world) {
  if (!knows_world) {
    Violate(kWholeWeights, "a woken process acted on what it believed before");
  }
}

void Oracle::OnExecuted(std::uint64_t order, std::uint64_t request,
                        bool repeatable) {
  ++executions_by_request_[request];
  const auto times = ++executions_by_order_[order];
  if (!repeatable && times > 1) {
    Violate(kAtMostOnce, "an order ran twice");
  }
  if (told_not_run_.contains(request)) {
    Violate(kNotRunIsNotRun, "a request ran after its caller was told no");
  }
}

void Oracle::OnDelivered(std::uint64_t request, std::uint64_t answers_request,
                         std::uint32_t attempt, std::uint64_t sequence,
                         const core::Digest& pinned, const core::Digest& from) {
  auto& delivery = delivered_[request];
  if (answers_request != request) {
    Violate(kOwnWholeAnswer, "an answer reached another caller");
  }
  if (ended_.contains(request)) {
    Violate(kOwnWholeAnswer, "bytes came after the end");
  }
  const bool joined = delivery.next_ != 0 && attempt != delivery.attempt_;
  if (joined && (attempt < delivery.attempt_ || pinned != delivery.weights_)) {
    Violate(kOwnWholeAnswer,
            "an answer went on from an earlier attempt or from other weights");
  }
  if (sequence != delivery.next_) {
    Violate(kOwnWholeAnswer, "a piece is missing or repeated");
  }
  if (from != pinned) {
    Violate(kWholeWeights, "an answer came from other weights than pinned");
  }
  delivery.attempt_ = attempt;
  delivery.next_ = sequence + 1;
  delivery.weights_ = pinned;
}

void Oracle::OnOutcome(std::uint64_t request, routing::Outcome outcome,
                       std::uint64_t answer_length) {
  if (!ended_.insert(request).second) {
    Violate(kOwnWholeAnswer, "a request ended twice");
  }
  if (outcome == routing::Outcome::kAnswered &&
      delivered_[request].next_ != answer_length) {
    Violate(kOwnWholeAnswer, "an answer was cut short");
  }
  if (outcome == routing::Outcome::kRefusedNotRun) {
    told_not_run_.insert(request);
    if (executions_by_request_[request] > 0) {
      Violate(kNotRunIsNotRun, "a caller was told no, but it had run");
    }
  }
}

void Oracle::OnSentTo(bool known_leaving_for_long) {
  if (known_leaving_for_long) {
    Violate(kLeavingGetsNoWork, "an entry sent work to a leaving endpoint");
  }
}

void Oracle::OnTakenBy(bool leaving) {
  if (leaving) {
    Violate(kLeavingGetsNoWork, "a leaving process took new work");
  }
}

void Oracle::OnExit(std::size_t work, bool in_time) {
  if (work > 0 && in_time) {
    Violate(kPlannedStopCutsNothing, "a planned stop cut work off");
  }
}

void Oracle::OnInForce(int process, const config::DocumentVersion& stamp,
                       bool is_signed) {
  auto& held = in_force_[process];
  if (stamp < held) {
    Violate(kConfigurationNeverReverts, "a process went back");
  }
  if (!is_signed) {
    Violate(kConfigurationNeverReverts, "an unsigned bundle is in force");
  }
  held = stamp;
}

void Oracle::OnRunsEverywhere(bool runs_newest) {
  if (!runs_newest) {
    Violate(kConfigurationNeverReverts,
            "an engine does not run the bundle in force after healing");
  }
}

void Oracle::OnServesAgain(bool serves) {
  if (!serves) {
    Violate(kConfigurationNeverReverts,
            "an endpoint takes no work under a stale service");
  }
}

void Oracle::OnSettled(const std::vector<config::DocumentVersion>& stamps) {
  for (const auto& stamp : stamps) {
    if (stamp != stamps.front()) {
      Violate(kConfigurationNeverReverts, "processes differ after healing");
      return;
    }
  }
}

}  // namespace chalkwell::fuzz
