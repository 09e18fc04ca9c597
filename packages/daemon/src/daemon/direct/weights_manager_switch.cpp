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
  const bool nothing_staged = chunk == 0 && !read.bytes_;
  if (nothing_staged || verification_.AllRead()) {
    scanning_ = false;
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
  client_.stage_chunk_(model_, chunk, std::move(bytes),
                       [this, fetch_id = fetch_id_, chunk](bool accepted) {
                         if (!IsCurrentFetch(fetch_id)) {
                           return;
                         }
                         const auto now = process_.loop().Now();
                         if (!accepted) {
                           planner_.OnRequestFailed(chunk, now);
                           process_.log().Write(
                               core::EventNumber::kStageFailed,
                               {{"piece", std::to_string(chunk)}});
                           return;
                         }
                         held_.Add(chunk);
                         verification_.OnStaged(chunk);
                         planner_.OnChunkReceived(chunk, now);
                         announce_due_ = true;
                         RequestChunks();
                       });
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
  if (!verification_backoff_.IsReady(now)) {
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
  const bool urgent = IsUrgent(now);
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
  client_.activate_(
      model_, fetch_target_.version_,
      [this, fetch_id = fetch_id_](OrderOutcome outcome) {
        if (!IsCurrentFetch(fetch_id)) {
          return;
        }
        if (outcome == OrderOutcome::kRefused) {
          process_.log().Write(
              core::EventNumber::kOrderRefused,
              {{"version", std::to_string(fetch_target_.version_)}});
          switching_ = false;
          const bool older = fetching_older();
          older_refused_ = older_refused_ || older;
          SetPhase(older ? Phase::kIdle : Phase::kStaged);
        }
      });
}

}  // namespace chalkwell::daemon::direct
