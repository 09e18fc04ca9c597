// One version at a time; a newer one ends whatever is under way. Fetching,
// switching, and older weights have files of their own.
#include "daemon/direct/weights_manager.hpp"

#include <random>
#include <utility>

#include "chalkwell/swarm/neighbours.hpp"
#include "daemon/direct/direct_settings.hpp"

namespace chalkwell::daemon::direct {
namespace {

using std::chrono::milliseconds;

constexpr auto kTick = milliseconds(40);
/// Changes of what is held are told this often at most: a piece takes some 30
/// ms on a link of 7 Mbit/s.
constexpr auto kAnnounceInterval = milliseconds(120);
/// Unchanged news is repeated, since datagrams are lost; less often where
/// nothing is to be fetched, since newcomers are answered.
constexpr auto kRepeat = milliseconds(1000);
constexpr auto kSettledRepeat = milliseconds(3000);
/// A piece that no own neighbour has is imported by the next in rank then.
constexpr auto kImportSilence = milliseconds(500);
/// All agents share the source: asked at each tick, it does nothing but refuse
/// connections, and with longer pauses it is idle when it is back.
constexpr core::BackoffSettings kSourcePause{milliseconds(100),
                                             milliseconds(600)};
constexpr auto kPieceTimeout = milliseconds(2500);
constexpr auto kDrawSilence = milliseconds(900);
constexpr std::size_t kPerPeer = 1;
/// The source's link is shared by all agents: one piece each.
constexpr std::size_t kOriginInFlight = 1;
/// Of all agents together: keeps the source's link busy while what it sent
/// becomes known, with few connections for each.
constexpr std::size_t kDrawWindow = 24;
/// An order that shows no effect for this long is given again.
constexpr auto kOrderTime = milliseconds(7000);
constexpr double kOutShare = 0.5;
constexpr auto kTurnLease = milliseconds(2600);

swarm::PlannerSettings PlannerSettingsOf() {
  swarm::PlannerSettings planner;
  planner.origin_copies_ = 1;
  planner.max_requests_per_peer_ = kPerPeer;
  planner.max_origin_requests_ = kOriginInFlight;
  planner.origin_window_ = kDrawWindow;
  planner.origin_takeover_timeout_ = kDrawSilence;
  planner.chunk_timeout_ = kPieceTimeout;
  planner.import_takeover_timeout_ = kImportSilence;
  return planner;
}

swarm::FetchWindowSettings WindowSettingsOf(const Settings& settings) {
  swarm::FetchWindowSettings window;
  window.bytes_per_second_ = LinkRate(settings);
  return window;
}

}  // namespace

WeightsKeeper::WeightsKeeper(ProcessBase& process, const WeightsClient& client,
                             MeshNode& mesh)
    : process_(process),
      client_(client),
      mesh_(mesh),
      peers_(process, client, mesh, Source()),
      search_({peers_.self(), process.domain()}),
      planner_({peers_.self(), process.domain()}, PlannerSettingsOf(),
               std::random_device{}()),
      source_(kSourcePause, std::random_device{}()),
      window_(WindowSettingsOf(process.settings())),
      turns_(peers_.self(), kOutShare, kTurnLease),
      tick_(process.loop()) {
  tick_.Every(kTick, [this] { Tick(); });
}

void WeightsKeeper::SetModel(const std::string& model, std::size_t pieces) {
  model_ = model;
  usual_pieces_ = pieces;
}

void WeightsKeeper::OnNamed(const TargetVersion& weights) {
  if (weights.version_ <= wanted_.version_ ||
      (!model_.empty() && weights.model_ != model_)) {
    return;
  }
  const auto before = wanted_.version_;
  wanted_ = weights;
  named_.OnVersionPublished(weights.version_, process_.loop().Now());
  process_.log().Write(core::EventNumber::kWeightsNamed,
                       {{"model", weights.model_},
                        {"version", std::to_string(weights.version_)}});
  if (phase_ != Phase::kSettled && goal_.version_ == before) {
    process_.log().Write(core::EventNumber::kFetchAbandoned,
                         {{"for", std::to_string(weights.version_)}});
    SetPhase(Phase::kSettled);
  }
}

void WeightsKeeper::SetPhase(Phase phase) {
  phase_ = phase;
  phase_since_ = process_.loop().Now();
  if (phase == Phase::kSettled) {
    ++job_;
    peers_.CancelPieces();
    switching_ = false;
  }
}

void WeightsKeeper::OnEngineLost() { heard_engine_ = false; }

void WeightsKeeper::OnReport(const EngineReport& report) {
  if (model_.empty()) {
    // Which of its models counts is not known yet: it may serve already.
    return;
  }
  const auto held = report.model_versions_.find(model_);
  const auto version = held == report.model_versions_.end() ? 0 : held->second;
  const bool restarted =
      routing::StartTimesDiffer(report.started_, started_seen_) ||
      report.activation_count_ < orders_seen_;
  orders_seen_ = report.activation_count_;
  started_seen_ = report.started_;
  heard_engine_ = true;
  if (restarted) {
    // What it held staged may be gone with its life: it is read anew.
    held_ = {};
    manifest_.reset();
    older_.Clear();
    older_refused_ = false;
    staged_checked_ = false;
    announce_due_ = true;
    SetPhase(Phase::kSettled);
  }
  if (version != serving_) {
    OnServing(version, restarted);
  }
  const bool needless = version > 0 && version >= goal_.version_;
  if (needless && phase_ != Phase::kSettled && !report.activating_) {
    SetPhase(Phase::kSettled);
    turns_.OnServing(peers_.self(), version, process_.loop().Now());
  }
}

void WeightsKeeper::OnServing(std::uint64_t version, bool restarted) {
  serving_ = version;
  announce_due_ = true;
  process_.log().Write(version > 0 ? core::EventNumber::kEndpointReady
                                   : core::EventNumber::kEndpointNotReady,
                       {{"model", model_},
                        {"version", std::to_string(version)},
                        {"restarted", restarted ? "yes" : "no"}});
}

void WeightsKeeper::Tick() {
  const auto now = process_.loop().Now();
  ForgetSilentPeers(now);
  if (model_.empty() || !heard_engine_) {
    return;
  }
  DropOutdated(now);
  ConsiderOlder(now);
  switch (phase_) {
    case Phase::kSettled:
      if (serving_ == 0 || serving_ < wanted_.version_) {
        Begin();
      } else {
        CheckStagedAtStart();
      }
      break;
    case Phase::kManifest:
      AskManifest();
      break;
    case Phase::kFetching:
      Pump();
      break;
    case Phase::kStaged:
      TakeTurn();
      break;
    case Phase::kVerifying:
      break;
    case Phase::kOrdered:
      if (now - phase_since_ >= kOrderTime) {
        SetPhase(Phase::kSettled);
      }
      break;
  }
  const bool due = announce_due_ && now - announced_at_ >= kAnnounceInterval;
  const core::Duration repeat = settled() ? kSettledRepeat : kRepeat;
  if (due || now - announced_at_ >= repeat) {
    Announce(!due);
  }
}

void WeightsKeeper::Begin() {
  progress_.Start(usual_pieces_, process_.loop().Now());
  BeginWith(wanted_);
}

void WeightsKeeper::BeginWith(const TargetVersion& goal) {
  ++job_;
  KeepServed();
  goal_ = goal;
  manifest_.reset();
  held_ = {};
  drawn_.clear();
  staging_ = 0;
  verified_all_ = false;
  search_.Start(process_.loop().Now());
  SetPhase(Phase::kManifest);
  process_.log().Write(core::EventNumber::kFetchStarted,
                       {{"model", model_},
                        {"version", std::to_string(goal_.version_)},
                        {"serving", std::to_string(serving_)}});
  AskManifest();
}

void WeightsKeeper::SetAgents(const AgentAddresses& agents) {
  peers_.SetAgents(agents);
}

HeldChunksMessage WeightsKeeper::Held(core::TimePoint now) const {
  HeldChunksMessage held;
  held.model_ = model_;
  held.version_ = HeldVersion();
  held.chunks_ = static_cast<std::uint32_t>(held_.size());
  held.bits_ = held_.ToBytes();
  held.serving_ = serving_;
  held.has_manifest_ = manifest_.has_value();
  held.degraded_ = window_.LinkDegraded(now) || older_first();
  older_.AddTo(held);
  return held;
}

std::set<core::InstanceId> WeightsKeeper::Audience() const {
  const swarm::SwarmMember self{peers_.self(), process_.domain()};
  const auto& near = peers_.neighbours();
  std::set<core::InstanceId> audience(near.begin(), near.end());
  for (const auto piece : drawn_) {
    if (manifest_ && held_.Has(piece)) {
      audience.merge(swarm::ImportersOf(
          manifest_->chunk_digests_[piece].ToHex(), self, peers_.agents()));
    }
  }
  return audience;
}

void WeightsKeeper::Announce(bool repeat) {
  announced_at_ = process_.loop().Now();
  if (!repeat) {
    announce_due_ = false;
  }
  const auto held = Held(announced_at_);
  for (const auto& agent : Audience()) {
    peers_.Tell(agent, held);
  }
}

}  // namespace chalkwell::daemon::direct
