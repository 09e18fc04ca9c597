// Staging of chunks at the engine, and the activation order for a staged
// version.
#include <utility>

#include "daemon/direct/direct_settings.hpp"
#include "daemon/direct/weights_manager.hpp"

namespace chalkwell::daemon::direct {
namespace {

using std::chrono::milliseconds;

/// Chunks whose digests were verified within this time are not verified again
/// before the order.
constexpr auto kVerificationValidity = milliseconds(500);
/// An ordered engine starts no request on its old weights. If the switch has
/// not started this long before the served version expires, it starts without a
/// rollout slot: time to verify what is staged and to order.
constexpr auto kSwitchLeadTime = milliseconds(1700);

}  // namespace

void WeightsManager::CheckStagedAtStart() {
  // An engine that already serves at start may have its weights staged too; its
  // neighbours can then fetch them from this agent.
  if (staged_checked_ || manifest_ || model_chunks_ == 0) {
    return;
  }
  staged_checked_ = true;
  client_.read_staged_chunk_(
      model_, 0, [this](const std::optional<std::string>& bytes) {
        if (bytes && !manifest_ && phase_ == Phase::kIdle) {
          held_ = swarm::ChunkSet(model_chunks_);
          for (std::size_t chunk = 0; chunk < model_chunks_; ++chunk) {
            held_.Add(chunk);
          }
          announce_due_ = true;
        }
      });
}

void WeightsManager::ReadStagedChunk(std::size_t chunk) {
  NoteStagingRead(chunk);
  client_.read_staged_chunk_(
      model_, chunk,
      [this, fetch_id = fetch_id_,
       chunk](const std::optional<std::string>& bytes) {
        if (!IsCurrentFetch(fetch_id)) {
          return;
        }
        if (bytes && core::Digest::Sha256Of(*bytes) ==
                         manifest_->chunk_digests_[chunk]) {
          held_.Add(chunk);
        }
        const bool not_staged = chunk == 0 && !bytes;
        if (not_staged || chunk + 1 == held_.size()) {
          staging_reads_ = 0;
          verified_at_ = process_.loop().Now();
          verified_all_ = held_.full();
          StartPlanner();
        } else {
          ReadStagedChunk(chunk + 1);
        }
      });
}

void WeightsManager::StageChunk(std::size_t chunk, std::string bytes) {
  if (!older_.NeedsCopy(chunk)) {
    WriteStaged(chunk, std::move(bytes));
    return;
  }
  client_.read_staged_chunk_(
      model_, chunk,
      [this, fetch_id = fetch_id_, chunk,
       bytes = std::move(bytes)](std::optional<std::string> served) mutable {
        older_.OnOverwritten(chunk, std::move(served));
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
  corrupt_count_ = 0;
  if (verified_all_ &&
      process_.loop().Now() - verified_at_ < kVerificationValidity) {
    SendActivationOrder();
    return;
  }
  VerifyNext(0);
}

void WeightsManager::VerifyNext(std::size_t chunk) {
  if (chunk == held_.size()) {
    if (corrupt_count_ == 0) {
      SendActivationOrder();
      return;
    }
    switching_ = false;
    SetPhase(Phase::kFetching);
    StartPlanner();
    return;
  }
  NoteStagingRead(chunk);
  client_.read_staged_chunk_(
      model_, chunk,
      [this, fetch_id = fetch_id_,
       chunk](const std::optional<std::string>& bytes) {
        if (!IsCurrentFetch(fetch_id)) {
          return;
        }
        const bool good = bytes && core::Digest::Sha256Of(*bytes) ==
                                       manifest_->chunk_digests_[chunk];
        if (!good) {
          ++corrupt_count_;
          held_.Remove(chunk);
          process_.log().Write(core::EventNumber::kStagedChunkCorrupt,
                               {{"piece", std::to_string(chunk)}});
        }
        VerifyNext(chunk + 1);
      });
}

void WeightsManager::NoteStagingRead(std::size_t chunk) {
  if (chunk == 0) {
    first_read_at_ = process_.loop().Now();
    verification_reads_ = 0;
  }
  ++verification_reads_;
}

void WeightsManager::SendActivationOrder() {
  SetPhase(Phase::kOrdered);
  const auto age = process_.loop().Now() - first_read_at_;
  process_.log().Write(
      core::EventNumber::kOrderSent,
      {{"model", model_},
       {"version", std::to_string(fetch_target_.version_)},
       {"reads", std::to_string(verification_reads_)},
       {"oldest_comparison_ms",
        std::to_string(
            std::chrono::duration_cast<milliseconds>(age).count())}});
  process_.metrics().Observe("order_comparison_age_seconds", {}, age);
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
