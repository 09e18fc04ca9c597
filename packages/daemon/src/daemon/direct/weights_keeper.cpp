// One version at a time; a newer one ends whatever is under way.
#include "daemon/direct/weights_keeper.hpp"

#include <algorithm>
#include <random>
#include <utility>

#include "chalkwell/rollout/start_choice.hpp"
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
/// All agents share the source. Asked again at each tick by 76 agents it was
/// kept refusing by 1,900 connections a second, and no engine got its weights
/// any more; with these pauses they make some 170. Longer ones, up to 2 s, left
/// the source idle when it was back: weights were whole 1.3 s later.
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
/// Pieces that were compared with their digests within this are not compared
/// again before the order.
constexpr auto kVerifiedRecently = milliseconds(500);
/// An order that shows no effect for this long is given again.
constexpr auto kOrderTime = milliseconds(7000);
/// Once ordered, an engine begins no request on its old weights. A switch that
/// has not begun this long before the bound begins without its turn: time to
/// verify what is staged and to order.
constexpr auto kSwitchTime = milliseconds(1700);
/// Between two looks at whether older weights would serve sooner.
constexpr auto kConsiderInterval = milliseconds(200);
/// Time of a piece on the own link while none has arrived yet.
constexpr auto kUnknownPieceTime = milliseconds(40);
/// Older weights are given up when they take this many times as long as on an
/// idle link.
constexpr int kOlderPatience = 4;
constexpr double kOutShare = 0.5;
constexpr auto kTurnLease = milliseconds(2600);

swarm::PlannerSettings PlannerSettingsOf() {
  swarm::PlannerSettings planner;
  planner.origin_copies_ = 1;
  planner.per_peer_ = kPerPeer;
  planner.origin_in_flight_ = kOriginInFlight;
  planner.draw_window_ = kDrawWindow;
  planner.draw_silence_ = kDrawSilence;
  planner.chunk_timeout_ = kPieceTimeout;
  planner.import_silence_ = kImportSilence;
  return planner;
}

swarm::FetchWindowSettings WindowSettingsOf(const Settings& settings) {
  swarm::FetchWindowSettings window;
  window.bytes_per_second_ = LinkRate(settings);
  return window;
}

std::string_view ToText(bool value) { return value ? "yes" : "no"; }

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

void WeightsKeeper::SetModel(const std::string& model, std::size_t pieces) {
  model_ = model;
  usual_pieces_ = pieces;
}

void WeightsKeeper::OnNamed(const NamedWeights& weights) {
  if (weights.version_ <= wanted_.version_ ||
      (!model_.empty() && weights.model_ != model_)) {
    return;
  }
  const auto before = wanted_.version_;
  wanted_ = weights;
  named_.OnNamed(weights.version_, process_.loop().Now());
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
  const auto held = report.models_.find(model_);
  const auto version = held == report.models_.end() ? 0 : held->second;
  const bool restarted = routing::Differ(report.started_, started_seen_) ||
                         report.orders_ < orders_seen_;
  orders_seen_ = report.orders_;
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
  if (needless && phase_ != Phase::kSettled && !report.ordered_) {
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
                        {"restarted", std::string(ToText(restarted))}});
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

void WeightsKeeper::CheckStagedAtStart() {
  // An engine that serves from the start may have its weights staged too: then
  // its neighbours can have them from here.
  if (staged_checked_ || manifest_ || usual_pieces_ == 0) {
    return;
  }
  staged_checked_ = true;
  client_.staged_(model_, 0, [this](const std::optional<std::string>& bytes) {
    if (bytes && !manifest_ && phase_ == Phase::kSettled) {
      held_ = swarm::ChunkSet(usual_pieces_);
      for (std::size_t piece = 0; piece < usual_pieces_; ++piece) {
        held_.Add(piece);
      }
      announce_due_ = true;
    }
  });
}

void WeightsKeeper::Begin() {
  progress_.Start(usual_pieces_, process_.loop().Now());
  BeginWith(wanted_);
}

void WeightsKeeper::BeginWith(const NamedWeights& goal) {
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

void WeightsKeeper::KeepServed() {
  const bool served = serving_ != 0 && HeldVersion() == serving_;
  if (served && older_.version() != serving_) {
    older_.Start(serving_, manifest_, held_);
  }
}

std::optional<core::TimePoint> WeightsKeeper::EndOf(
    std::uint64_t version) const {
  return named_.EndOf(version, VersionBoundOf(process_.settings()));
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
  progress_.OnSeen(seen.count(), now);
  const auto older =
      OfferedBelow(peers_.peers(), wanted_.version_, usual_pieces_);
  const auto end = older ? EndOf(*older) : std::nullopt;
  if (!end || !progress_.Observed(now)) {
    return;
  }
  rollout::StartForecast forecast;
  forecast.newest_out_ = progress_.TimeLeft(now);
  forecast.newest_link_ = LinkTime(usual_pieces_ - held_.count());
  forecast.older_link_ = LinkTime(usual_pieces_);
  forecast.older_end_ = *end - now;
  if (!rollout::OlderFirst(forecast)) {
    return;
  }
  process_.log().Write(
      core::EventNumber::kOlderWeightsFirst,
      {{"version", std::to_string(*older)},
       {"newest", std::to_string(wanted_.version_)},
       {"newest_pieces_out", std::to_string(seen.count())},
       {"usable_ms", std::to_string(std::chrono::duration_cast<milliseconds>(
                                        forecast.older_end_)
                                        .count())}});
  BeginWith({model_, *older});
}

std::vector<swarm::SwarmMember> WeightsKeeper::Lacking() const {
  return peers_.Lacking(goal_.version_,
                        window_.Narrowed(process_.loop().Now()));
}

std::size_t WeightsKeeper::ManifestRank() const {
  const auto item = model_ + ":" + std::to_string(goal_.version_);
  const auto own = core::RendezvousScore(item, peers_.self().value());
  const auto members = Lacking();
  // One of each failure domain asks at once: only neighbours hear who has it.
  return static_cast<std::size_t>(
      std::ranges::count_if(members, [&](const swarm::SwarmMember& member) {
        return member.domain_ == process_.domain() &&
               core::RendezvousScore(item, member.id_.value()) > own;
      }));
}

std::vector<swarm::SwarmMember> WeightsKeeper::ManifestHolders() const {
  std::vector<swarm::SwarmMember> holders;
  for (const auto& [id, peer] : peers_.peers()) {
    const bool any = goal_.version_ == 0 && peer.held_.has_manifest_;
    const bool has = peer.held_.model_ == model_ &&
                     (any || OffersManifest(peer.held_, goal_.version_));
    if (has) {
      holders.push_back({id, peer.member_.domain_});
    }
  }
  return holders;
}

void WeightsKeeper::AskManifest() {
  const auto now = process_.loop().Now();
  std::optional<std::size_t> rank;
  if (origin_ && peers_.knows_agents() && source_.Ready(now) &&
      !older_first()) {
    rank = ManifestRank();
  }
  const auto source = search_.Next(ManifestHolders(), rank, now);
  if (!source) {
    return;
  }
  if (source->peer_) {
    AskPeerManifest(*source->peer_);
  } else {
    AskOriginManifest();
  }
}

void WeightsKeeper::AskPeerManifest(const core::InstanceId& peer) {
  peers_.AskManifest(
      peer, {model_, goal_.version_, 0},
      [this, job = job_](const std::optional<WeightsManifest>& manifest) {
        if (Current(job)) {
          OnManifest(manifest);
        }
      });
}

void WeightsKeeper::FetchFromPeer(const swarm::FetchOrder& order) {
  const PieceMessage ask{model_, goal_.version_,
                         static_cast<std::uint32_t>(order.chunk_)};
  peers_.AskPiece(
      *order.peer_, ask,
      [this, job = job_, piece = order.chunk_,
       peer = *order.peer_](const std::optional<ReceivedPiece>& received) {
        if (!Current(job)) {
          return;
        }
        if (!received) {
          OnPiece(piece, std::nullopt, peer.value());
          return;
        }
        window_.OnChunk(received->transfer_, received->bytes_.size(),
                        process_.loop().Now());
        OnPiece(piece, received->bytes_, peer.value());
      });
}

void WeightsKeeper::OnHeld(const membership::Member& sender,
                           const HeldMessage& held) {
  const auto id = peers_.OnHeld(sender, held, process_.loop().Now());
  // It lacks what is held here, and may not be among those told.
  const bool lacks =
      held.serving_ < serving_ && (held_.count() > 0 || older_.version() != 0);
  if (lacks && peers_.MayTell(id, process_.loop().Now())) {
    peers_.Tell(id, Held(process_.loop().Now()));
  }
  const bool wanted = phase_ == Phase::kFetching && manifest_ &&
                      held.model_ == model_ &&
                      (held.version_ == goal_.version_ ||
                       held.older_version_ == goal_.version_);
  if (wanted) {
    const auto seen = planner_.seen();
    planner_.OnAnnounced({id, sender.domain_},
                         OfferedPieces(held, goal_.version_, held_.size()),
                         process_.loop().Now());
    if (planner_.seen() > seen) {
      // Someone drew what nobody had: the source answers again.
      source_.OnSuccess();
    }
  }
}

void WeightsKeeper::SetAgents(const AgentAddresses& agents) {
  peers_.SetAgents(agents);
}

void WeightsKeeper::ForgetSilentPeers(core::TimePoint now) {
  for (const auto& lost : peers_.TakeSilent(now)) {
    planner_.OnPeerLost(lost);
  }
}

void WeightsKeeper::AskOriginManifest() {
  process_.metrics().Count("origin_manifests_total", {});
  client_.manifest_(
      *origin_, model_, goal_.version_,
      [this, job = job_](const std::optional<WeightsManifest>& manifest) {
        OnSource(manifest.has_value(), "manifest");
        if (Current(job)) {
          OnManifest(manifest);
        }
      });
}

void WeightsKeeper::OnSource(bool answered, const std::string& what) {
  if (answered) {
    source_.OnSuccess();
    return;
  }
  const auto pause = source_.OnFailure(process_.loop().Now());
  process_.log().Write(
      core::EventNumber::kChunkFailed,
      {{"what", what},
       {"source", "origin"},
       {"again_in_ms",
        std::to_string(
            std::chrono::duration_cast<milliseconds>(pause).count())}});
}

void WeightsKeeper::OnManifest(const std::optional<WeightsManifest>& manifest) {
  if (manifest) {
    TakeManifest(*manifest);
  } else {
    search_.OnFailed();
  }
}

void WeightsKeeper::TakeManifest(const WeightsManifest& manifest) {
  if (phase_ != Phase::kManifest || manifest.model_ != model_ ||
      manifest.digests_.empty() ||
      (goal_.version_ != 0 && manifest.version_ != goal_.version_)) {
    return;
  }
  if (goal_.version_ == 0) {
    wanted_ = {model_, manifest.version_};
    goal_ = wanted_;
    named_.OnNamed(manifest.version_, process_.loop().Now());
  }
  manifest_ = manifest;
  held_ = swarm::ChunkSet(manifest.digests_.size());
  SetPhase(Phase::kFetching);
  announce_due_ = true;
  if (serving_ == 0) {
    // What was staged before a restart may still be there.
    staging_ = 1;
    ReadStaged(0);
  } else {
    StartPlanner();
  }
}

void WeightsKeeper::ReadStaged(std::size_t piece) {
  client_.staged_(
      model_, piece,
      [this, job = job_, piece](const std::optional<std::string>& bytes) {
        if (!Current(job)) {
          return;
        }
        if (bytes &&
            core::Digest::Sha256Of(*bytes) == manifest_->digests_[piece]) {
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

void WeightsKeeper::StartPlanner() {
  std::vector<bundle::Chunk> chunks;
  for (const auto& digest : manifest_->digests_) {
    chunks.push_back({digest, 1});
  }
  const auto now = process_.loop().Now();
  planner_.Start(std::move(chunks), held_, now);
  window_.Start();
  for (const auto& [id, peer] : peers_.peers()) {
    planner_.OnAnnounced(
        {id, peer.member_.domain_},
        OfferedPieces(peer.held_, goal_.version_, held_.size()), now);
  }
  announce_due_ = true;
  Pump();
}

void WeightsKeeper::Pump() {
  if (staging_ > 0 && !planner_.outstanding() && held_.count() == 0) {
    return;
  }
  const auto now = process_.loop().Now();
  for (const auto& late : planner_.TakeTimedOut(now)) {
    peers_.CancelPiece(late.chunk_);
    process_.log().Write(
        core::EventNumber::kChunkFailed,
        {{"piece", std::to_string(late.chunk_)},
         {"source", late.peer_ ? late.peer_->value() : "origin"},
         {"reason", "timeout"}});
  }
  planner_.SetMembers(Lacking());
  planner_.SetInFlight(window_.size());
  // Not knowing the others, each would draw everything.
  planner_.SetOriginOpen(source_.Ready(now) && peers_.knows_agents() &&
                         !older_first());
  for (const auto& order : planner_.Next(now)) {
    Fetch(order);
  }
  if (held_.full()) {
    process_.log().Write(
        core::EventNumber::kFetchFinished,
        {{"version", std::to_string(goal_.version_)},
         {"elected_draws",
          std::to_string(planner_.draws(swarm::DrawCause::kElected))},
         {"silence_draws",
          std::to_string(planner_.draws(swarm::DrawCause::kSilence))}});
    turns_.Start(goal_.version_, now);
    SetPhase(Phase::kStaged);
  }
}

void WeightsKeeper::Fetch(const swarm::FetchOrder& order) {
  if (order.peer_) {
    FetchFromPeer(order);
  } else {
    FetchFromOrigin(order.chunk_);
  }
}

void WeightsKeeper::FetchFromOrigin(std::size_t piece) {
  if (!origin_) {
    planner_.OnFailed(piece, process_.loop().Now());
    return;
  }
  process_.log().Write(core::EventNumber::kOriginDrawn,
                       {{"piece", std::to_string(piece)}});
  process_.metrics().Count("origin_pieces_total", {});
  client_.piece_(
      *origin_, model_, goal_.version_, piece,
      [this, job = job_, piece](const std::optional<std::string>& bytes) {
        OnSource(bytes.has_value(), "piece");
        if (Current(job)) {
          drawn_.insert(piece);
          OnPiece(piece, bytes, "origin");
        }
      });
}

void WeightsKeeper::OnPiece(std::size_t piece,
                            const std::optional<std::string>& bytes,
                            const std::string& source) {
  const auto now = process_.loop().Now();
  const bool good =
      bytes && core::Digest::Sha256Of(*bytes) == manifest_->digests_.at(piece);
  if (!good) {
    planner_.OnFailed(piece, now);
    process_.log().Write(
        bytes ? core::EventNumber::kChunkCorrupt
              : core::EventNumber::kChunkFailed,
        {{"piece", std::to_string(piece)}, {"source", source}});
    return;
  }
  piece_bytes_ = bytes->size();
  if (!held_.Has(piece)) {
    Stage(piece, *bytes);
  }
}

void WeightsKeeper::Stage(std::size_t piece, std::string bytes) {
  if (!older_.NeedsCopy(piece)) {
    PutStaged(piece, std::move(bytes));
    return;
  }
  client_.staged_(model_, piece,
                  [this, job = job_, piece, bytes = std::move(bytes)](
                      std::optional<std::string> served) mutable {
                    older_.OnOverwritten(piece, std::move(served));
                    if (Current(job)) {
                      PutStaged(piece, std::move(bytes));
                    }
                  });
}

void WeightsKeeper::PutStaged(std::size_t piece, std::string bytes) {
  client_.stage_(model_, piece, std::move(bytes),
                 [this, job = job_, piece](bool taken) {
                   if (!Current(job)) {
                     return;
                   }
                   const auto now = process_.loop().Now();
                   if (!taken) {
                     planner_.OnFailed(piece, now);
                     process_.log().Write(core::EventNumber::kStageFailed,
                                          {{"piece", std::to_string(piece)}});
                     return;
                   }
                   held_.Add(piece);
                   planner_.OnChunk(piece, now);
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
    planner_.OnDropped(piece);
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
  if (serving_ != 0 && !urgent && !turns_.MayGo(now)) {
    return;
  }
  process_.log().Write(core::EventNumber::kTurnTaken,
                       {{"version", std::to_string(goal_.version_)},
                        {"serving", std::to_string(serving_)},
                        {"urgent", std::string(ToText(urgent))}});
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
  client_.staged_(
      model_, piece,
      [this, job = job_, piece](const std::optional<std::string>& bytes) {
        if (!Current(job)) {
          return;
        }
        const bool good = bytes && core::Digest::Sha256Of(*bytes) ==
                                       manifest_->digests_[piece];
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
  client_.start_(model_, goal_.version_, [this, job = job_](OrderEnd end) {
    if (!Current(job)) {
      return;
    }
    if (end == OrderEnd::kRefused) {
      process_.log().Write(core::EventNumber::kOrderRefused,
                           {{"version", std::to_string(goal_.version_)}});
      switching_ = false;
      const bool older = older_first();
      older_refused_ = older_refused_ || older;
      SetPhase(older ? Phase::kSettled : Phase::kStaged);
    }
  });
}

HeldMessage WeightsKeeper::Held(core::TimePoint now) const {
  HeldMessage held;
  held.model_ = model_;
  held.version_ = HeldVersion();
  held.pieces_ = static_cast<std::uint32_t>(held_.size());
  held.bits_ = held_.ToBytes();
  held.serving_ = serving_;
  held.has_manifest_ = manifest_.has_value();
  held.narrowed_ = window_.Narrowed(now) || older_first();
  older_.AddTo(held);
  return held;
}

std::set<core::InstanceId> WeightsKeeper::Audience() const {
  const swarm::SwarmMember self{peers_.self(), process_.domain()};
  const auto& near = peers_.neighbours();
  std::set<core::InstanceId> audience(near.begin(), near.end());
  for (const auto piece : drawn_) {
    if (manifest_ && held_.Has(piece)) {
      audience.merge(swarm::ImportersOf(manifest_->digests_[piece].ToHex(),
                                        self, peers_.agents()));
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
