// Older weights: kept for others while newer ones are fetched, and fetched for
// an engine without any while the newest can't be had.
#include "chalkwell/rollout/first_fetch.hpp"
#include "daemon/direct/direct_settings.hpp"
#include "daemon/direct/weights_manager.hpp"

namespace chalkwell::daemon::direct {
namespace {

using std::chrono::milliseconds;

/// Between two looks at whether older weights would serve sooner.
constexpr auto kConsiderInterval = milliseconds(200);
/// Time of a piece on the own link while none has arrived yet.
constexpr auto kUnknownPieceTime = milliseconds(40);
/// Older weights are given up when they take this many times as long as on an
/// idle link.
constexpr int kOlderPatience = 4;

}  // namespace

PieceSource WeightsKeeper::Source() {
  PieceSource source;
  source.holds_ = [this](const PieceMessage& piece) {
    const bool newer =
        piece.version_ == HeldVersion() && held_.Has(piece.piece_);
    return piece.model_ == model_ && (newer || older_.Holds(piece));
  };
  source.manifest_ = [this](std::uint64_t version) -> const WeightsManifest* {
    const bool newer =
        manifest_ && (version == 0 || manifest_->version_ == version);
    return newer ? &*manifest_ : older_.Manifest(version);
  };
  source.copy_ = [this](const PieceMessage& piece) {
    return older_.Copy(piece);
  };
  source.on_missing_ = [this](const PieceMessage& piece) { OnMissing(piece); };
  return source;
}

void WeightsKeeper::KeepServed() {
  const bool served = serving_ != 0 && HeldVersion() == serving_;
  if (served && older_.version() != serving_) {
    older_.Start(serving_, manifest_, held_);
  }
}

std::optional<core::TimePoint> WeightsKeeper::EndOf(
    std::uint64_t version) const {
  return named_.ExpiryOf(version, VersionBoundOf(process_.settings()));
}

core::Duration WeightsKeeper::LinkTime(std::size_t pieces) const {
  const auto rate = LinkRate(process_.settings());
  const auto count = static_cast<int>(pieces);
  if (piece_bytes_ == 0 || rate == 0) {
    return kUnknownPieceTime * count;
  }
  const std::chrono::duration<double> one(static_cast<double>(piece_bytes_) /
                                          static_cast<double>(rate));
  return std::chrono::duration_cast<core::Duration>(one) * count;
}

void WeightsKeeper::DropOutdated(core::TimePoint now) {
  const auto kept = older_.version();
  const auto kept_end = EndOf(kept);
  if (kept != 0 && (serving_ > kept || (kept_end && now >= *kept_end))) {
    older_.Clear();
    announce_due_ = true;
  }
  const bool fetching =
      phase_ == Phase::kManifest || phase_ == Phase::kFetching;
  if (!older_first() || !fetching) {
    return;
  }
  const auto end = EndOf(goal_.version_);
  const bool slow =
      now - phase_since_ >= LinkTime(usual_pieces_) * kOlderPatience;
  older_refused_ = older_refused_ || slow;
  if (slow || (end && now >= *end)) {
    process_.log().Write(core::EventNumber::kFetchAbandoned,
                         {{"for", std::to_string(wanted_.version_)}});
    SetPhase(Phase::kSettled);
  }
}

void WeightsKeeper::ConsiderOlder(core::TimePoint now) {
  const bool fetching =
      phase_ == Phase::kManifest || phase_ == Phase::kFetching;
  const bool open = serving_ == 0 && wanted_.version_ != 0 && !older_first() &&
                    fetching && !older_refused_;
  if (!open || now - considered_at_ < kConsiderInterval) {
    return;
  }
  considered_at_ = now;
  auto seen = OfferedPieces(peers_.peers(), wanted_.version_, usual_pieces_);
  for (std::size_t piece = 0; piece < usual_pieces_; ++piece) {
    if (held_.Has(piece)) {
      seen.Add(piece);
    }
  }
  progress_.OnAvailable(seen.count(), now);
  const auto older =
      OfferedBelow(peers_.peers(), wanted_.version_, usual_pieces_);
  const auto end = older ? EndOf(*older) : std::nullopt;
  if (!end || !progress_.HasRate(now)) {
    return;
  }
  rollout::FirstFetchForecast forecast;
  forecast.newest_available_ = progress_.TimeLeft(now);
  forecast.newest_transfer_ = LinkTime(usual_pieces_ - held_.count());
  forecast.older_transfer_ = LinkTime(usual_pieces_);
  forecast.older_expiry_ = *end - now;
  if (!rollout::FetchOlderFirst(forecast)) {
    return;
  }
  process_.log().Write(
      core::EventNumber::kOlderWeightsFirst,
      {{"version", std::to_string(*older)},
       {"newest", std::to_string(wanted_.version_)},
       {"newest_pieces_out", std::to_string(seen.count())},
       {"usable_ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                        forecast.older_expiry_)
                                        .count())}});
  BeginWith({model_, *older});
}

}  // namespace chalkwell::daemon::direct
