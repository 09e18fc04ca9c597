// Staging of chunks at the engine, and the activation order for a staged
// version.
#include <utility>

#include "daemon/direct/direct_settings.hpp"
#include "daemon/direct/weights_manager.hpp"

namespace chalkwell::daemon::direct {
namespace {

using std::chrono::milliseconds;

/// An ordered engine starts no request on its old weights. If the switch has
/// not started this long before the served version expires, it starts without a
/// rollout slot: time to verify what is staged and to order.
constexpr auto kSwitchLeadTime = milliseconds(1700);

rollout::OrderReply ToReply(OrderOutcome outcome) {
  switch (outcome) {
    case OrderOutcome::kStarted:
    case OrderOutcome::kDone:
      return rollout::OrderReply::kAccepted;
    case OrderOutcome::kRefused:
      return rollout::OrderReply::kRefused;
    case OrderOutcome::kNoReply:
      return rollout::OrderReply::kNone;
  }
  return rollout::OrderReply::kNone;
}

std::string ToText(core::Duration duration) {
  return std::to_string(
      std::chrono::duration_cast<milliseconds>(duration).count());
}

}  // namespace

void WeightsManager::CheckStagedAtStart() {
  // An engine that already serves at start may have its weights staged too; its
  // neighbours can then fetch them from this agent.
  if (staged_checked_ || manifest_ || model_chunks_ == 0) {
    return;
  }
  staged_checked_ = true;
  client_.read_staged_chunk_(model_, 0, [this](const StagedChunk& read) {
    if (read.bytes_ && !manifest_ && phase_ == Phase::kIdle) {
      held_ = swarm::ChunkSet(model_chunks_);
      for (std::size_t chunk = 0; chunk < model_chunks_; ++chunk) {
        held_.Add(chunk);
      }
      announce_due_ = true;
    }
  });
}

void WeightsManager::ReadStagedChunks() {
  for (const auto chunk : verification_.Next(process_.loop().Now())) {
    client_.read_staged_chunk_(
        model_, chunk,
        [this, fetch_id = fetch_id_, chunk](const StagedChunk& read) {
          if (IsCurrentFetch(fetch_id)) {
            OnStagedChunkRead(chunk, read);
          }
        });
  }
}

void WeightsManager::OnStagedChunkRead(std::size_t chunk,
                                       const StagedChunk& read) {
  using rollout::ChunkComparison;
  auto comparison = ChunkComparison::kFailed;
  if (read.replied_) {
    const bool good = read.bytes_ && core::Digest::Sha256Of(*read.bytes_) ==
                                         manifest_->chunk_digests_[chunk];
    comparison = good ? ChunkComparison::kMatch : ChunkComparison::kMismatch;
  }
  comparison = verification_.OnRead(chunk, comparison, process_.loop().Now());
  if (scanning_) {
    if (comparison == ChunkComparison::kMatch) {
      held_.Add(chunk);
    }
    ContinueScan(chunk, read);
    return;
  }
  if (comparison == ChunkComparison::kMismatch) {
    DropStagedChunk(chunk);
  }
  if (phase_ == Phase::kVerifying) {
    ContinueVerification();
  }
}

void WeightsManager::StartScan() {
  scanning_ = true;
  verification_.Begin(process_.loop().Now());
  ReadStagedChunks();
}

void WeightsManager::ContinueScan(std::size_t chunk, const StagedChunk& read) {
  const bool nothing_staged = chunk == 0 && read.replied_ && !read.bytes_;
  if (nothing_staged) {
    staging_guard_.OnStagingEmpty();
  }
  if (nothing_staged || verification_.AllRead()) {
    scanning_ = false;
    if (held_.count() > 0) {
      staging_guard_.OnStagedVersion(fetch_target_.version_);
    }
    StartPlanner();
  } else {
    ReadStagedChunks();
  }
}

void WeightsManager::StageChunk(std::size_t chunk, std::string bytes) {
  if (!older_.NeedsCopy(chunk)) {
    WriteStaged(chunk, std::move(bytes));
    return;
  }
  client_.read_staged_chunk_(
      model_, chunk,
      [this, fetch_id = fetch_id_, chunk,
       bytes = std::move(bytes)](StagedChunk served) mutable {
        older_.OnOverwritten(chunk, std::move(served.bytes_));
        if (IsCurrentFetch(fetch_id)) {
          WriteStaged(chunk, std::move(bytes));
        }
      });
}

void WeightsManager::WriteStaged(std::size_t chunk, std::string bytes) {
  if (!staging_guard_.MayWrite(fetch_target_.version_)) {
    planner_.OnRequestFailed(chunk, process_.loop().Now());
    return;
  }
  const auto write = staging_guard_.OnWriteSent(fetch_target_.version_);
  client_.stage_chunk_(
      model_, chunk, std::move(bytes),
      [this, fetch_id = fetch_id_, chunk, write](bool accepted) {
        staging_guard_.OnWriteEnded(write, accepted, process_.loop().Now());
        if (IsCurrentFetch(fetch_id)) {
          OnChunkWritten(chunk, accepted);
        }
      });
}

void WeightsManager::OnChunkWritten(std::size_t chunk, bool accepted) {
  const auto now = process_.loop().Now();
  if (!accepted) {
    planner_.OnRequestFailed(chunk, now);
    process_.log().Write(core::EventNumber::kStageFailed,
                         {{"piece", std::to_string(chunk)}});
    return;
  }
  held_.Add(chunk);
  verification_.OnStaged(chunk);
  planner_.OnChunkReceived(chunk, now);
  announce_due_ = true;
  RequestChunks();
}

void WeightsManager::OnChunkUnreadable(const ChunkRequest& request) {
  if (request.version_ != HeldVersion()) {
    older_.RemoveChunk(request.chunk_);
    return;
  }
  const std::size_t chunk = request.chunk_;
  if (!held_.Has(chunk)) {
    return;
  }
  if (manifest_) {
    verification_.OnMismatch(chunk);
  }
  DropStagedChunk(chunk);
}

void WeightsManager::DropStagedChunk(std::size_t chunk) {
  if (!held_.Has(chunk)) {
    return;
  }
  held_.Remove(chunk);
  announce_due_ = true;
  process_.log().Write(core::EventNumber::kStagedChunkCorrupt,
                       {{"piece", std::to_string(chunk)}});
  if (phase_ == Phase::kFetching) {
    planner_.OnChunkLost(chunk);
  } else if (phase_ == Phase::kStaged) {
    SetPhase(Phase::kFetching);
    StartPlanner();
  }
}

bool WeightsManager::IsUrgent(core::TimePoint now) const {
  const auto end = ExpiryOf(serving_);
  return end && now >= *end - kSwitchLeadTime;
}

void WeightsManager::TryStartSwitch() {
  const auto now = process_.loop().Now();
  if (!verification_backoff_.IsReady(now) ||
      !staging_guard_.MayOrder(fetch_target_.version_)) {
    return;
  }
  std::set<core::InstanceId> local_members{exchange_.self()};
  for (const auto& [id, peer] : exchange_.peers()) {
    if (peer.member_.domain_ != process_.domain()) {
      continue;
    }
    local_members.insert(id);
    if (peer.held_.serving_ >= fetch_target_.version_) {
      rollout_slots_.OnServing(id, peer.held_.serving_, now);
    }
  }
  rollout_slots_.SetMembers(std::move(local_members));
  // An unresolved order is sent again: the engine takes one of them at most,
  // and its reply shows that the others are refused.
  const bool urgent = IsUrgent(now) || staging_guard_.unresolved();
  if (serving_ != 0 && !urgent && !rollout_slots_.MayDrain(now)) {
    return;
  }
  process_.log().Write(core::EventNumber::kRolloutSlotObtained,
                       {{"version", std::to_string(fetch_target_.version_)},
                        {"serving", std::to_string(serving_)},
                        {"urgent", urgent ? "yes" : "no"}});
  switching_ = true;
  Verify();
}

void WeightsManager::Verify() {
  SetPhase(Phase::kVerifying);
  verification_.Begin(process_.loop().Now());
  ContinueVerification();
}

void WeightsManager::ContinueVerification() {
  switch (verification_.StateAt(process_.loop().Now())) {
    case rollout::VerificationState::kReading:
      ReadStagedChunks();
      break;
    case rollout::VerificationState::kVerified:
      verification_backoff_.OnSuccess();
      SendActivationOrder();
      break;
    case rollout::VerificationState::kMismatch:
      switching_ = false;
      SetPhase(Phase::kFetching);
      StartPlanner();
      break;
    case rollout::VerificationState::kTimedOut:
      OnVerificationTimedOut();
      break;
  }
}

void WeightsManager::OnVerificationTimedOut() {
  const auto now = process_.loop().Now();
  const auto pause = verification_backoff_.OnFailure(now);
  process_.log().Write(core::EventNumber::kVerificationTimedOut,
                       {{"version", std::to_string(fetch_target_.version_)},
                        {"chunks", std::to_string(held_.size())},
                        {"reads", std::to_string(verification_.reads())},
                        {"after_ms", ToText(verification_.Elapsed(now))},
                        {"again_in_ms", ToText(pause)}});
  switching_ = false;
  SetPhase(Phase::kStaged);
}

void WeightsManager::SendActivationOrder() {
  const auto now = process_.loop().Now();
  const auto age = verification_.OldestAge(now).value_or(core::Duration{});
  SetPhase(Phase::kOrdered);
  process_.log().Write(core::EventNumber::kOrderSent,
                       {{"model", model_},
                        {"version", std::to_string(fetch_target_.version_)},
                        {"reads", std::to_string(verification_.reads())},
                        {"oldest_comparison_ms", ToText(age)}});
  process_.metrics().Observe("order_comparison_age_seconds", {}, age);
  process_.metrics().Observe("verification_seconds", {},
                             verification_.Elapsed(now));
  const auto order = staging_guard_.OnOrderSent(fetch_target_.version_,
                                                last_activation_count_, now);
  ordered_at_ = *staging_guard_.unresolved_since();
  ordered_version_ = fetch_target_.version_;
  process_.metrics().Set("activation_order_unresolved", {}, 1);
  client_.activate_(model_, fetch_target_.version_, last_activation_count_,
                    [this, order, fetch_id = fetch_id_](OrderOutcome outcome) {
                      OnOrderEnded(order, outcome, fetch_id);
                    });
}

void WeightsManager::OnOrderEnded(rollout::StagingGuard::Id order,
                                  OrderOutcome outcome,
                                  std::uint64_t fetch_id) {
  const bool current = IsCurrentFetch(fetch_id);
  const auto resolution = staging_guard_.OnOrderEnded(order, ToReply(outcome),
                                                      process_.loop().Now());
  if (current && outcome == OrderOutcome::kRefused) {
    OnOrderRefused();
  } else if (current && staging_guard_.unresolved() &&
             phase_ == Phase::kOrdered) {
    SetPhase(Phase::kStaged);
  }
  if (resolution) {
    OnOrderResolved(*resolution);
  }
}

void WeightsManager::OnOrderRefused() {
  process_.log().Write(core::EventNumber::kOrderRefused,
                       {{"version", std::to_string(fetch_target_.version_)}});
  switching_ = false;
  const bool older = fetching_older() && !abandon_when_resolved_;
  older_refused_ = older_refused_ || older;
  SetPhase(older ? Phase::kIdle : Phase::kStaged);
}

void WeightsManager::OnOrderResolved(rollout::OrderResolution resolution) {
  const auto elapsed = process_.loop().Now() - ordered_at_;
  process_.log().Write(core::EventNumber::kOrderResolved,
                       {{"version", std::to_string(ordered_version_)},
                        {"by", std::string(rollout::ToString(resolution))},
                        {"after_ms", ToText(elapsed)}});
  process_.metrics().Set("activation_order_unresolved", {}, 0);
  process_.metrics().Observe("order_unresolved_seconds", {}, elapsed);
  if (abandon_when_resolved_) {
    AbandonFetch();
  } else if (resolution == rollout::OrderResolution::kReport &&
             phase_ != Phase::kIdle &&
             fetch_target_.version_ == ordered_version_) {
    // The engine took the order while it was about to be sent again.
    SetPhase(Phase::kOrdered);
  }
}

std::optional<core::Duration> WeightsManager::OrderUnresolvedFor(
    core::TimePoint now) const {
  const auto since = staging_guard_.unresolved_since();
  return since ? std::optional(now - *since) : std::nullopt;
}

}  // namespace chalkwell::daemon::direct
