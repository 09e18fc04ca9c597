// The engine's staging, and the order to take up what is staged.
#include <utility>

#include "daemon/direct/direct_settings.hpp"
#include "daemon/direct/weights_manager.hpp"

namespace chalkwell::daemon::direct {
namespace {

using std::chrono::milliseconds;

/// Pieces that were compared with their digests within this are not compared
/// again before the order.
constexpr auto kVerifiedRecently = milliseconds(500);
/// Once ordered, an engine begins no request on its old weights. A switch that
/// has not begun this long before the bound begins without its turn: time to
/// verify what is staged and to order.
constexpr auto kSwitchTime = milliseconds(1700);

}  // namespace

void WeightsKeeper::CheckStagedAtStart() {
  // An engine that serves from the start may have its weights staged too: then
  // its neighbours can have them from here.
  if (staged_checked_ || manifest_ || usual_pieces_ == 0) {
    return;
  }
  staged_checked_ = true;
  client_.read_staged_chunk_(
      model_, 0, [this](const std::optional<std::string>& bytes) {
        if (bytes && !manifest_ && phase_ == Phase::kSettled) {
          held_ = swarm::ChunkSet(usual_pieces_);
          for (std::size_t piece = 0; piece < usual_pieces_; ++piece) {
            held_.Add(piece);
          }
          announce_due_ = true;
        }
      });
}

void WeightsKeeper::ReadStaged(std::size_t piece) {
  client_.read_staged_chunk_(
      model_, piece,
      [this, job = job_, piece](const std::optional<std::string>& bytes) {
        if (!Current(job)) {
          return;
        }
        if (bytes && core::Digest::Sha256Of(*bytes) ==
                         manifest_->chunk_digests_[piece]) {
          held_.Add(piece);
        }
        const bool nothing = piece == 0 && !bytes;
        if (nothing || piece + 1 == held_.size()) {
          staging_ = 0;
          verified_at_ = process_.loop().Now();
          verified_all_ = held_.full();
          StartPlanner();
        } else {
          ReadStaged(piece + 1);
        }
      });
}

void WeightsKeeper::Stage(std::size_t piece, std::string bytes) {
  if (!older_.NeedsCopy(piece)) {
    PutStaged(piece, std::move(bytes));
    return;
  }
  client_.read_staged_chunk_(
      model_, piece,
      [this, job = job_, piece,
       bytes = std::move(bytes)](std::optional<std::string> served) mutable {
        older_.OnOverwritten(piece, std::move(served));
        if (Current(job)) {
          PutStaged(piece, std::move(bytes));
        }
      });
}

void WeightsKeeper::PutStaged(std::size_t piece, std::string bytes) {
  client_.stage_chunk_(
      model_, piece, std::move(bytes), [this, job = job_, piece](bool taken) {
        if (!Current(job)) {
          return;
        }
        const auto now = process_.loop().Now();
        if (!taken) {
          planner_.OnRequestFailed(piece, now);
          process_.log().Write(core::EventNumber::kStageFailed,
                               {{"piece", std::to_string(piece)}});
          return;
        }
        held_.Add(piece);
        planner_.OnChunkReceived(piece, now);
        announce_due_ = true;
        Pump();
      });
}

void WeightsKeeper::OnMissing(const PieceMessage& asked) {
  if (asked.version_ != HeldVersion()) {
    older_.Lose(asked.piece_);
    return;
  }
  const std::size_t piece = asked.piece_;
  if (!held_.Has(piece)) {
    return;
  }
  held_.Remove(piece);
  announce_due_ = true;
  process_.log().Write(core::EventNumber::kStagedSpoilt,
                       {{"piece", std::to_string(piece)}});
  if (phase_ == Phase::kFetching) {
    planner_.OnChunkLost(piece);
  } else if (phase_ == Phase::kStaged) {
    SetPhase(Phase::kFetching);
    StartPlanner();
  }
}

bool WeightsKeeper::Urgent(core::TimePoint now) const {
  const auto end = EndOf(serving_);
  return end && now >= *end - kSwitchTime;
}

void WeightsKeeper::TakeTurn() {
  const auto now = process_.loop().Now();
  std::set<core::InstanceId> near{peers_.self()};
  for (const auto& [id, peer] : peers_.peers()) {
    if (peer.member_.domain_ != process_.domain()) {
      continue;
    }
    near.insert(id);
    if (peer.held_.serving_ >= goal_.version_) {
      turns_.OnServing(id, peer.held_.serving_, now);
    }
  }
  turns_.SetMembers(std::move(near));
  const bool urgent = Urgent(now);
  if (serving_ != 0 && !urgent && !turns_.MayDrain(now)) {
    return;
  }
  process_.log().Write(core::EventNumber::kTurnTaken,
                       {{"version", std::to_string(goal_.version_)},
                        {"serving", std::to_string(serving_)},
                        {"urgent", urgent ? "yes" : "no"}});
  switching_ = true;
  Verify();
}

void WeightsKeeper::Verify() {
  SetPhase(Phase::kVerifying);
  spoilt_ = 0;
  if (verified_all_ &&
      process_.loop().Now() - verified_at_ < kVerifiedRecently) {
    Order();
    return;
  }
  VerifyNext(0);
}

void WeightsKeeper::VerifyNext(std::size_t piece) {
  if (piece == held_.size()) {
    if (spoilt_ == 0) {
      Order();
      return;
    }
    switching_ = false;
    SetPhase(Phase::kFetching);
    StartPlanner();
    return;
  }
  client_.read_staged_chunk_(
      model_, piece,
      [this, job = job_, piece](const std::optional<std::string>& bytes) {
        if (!Current(job)) {
          return;
        }
        const bool good = bytes && core::Digest::Sha256Of(*bytes) ==
                                       manifest_->chunk_digests_[piece];
        if (!good) {
          ++spoilt_;
          held_.Remove(piece);
          process_.log().Write(core::EventNumber::kStagedSpoilt,
                               {{"piece", std::to_string(piece)}});
        }
        VerifyNext(piece + 1);
      });
}

void WeightsKeeper::Order() {
  SetPhase(Phase::kOrdered);
  process_.log().Write(
      core::EventNumber::kOrderSent,
      {{"model", model_}, {"version", std::to_string(goal_.version_)}});
  client_.activate_(
      model_, goal_.version_, [this, job = job_](OrderOutcome end) {
        if (!Current(job)) {
          return;
        }
        if (end == OrderOutcome::kRefused) {
          process_.log().Write(core::EventNumber::kOrderRefused,
                               {{"version", std::to_string(goal_.version_)}});
          switching_ = false;
          const bool older = older_first();
          older_refused_ = older_refused_ || older;
          SetPhase(older ? Phase::kSettled : Phase::kStaged);
        }
      });
}

}  // namespace chalkwell::daemon::direct
