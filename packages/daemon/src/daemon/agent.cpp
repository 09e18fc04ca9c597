// Composition of an agent: the rollout state machine's actions carried out.
#include "daemon/agent.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "daemon/admin.hpp"

namespace chalkwell::daemon {
namespace {

constexpr auto kTick = std::chrono::milliseconds(100);
/// Ticks between heartbeats to entries and between questions to the back end.
/// A dead peer is noticed by the connection's pings, changes are told at once
/// and load rides on answers, so heartbeats may be rare.
constexpr unsigned kHeartbeatTicks = 100;
constexpr unsigned kAloneTicks = 10;
constexpr unsigned kPollTicks = 3;
constexpr std::uint64_t kTieMask = 0xffffff;

/// Rises from one process of an endpoint to the next; ties are broken by the
/// random part.
std::uint64_t NewIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch);
  constexpr unsigned kRandomBits = 16;
  return (static_cast<std::uint64_t>(millis.count()) << kRandomBits) |
         (std::random_device{}() & ((1U << kRandomBits) - 1));
}

core::Duration Jittered(core::Duration duration) {
  std::mt19937_64 random(std::random_device{}());
  std::uniform_real_distribution<double> factor(1.0, 1.5);
  return std::chrono::duration_cast<core::Duration>(duration * factor(random));
}

}  // namespace

Agent::Agent(Process& process)
    : process_(process),
      is_engine_(process.settings().Text("endpoint", "kind") == "engine"),
      capacity_(process.settings().Number("endpoint", "capacity")),
      role_(process.settings().Text("endpoint", "role")),
      engine_(process.http(),
              ParseAddress(process.settings().Text("endpoint", "backend"))),
      activation_({.lease_ = process.settings().Milliseconds("rollout",
                                                             "pause_lease_ms"),
                   .tie_breaker_ = std::random_device{}() & kTieMask}),
      turns_(process.id(), process.settings().Real("rollout", "max_out_share"),
             process.settings().Milliseconds("rollout", "turn_lease_ms")),
      pause_(process.settings().Milliseconds("rollout", "pause_lease_ms")),
      last_entry_heard_(process.loop().Now()),
      alone_after_(
          Jittered(process.settings().Milliseconds("platform", "silence_ms"))),
      tick_(process.loop()) {
  const auto& settings = process.settings();
  weights_ = std::make_unique<WeightFetcher>(
      process_, engine_,
      [this](const core::Digest& manifest) {
        CheckPause();
        Perform(activation_.OnStaged(manifest, process_.loop().Now()));
      },
      [this](const core::InstanceId& member, std::uint64_t version) {
        turns_.OnServing(member, version, process_.loop().Now());
      });
  runs_ = std::make_unique<RunHandler>(
      process_, engine_.address(), NewIncarnation(), capacity_,
      [this] { return State(); },
      [this](std::size_t bytes) {
        weights_->upload().OnRequestBytes(bytes, process_.loop().Now());
      },
      [this] { FinishDrain(); });
  peers_ = std::make_unique<PeerServer>(
      process_.loop(), ParseAddress(settings.Text("listen", "peer")),
      settings.Number("endpoint", "max_body_bytes"),
      [this](const PeerCallPtr& call) { OnPeerCall(call); });
  admin_ = OpenAdmin(
      process_.loop(), ParseAddress(settings.Text("listen", "admin")),
      process_.metrics(),
      {.not_ready_ =
           [this] {
             return State().accepting_ ? std::string{} : "takes no work";
           },
       .status_ = [this] { return Status(); },
       .refresh_ =
           [this] {
             process_.metrics().Set("requests_in_flight", {},
                                    static_cast<double>(runs_->in_flight()));
           }});
  process_.log().Write(core::EventNumber::kListening,
                       {{"peer", settings.Text("listen", "peer")}});
  process_.config().OnChange(
      [this](const std::vector<std::string>&) { OnConfigChange(); });
  tick_.Every(kTick, [this] { Tick(); });
  PollBackend();
}

void Agent::Run() {
  process_.Run([this] { BeginStop(); });
}

void Agent::BeginStop() {
  process_.log().Write(core::EventNumber::kInstanceLeaving,
                       {{"peer", process_.id().value()}});
  Announce(false);
}

void Agent::CheckPause() {
  if (pause_.Tick(process_.loop().Now())) {
    process_.log().Write(core::EventNumber::kSuspensionDetected);
    Perform(activation_.OnSuspension(process_.loop().Now()));
  }
}

void Agent::OnPeerCall(const PeerCallPtr& call) {
  // A process that wakes from a pause may find calls waiting before its timers
  // run: what it believed then no longer counts.
  CheckPause();
  try {
    const auto path = call->path();
    if (path == kRunPath) {
      runs_->Handle(call);
    } else if (path == kSyncPath) {
      (void)process_.AnswerSync(call);
      last_entry_heard_ = process_.loop().Now();
    } else if (path == kAttachPath) {
      OnAttach(call);
    } else if (path == kHavePath) {
      weights_->links().HandleHave(call);
    } else if (path == kChunkPath) {
      weights_->HandleChunk(call);
    } else {
      call->Respond(404, "unknown call");
    }
  } catch (const std::exception& error) {
    process_.AnswerError(call, error);
  }
}

void Agent::OnAttach(const PeerCallPtr& call) {
  (void)Unpack<AttachMessage>(call->body(), "attach");
  auto attachment = std::make_shared<Attachment>();
  attachment->call_ = call;
  attachment->last_ = CurrentFrame();
  attachments_.push_back(attachment);
  call->OnClosed([this, raw = attachment.get()] {
    std::erase_if(attachments_,
                  [raw](const auto& held) { return held.get() == raw; });
  });
  last_entry_heard_ = process_.loop().Now();
  auto first = attachment->last_;
  first.minter_ = runs_->RegisterIssuer();
  call->Start(200);
  call->Write(Pack(first));
}

AgentFrame Agent::CurrentFrame() const {
  const auto state = State();
  const auto& engine = activation_.engine();
  return {.incarnation_ = runs_->incarnation(),
          .minter_ = 0,
          .ready_ = state.accepting_,
          .leaving_ = process_.stopping(),
          .manifest_ = state.manifest_,
          .bundle_version_ = engine ? engine->version_ : 0,
          .load_ = runs_->in_flight(),
          .capacity_ = capacity_,
          .sharers_ = runs_->sharers(),
          .config_ = process_.config().fingerprint()};
}

void Agent::Announce(bool heartbeat) {
  const auto frame = CurrentFrame();
  for (const auto& attachment : std::vector(attachments_)) {
    auto& last = attachment->last_;
    const bool changed =
        last.ready_ != frame.ready_ || last.leaving_ != frame.leaving_ ||
        last.manifest_ != frame.manifest_ || last.config_ != frame.config_;
    if (changed || heartbeat) {
      last = frame;
      attachment->call_->Write(Pack(frame));
    }
  }
}

EndpointState Agent::State() const {
  if (!process_.stop().accepting()) {
    return {};
  }
  if (!is_engine_) {
    return {.accepting_ = service_up_, .manifest_ = ""};
  }
  const auto& engine = activation_.engine();
  const bool known = engine && !engine->manifest_.empty();
  return {.accepting_ = activation_.accepting(process_.loop().Now()),
          .manifest_ = known ? engine->manifest_.ToHex() : ""};
}

void Agent::OnConfigChange() {
  std::set<core::InstanceId> members;
  for (const auto& instance : process_.config().instances()) {
    if (instance.domain_ == process_.domain() && instance.role_ == role_ &&
        !instance.leaving_) {
      members.insert(instance.id_);
    }
  }
  turns_.SetMembers(std::move(members));
  ReadOwnRow();
  const auto* bundle = process_.config().documents().AcceptedBundle();
  if (is_engine_ && bundle != nullptr && bundle->AppliesTo(role_)) {
    const rollout::Target target{bundle->version_, bundle->manifest_};
    if (target > activation_.target()) {
      turns_.StartRollout(bundle->version_, process_.loop().Now());
      Perform(activation_.OnTarget(target));
    }
  }
  weights_->UpdateMembers();
  Announce(false);
}

void Agent::Perform(const rollout::Actions& actions) {
  for (const auto& action : actions) {
    // A drain ends when the engine's next report finds no work left.
    const bool asks = std::holds_alternative<rollout::QueryEngine>(action) ||
                      std::holds_alternative<rollout::Drain>(action);
    if (asks) {
      PollBackend();
    } else if (const auto* claim = std::get_if<rollout::SendClaim>(&action)) {
      SendClaim(*claim);
    } else if (const auto* fetch =
                   std::get_if<rollout::FetchWeights>(&action)) {
      weights_->Fetch(fetch->target_);
    } else if (const auto* drop = std::get_if<rollout::AbandonFetch>(&action)) {
      weights_->Abandon(drop->manifest_);
    } else if (const auto* order = std::get_if<rollout::SendOrder>(&action)) {
      SendOrder(*order);
    } else if (const auto* news = std::get_if<rollout::Announce>(&action)) {
      SetAccepting(news->ready_, news->serving_);
    }
  }
}

void Agent::FinishDrain() {
  if (runs_->in_flight() == 0) {
    CheckPause();
    Perform(activation_.OnDrained(process_.loop().Now()));
  }
}

void Agent::SendClaim(const rollout::SendClaim& claim) {
  process_.log().Write(core::EventNumber::kEngineClaimed,
                       {{"fence", std::to_string(claim.fence_)}});
  engine_.Claim(claim, role_, [this](bool) {
    Perform(activation_.OnOrderAnswered(process_.loop().Now()));
  });
}

void Agent::ReadOwnRow() {
  for (const auto& instance : process_.config().instances()) {
    if (instance.id_ == process_.id()) {
      activation_.SetChecksFencing(instance.checks_fencing_);
      activation_.SetListed(instance.peer_ == AdvertisedAddress());
    }
  }
}

const std::string& Agent::AdvertisedAddress() const {
  const auto& advertised = process_.settings().Text("listen", "advertised");
  return advertised.empty() ? process_.settings().Text("listen", "peer")
                            : advertised;
}

void Agent::SetAccepting(bool accepting, const rollout::Target& serving) {
  if (accepting) {
    process_.log().Write(core::EventNumber::kEndpointReady,
                         {{"version", std::to_string(serving.version_)},
                          {"manifest", serving.manifest_.ToHex()}});
    weights_->links().SetServing(process_.id(), serving.version_);
  } else {
    process_.log().Write(core::EventNumber::kEndpointNotReady);
    runs_->RefuseWaiting();
  }
  Announce(false);
}

void Agent::SendOrder(const rollout::SendOrder& order) {
  process_.log().Write(core::EventNumber::kOrderSent,
                       {{"version", std::to_string(order.target_.version_)},
                        {"fence", std::to_string(order.fence_)}});
  engine_.Order(order, [this](bool accepted) {
    if (!accepted) {
      process_.log().Write(core::EventNumber::kOrderRefused);
    }
    Perform(activation_.OnOrderAnswered(process_.loop().Now()));
  });
}

void Agent::PollBackend() {
  if (std::exchange(polling_, true)) {
    return;
  }
  if (is_engine_) {
    engine_.ReadState(
        [this, asked_at = process_.loop().Now()](const auto& state) {
          polling_ = false;
          OnEngineState(state, asked_at);
        });
    return;
  }
  engine_.CheckService([this](bool up) {
    polling_ = false;
    if (std::exchange(service_up_, up) != up) {
      process_.log().Write(up ? core::EventNumber::kEndpointReady
                              : core::EventNumber::kEndpointNotReady);
      Announce(false);
    }
  });
}

void Agent::OnEngineState(const std::optional<rollout::EngineState>& state,
                          core::TimePoint asked_at) {
  CheckPause();
  const auto before = activation_.phase();
  if (state) {
    Perform(activation_.OnEngineState(*state, asked_at, process_.loop().Now()));
    FinishDrain();
  } else {
    if (before != rollout::Phase::kQuerying) {
      process_.log().Write(core::EventNumber::kEngineUnreachable,
                           {{"peer", engine_.address().ToString()}});
    }
    Perform(activation_.OnEngineLost());
  }
  const bool replaced = activation_.phase() == rollout::Phase::kReplaced &&
                        before != rollout::Phase::kReplaced;
  if (replaced) {
    process_.log().Write(core::EventNumber::kAgentReplaced);
  }
}

void Agent::TakeTurnIfDue() {
  if (activation_.phase() == rollout::Phase::kWaitingForSlot &&
      turns_.MayDrain(process_.loop().Now())) {
    process_.log().Write(core::EventNumber::kRolloutSlotObtained);
    Perform(activation_.OnRolloutSlot());
  }
}

void Agent::ReadPlatformIfAlone() {
  const auto now = process_.loop().Now();
  if (!attachments_.empty()) {
    last_entry_heard_ = now;
  } else if (now - last_entry_heard_ > alone_after_) {
    last_entry_heard_ = now;
    process_.platform().ReadOnce();
  }
}

void Agent::Tick() {
  CheckPause();
  if (!State().accepting_) {
    runs_->RefuseWaiting();
  }
  ++ticks_;
  if (ticks_ % kPollTicks == 0) {
    PollBackend();
  }
  Announce(ticks_ % kHeartbeatTicks == 0);
  if (ticks_ % kAloneTicks == 0) {
    ReadPlatformIfAlone();
  }
  TakeTurnIfDue();
}

std::string Agent::Status() const {
  const auto [staged, chunks] = weights_->progress();
  const auto* bundle = process_.config().documents().AcceptedBundle();
  const nlohmann::json status{
      {"id", process_.id().value()},
      {"domain", process_.domain().value()},
      {"role", role_.value()},
      {"ready", State().accepting_},
      {"weights", State().manifest_},
      {"version", activation_.engine() ? activation_.engine()->version_ : 0},
      {"bundle_version", bundle == nullptr ? 0 : bundle->version_},
      {"chunks_staged", staged},
      {"chunks", chunks},
      {"drawn_bytes", weights_->drawn_bytes()},
      {"requests_in_flight", runs_->in_flight()}};
  return status.dump();
}

}  // namespace chalkwell::daemon
