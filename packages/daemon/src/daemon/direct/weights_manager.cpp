// One version is fetched at a time; a newer one aborts it. Fetching, switching
// and older versions are in files of their own.
#include "daemon/direct/weights_manager.hpp"

#include <random>
#include <utility>

#include "chalkwell/swarm/neighbours.hpp"
#include "daemon/direct/direct_settings.hpp"

namespace chalkwell::daemon::direct {
namespace {

using std::chrono::milliseconds;

constexpr auto kTickInterval = milliseconds(40);
/// Minimum interval between announcements of changes: a chunk takes some 30 ms
/// on a link of 7 Mbit/s.
constexpr auto kAnnounceInterval = milliseconds(120);
/// Unchanged state is repeated because datagrams get lost. The interval is
/// longer while idle, since new peers get a reply to their own announcement.
constexpr auto kRepeatInterval = milliseconds(1000);
constexpr auto kIdleRepeatInterval = milliseconds(3000);
/// A chunk that no local member holds is imported by the next member in rank
/// after this time.
constexpr auto kImportTakeoverTimeout = milliseconds(500);
/// All agents share the origin. Requests at every tick would leave it busy
/// refusing connections; longer pauses would leave it idle after it recovers.
constexpr core::BackoffSettings kOriginBackoff{milliseconds(100),
                                               milliseconds(600)};
/// Between these attempts an engine that is too slow to be verified serves its
/// old version.
constexpr core::BackoffSettings kVerificationBackoff{milliseconds(1000),
                                                     milliseconds(8000)};
constexpr auto kChunkTimeout = milliseconds(2500);
constexpr auto kOriginTakeoverTimeout = milliseconds(900);
constexpr std::size_t kMaxRequestsPerPeer = 1;
/// One chunk per agent, since all agents share the link of the origin.
constexpr std::size_t kMaxOriginRequests = 1;
/// Chunks in flight from the origin over all agents: enough to keep its link
/// busy until received chunks are announced, with few connections per agent.
constexpr std::size_t kOriginWindow = 24;
/// After this time without effect, an activation order is sent again.
constexpr auto kOrderTimeout = milliseconds(7000);
constexpr double kMaxDrainingShare = 0.5;
constexpr auto kSlotLease = milliseconds(2600);

swarm::PlannerSettings PlannerSettingsOf() {
  swarm::PlannerSettings planner;
  planner.origin_copies_ = 1;
  planner.max_requests_per_peer_ = kMaxRequestsPerPeer;
  planner.max_origin_requests_ = kMaxOriginRequests;
  planner.origin_window_ = kOriginWindow;
  planner.origin_takeover_timeout_ = kOriginTakeoverTimeout;
  planner.chunk_timeout_ = kChunkTimeout;
  planner.import_takeover_timeout_ = kImportTakeoverTimeout;
  return planner;
}

swarm::FetchWindowSettings WindowSettingsOf(const Settings& settings) {
  swarm::FetchWindowSettings window;
  window.bytes_per_second_ = LinkRate(settings);
  return window;
}

}  // namespace

WeightsManager::WeightsManager(ProcessBase& process,
                               const WeightsClient& client, MeshNode& mesh)
    : process_(process),
      client_(client),
      mesh_(mesh),
      exchange_(process, client, mesh, MakeChunkProvider()),
      manifest_search_({exchange_.self(), process.domain()}),
      planner_({exchange_.self(), process.domain()}, PlannerSettingsOf(),
               std::random_device{}()),
      verification_backoff_(kVerificationBackoff, std::random_device{}()),
      origin_backoff_(kOriginBackoff, std::random_device{}()),
      window_(WindowSettingsOf(process.settings())),
      rollout_slots_(exchange_.self(), kMaxDrainingShare, kSlotLease),
      tick_(process.loop()) {
  tick_.Every(kTickInterval, [this] { Tick(); });
}

void WeightsManager::SetModel(const std::string& model, std::size_t chunks) {
  model_ = model;
  model_chunks_ = chunks;
}

void WeightsManager::OnVersionPublished(const TargetVersion& weights) {
  if (weights.version_ <= target_.version_ ||
      (!model_.empty() && weights.model_ != model_)) {
    return;
  }
  const auto before = target_.version_;
  target_ = weights;
  version_bound_.OnVersionPublished(weights.version_, process_.loop().Now());
  process_.log().Write(core::EventNumber::kVersionPublished,
                       {{"model", weights.model_},
                        {"version", std::to_string(weights.version_)}});
  if (phase_ != Phase::kIdle && fetch_target_.version_ == before) {
    AbandonFetch();
  }
}

void WeightsManager::AbandonFetch() {
  if (staging_guard_.unresolved()) {
    abandon_when_resolved_ = true;
    return;
  }
  process_.log().Write(core::EventNumber::kFetchAbandoned,
                       {{"for", std::to_string(target_.version_)}});
  SetPhase(Phase::kIdle);
}

void WeightsManager::SetPhase(Phase phase) {
  phase_ = phase;
  phase_since_ = process_.loop().Now();
  if (phase == Phase::kIdle) {
    ++fetch_id_;
    exchange_.CancelChunks();
    switching_ = false;
    abandon_when_resolved_ = false;
  }
}

void WeightsManager::OnEngineLost() {
  engine_reported_ = false;
  staging_guard_.OnReportFailed();
}

void WeightsManager::OnReport(const EngineReport& report) {
  if (model_.empty()) {
    // The service's model is not known yet; the engine may already serve it.
    return;
  }
  const auto held = report.model_versions_.find(model_);
  const auto version = held == report.model_versions_.end() ? 0 : held->second;
  const bool restarted =
      routing::StartTimesDiffer(report.started_, last_started_) ||
      report.activation_count_ < last_activation_count_;
  last_activation_count_ = report.activation_count_;
  last_started_ = report.started_;
  engine_reported_ = true;
  if (restarted) {
    // The staged chunks may be lost with the previous incarnation; they are
    // read again.
    held_ = {};
    manifest_.reset();
    older_.Clear();
    older_refused_ = false;
    staged_checked_ = false;
    announce_due_ = true;
    SetPhase(Phase::kIdle);
    if (const auto resolution = staging_guard_.OnEngineRestarted()) {
      OnOrderResolved(*resolution);
    }
  }
  if (const auto resolution = staging_guard_.OnReport(report.activation_count_,
                                                      process_.loop().Now())) {
    OnOrderResolved(*resolution);
  }
  if (version != serving_) {
    OnServing(version, restarted);
  }
  const bool superseded = version > 0 && version >= fetch_target_.version_;
  if (superseded && phase_ != Phase::kIdle && !report.activating_) {
    SetPhase(Phase::kIdle);
    rollout_slots_.OnServing(exchange_.self(), version, process_.loop().Now());
  }
}

void WeightsManager::OnServing(std::uint64_t version, bool restarted) {
  serving_ = version;
  announce_due_ = true;
  process_.log().Write(version > 0 ? core::EventNumber::kEndpointReady
                                   : core::EventNumber::kEndpointNotReady,
                       {{"model", model_},
                        {"version", std::to_string(version)},
                        {"restarted", restarted ? "yes" : "no"}});
}

void WeightsManager::Tick() {
  const auto now = process_.loop().Now();
  RemoveUnresponsivePeers(now);
  if (model_.empty() || !engine_reported_) {
    return;
  }
  DropExpired(now);
  ConsiderOlderVersion(now);
  switch (phase_) {
    case Phase::kIdle:
      if (serving_ == 0 || serving_ < target_.version_) {
        StartTargetFetch();
      } else {
        CheckStagedAtStart();
      }
      break;
    case Phase::kManifest:
      RequestManifest();
      break;
    case Phase::kFetching:
      RequestChunks();
      break;
    case Phase::kStaged:
      TryStartSwitch();
      break;
    case Phase::kVerifying:
      ContinueVerification();
      break;
    case Phase::kOrdered:
      if (now - phase_since_ >= kOrderTimeout) {
        SetPhase(staging_guard_.unresolved() ? Phase::kStaged : Phase::kIdle);
      }
      break;
  }
  const bool due = announce_due_ && now - announced_at_ >= kAnnounceInterval;
  const core::Duration repeat = idle() ? kIdleRepeatInterval : kRepeatInterval;
  if (due || now - announced_at_ >= repeat) {
    Announce(!due);
  }
}

void WeightsManager::StartTargetFetch() {
  progress_.Start(model_chunks_, process_.loop().Now());
  StartFetch(target_);
}

void WeightsManager::StartFetch(const TargetVersion& fetch_target) {
  ++fetch_id_;
  RetainServedVersion();
  fetch_target_ = fetch_target;
  manifest_.reset();
  held_ = {};
  origin_chunks_.clear();
  scanning_ = false;
  manifest_search_.Start(process_.loop().Now());
  SetPhase(Phase::kManifest);
  process_.log().Write(core::EventNumber::kFetchStarted,
                       {{"model", model_},
                        {"version", std::to_string(fetch_target_.version_)},
                        {"serving", std::to_string(serving_)}});
  RequestManifest();
}

void WeightsManager::SetAgents(const AgentAddresses& agents) {
  exchange_.SetAgents(agents);
}

HeldChunksMessage WeightsManager::MakeHeldMessage(core::TimePoint now) const {
  HeldChunksMessage held;
  held.model_ = model_;
  held.version_ = HeldVersion();
  held.chunks_ = static_cast<std::uint32_t>(held_.size());
  held.bits_ = held_.ToBytes();
  held.serving_ = serving_;
  held.has_manifest_ = manifest_.has_value();
  held.degraded_ = window_.LinkDegraded(now) || fetching_older();
  older_.AddTo(held);
  return held;
}

std::set<core::InstanceId> WeightsManager::AnnounceTargets() const {
  const swarm::SwarmMember self{exchange_.self(), process_.domain()};
  const auto& neighbours = exchange_.neighbours();
  std::set<core::InstanceId> targets(neighbours.begin(), neighbours.end());
  for (const auto chunk : origin_chunks_) {
    if (manifest_ && held_.Has(chunk)) {
      targets.merge(swarm::ImportersOf(manifest_->chunk_digests_[chunk].ToHex(),
                                       self, exchange_.agents()));
    }
  }
  return targets;
}

void WeightsManager::Announce(bool repeat) {
  announced_at_ = process_.loop().Now();
  if (!repeat) {
    announce_due_ = false;
  }
  const auto held = MakeHeldMessage(announced_at_);
  for (const auto& agent : AnnounceTargets()) {
    exchange_.AnnounceTo(agent, held);
  }
}

}  // namespace chalkwell::daemon::direct
