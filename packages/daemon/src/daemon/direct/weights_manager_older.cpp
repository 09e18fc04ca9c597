// Older versions: retained for peers while a newer one is fetched, and fetched
// for an engine without weights while the target version is not available soon
// enough.
#include "chalkwell/rollout/first_fetch.hpp"
#include "daemon/direct/direct_settings.hpp"
#include "daemon/direct/weights_manager.hpp"

namespace chalkwell::daemon::direct {
namespace {

using std::chrono::milliseconds;

/// Interval between checks whether an older version would serve sooner.
constexpr auto kConsiderInterval = milliseconds(200);
/// Assumed transfer time of a chunk on the local link until one has arrived.
constexpr auto kDefaultChunkTime = milliseconds(40);
/// The fetch of an older version is abandoned when it takes this many times as
/// long as on an idle link.
constexpr int kOlderTimeoutFactor = 4;

}  // namespace

ChunkProvider WeightsManager::MakeChunkProvider() {
  ChunkProvider provider;
  provider.holds_ = [this](const ChunkRequest& chunk) {
    const bool newer =
        chunk.version_ == HeldVersion() && held_.Has(chunk.chunk_);
    return chunk.model_ == model_ && (newer || older_.Holds(chunk));
  };
  provider.manifest_ = [this](std::uint64_t version) -> const WeightsManifest* {
    const bool newer =
        manifest_ && (version == 0 || manifest_->version_ == version);
    return newer ? &*manifest_ : older_.Manifest(version);
  };
  provider.find_copy_ = [this](const ChunkRequest& chunk) {
    return older_.FindCopy(chunk);
  };
  provider.on_unreadable_ = [this](const ChunkRequest& chunk) {
    OnChunkUnreadable(chunk);
  };
  return provider;
}

void WeightsManager::RetainServedVersion() {
  const bool served = serving_ != 0 && HeldVersion() == serving_;
  if (served && older_.version() != serving_) {
    older_.Start(serving_, manifest_, held_);
  }
}

std::optional<core::TimePoint> WeightsManager::ExpiryOf(
    std::uint64_t version) const {
  return version_bound_.ExpiryOf(version,
                                 OlderVersionUseLimitOf(process_.settings()));
}

core::Duration WeightsManager::TransferTime(std::size_t chunks) const {
  const auto rate = LinkRate(process_.settings());
  const auto count = static_cast<int>(chunks);
  if (chunk_bytes_ == 0 || rate == 0) {
    return kDefaultChunkTime * count;
  }
  const std::chrono::duration<double> chunk_time(
      static_cast<double>(chunk_bytes_) / static_cast<double>(rate));
  return std::chrono::duration_cast<core::Duration>(chunk_time) * count;
}

void WeightsManager::DropExpired(core::TimePoint now) {
  const auto retained = older_.version();
  const auto retained_expiry = ExpiryOf(retained);
  if (retained != 0 &&
      (serving_ > retained || (retained_expiry && now >= *retained_expiry))) {
    older_.Clear();
    announce_due_ = true;
  }
  const bool fetching =
      phase_ == Phase::kManifest || phase_ == Phase::kFetching;
  if (!fetching_older() || !fetching) {
    return;
  }
  const auto expiry = ExpiryOf(fetch_target_.version_);
  const bool timed_out =
      now - phase_since_ >= TransferTime(model_chunks_) * kOlderTimeoutFactor;
  older_refused_ = older_refused_ || timed_out;
  if (timed_out || (expiry && now >= *expiry)) {
    process_.log().Write(core::EventNumber::kFetchAbandoned,
                         {{"for", std::to_string(target_.version_)}});
    SetPhase(Phase::kIdle);
  }
}

void WeightsManager::ConsiderOlderVersion(core::TimePoint now) {
  const bool fetching =
      phase_ == Phase::kManifest || phase_ == Phase::kFetching;
  const bool eligible = serving_ == 0 && target_.version_ != 0 &&
                        !fetching_older() && fetching && !older_refused_;
  if (!eligible || now - older_considered_at_ < kConsiderInterval) {
    return;
  }
  older_considered_at_ = now;
  auto available =
      OfferedChunks(exchange_.peers(), target_.version_, model_chunks_);
  for (std::size_t chunk = 0; chunk < model_chunks_; ++chunk) {
    if (held_.Has(chunk)) {
      available.Add(chunk);
    }
  }
  progress_.OnAvailable(available.count(), now);
  const auto older =
      NewestOfferedBelow(exchange_.peers(), target_.version_, model_chunks_);
  const auto expiry = older ? ExpiryOf(*older) : std::nullopt;
  if (!expiry || !progress_.HasRate(now)) {
    return;
  }
  rollout::FirstFetchForecast forecast;
  forecast.time_to_newest_available_ = progress_.TimeLeft(now);
  forecast.newest_transfer_time_ = TransferTime(model_chunks_ - held_.count());
  forecast.older_transfer_time_ = TransferTime(model_chunks_);
  forecast.time_to_older_expiry_ = *expiry - now;
  if (!rollout::FetchOlderFirst(forecast)) {
    return;
  }
  process_.log().Write(
      core::EventNumber::kOlderWeightsFirst,
      {{"version", std::to_string(*older)},
       {"newest", std::to_string(target_.version_)},
       {"newest_pieces_out", std::to_string(available.count())},
       {"usable_ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                        forecast.time_to_older_expiry_)
                                        .count())}});
  StartFetch({model_, *older});
}

}  // namespace chalkwell::daemon::direct
