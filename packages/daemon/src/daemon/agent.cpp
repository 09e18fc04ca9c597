// Connects the parts of an agent and performs the actions of the rollout state
// machine.
#include "daemon/agent.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "daemon/admin.hpp"

namespace chalkwell::daemon {
namespace {

constexpr auto kTickInterval = std::chrono::milliseconds(100);
/// Intervals in ticks: between heartbeats to entries, between checks whether
/// entries are in contact, and between queries to the backend. Heartbeats may
/// be rare, since a lost peer is detected by the pings of its connection,
/// changes are sent at once, and responses carry the load.
constexpr unsigned kHeartbeatTicks = 100;
constexpr unsigned kIsolationCheckTicks = 10;
constexpr unsigned kBackendPollTicks = 3;
constexpr std::uint64_t kTieBreakerMask = 0xffffff;

/// Increases from one process of an endpoint to the next: the milliseconds
/// since the epoch, followed by random bits that distinguish processes started
/// in the same millisecond.
std::uint64_t NewIncarnation() {
  const auto since_epoch = std::chrono::system_clock::now().time_since_epoch();
  const auto millis =
      std::chrono::duration_cast<std::chrono::milliseconds>(since_epoch);
  constexpr unsigned kRandomBits = 16;
  return (static_cast<std::uint64_t>(millis.count()) << kRandomBits) |
         (std::random_device{}() & ((1U << kRandomBits) - 1));
}

/// Multiplies a duration by a random factor from 1 to 1.5.
core::Duration Jittered(core::Duration duration) {
  std::mt19937_64 random(std::random_device{}());
  std::uniform_real_distribution<double> factor(1.0, 1.5);
  return std::chrono::duration_cast<core::Duration>(duration * factor(random));
}

}  // namespace

Agent::Agent(Process& process)
    : process_(process),
      has_engine_(process.settings().Text("endpoint", "kind") == "engine"),
      capacity_(process.settings().Number("endpoint", "capacity")),
      role_(process.settings().Text("endpoint", "role")),
      engine_(process.http_client(),
              ParseAddress(process.settings().Text("endpoint", "backend"))),
      activation_({.lease_ = process.settings().Milliseconds("rollout",
                                                             "pause_lease_ms"),
                   .tie_breaker_ = std::random_device{}() & kTieBreakerMask}),
      rollout_slots_(
          process.id(), process.settings().Real("rollout", "max_out_share"),
          process.settings().Milliseconds("rollout", "turn_lease_ms")),
      suspension_(process.settings().Milliseconds("rollout", "pause_lease_ms")),
      last_entry_contact_(process.loop().Now()),
      isolation_timeout_(
          Jittered(process.settings().Milliseconds("platform", "silence_ms"))),
      tick_timer_(process.loop()) {
  const auto& settings = process.settings();
  weight_fetcher_ = std::make_unique<WeightFetcher>(
      process_, engine_,
      [this](const core::Digest& manifest) {
        CheckSuspension();
        Perform(activation_.OnStaged(manifest, process_.loop().Now()));
      },
      [this](const core::InstanceId& member, std::uint64_t version) {
        rollout_slots_.OnServing(member, version, process_.loop().Now());
      });
  run_handler_ = std::make_unique<RunHandler>(
      process_, engine_.address(), NewIncarnation(), capacity_,
      [this] { return CurrentState(); },
      [this](std::size_t bytes) {
        weight_fetcher_->upload_pacer().OnRequestBytes(bytes,
                                                       process_.loop().Now());
      },
      [this] { FinishDrain(); });
  peer_server_ = std::make_unique<PeerServer>(
      process_.loop(), ParseAddress(settings.Text("listen", "peer")),
      settings.Number("endpoint", "max_body_bytes"),
      [this](const PeerCallPtr& call) { OnPeerCall(call); });
  admin_server_ = MakeAdminServer(
      process_.loop(), ParseAddress(settings.Text("listen", "admin")),
      process_.metrics(),
      {.not_ready_reason_ =
           [this] {
             return CurrentState().accepting_ ? std::string{}
                                              : "accepts no work";
           },
       .status_json_ = [this] { return StatusJson(); },
       .update_gauges_ =
           [this] {
             process_.metrics().Set(
                 "requests_in_flight", {},
                 static_cast<double>(run_handler_->in_flight()));
           }});
  process_.log().Write(core::EventNumber::kListening,
                       {{"peer", settings.Text("listen", "peer")}});
  process_.config().OnChange(
      [this](const std::vector<std::string>&) { OnConfigChange(); });
  tick_timer_.Every(kTickInterval, [this] { Tick(); });
  PollBackend();
}

void Agent::Run() {
  process_.Run([this] { BeginStop(); });
}

void Agent::BeginStop() {
  process_.log().Write(core::EventNumber::kInstanceLeaving,
                       {{"peer", process_.id().value()}});
  SendReports(false);
}

void Agent::CheckSuspension() {
  if (suspension_.Tick(process_.loop().Now())) {
    process_.log().Write(core::EventNumber::kSuspensionDetected);
    Perform(activation_.OnSuspension(process_.loop().Now()));
  }
}

void Agent::OnPeerCall(const PeerCallPtr& call) {
  // After a suspension, calls may be handled before the timers run; the state
  // known before the suspension is no longer valid.
  CheckSuspension();
  try {
    const auto path = call->path();
    if (path == kRunPath) {
      run_handler_->Handle(call);
    } else if (path == kSyncPath) {
      (void)process_.HandleSync(call);
      last_entry_contact_ = process_.loop().Now();
    } else if (path == kAttachPath) {
      OnAttach(call);
    } else if (path == kHavePath) {
      weight_fetcher_->links().HandleHave(call);
    } else if (path == kChunkPath) {
      weight_fetcher_->HandleChunk(call);
    } else {
      call->Respond(404, "unknown call");
    }
  } catch (const std::exception& error) {
    process_.RespondError(call, error);
  }
}

void Agent::OnAttach(const PeerCallPtr& call) {
  (void)Unpack<AttachMessage>(call->body(), "attach");
  auto attachment = std::make_shared<Attachment>();
  attachment->call_ = call;
  attachment->last_frame_ = CurrentFrame();
  attachments_.push_back(attachment);
  call->OnClosed([this, closed = attachment.get()] {
    std::erase_if(attachments_, [closed](const auto& other) {
      return other.get() == closed;
    });
  });
  last_entry_contact_ = process_.loop().Now();
  auto first = attachment->last_frame_;
  first.minter_ = run_handler_->RegisterIssuer();
  call->Start(200);
  call->Write(Pack(first));
}

AgentFrame Agent::CurrentFrame() const {
  const auto state = CurrentState();
  const auto& engine = activation_.engine();
  return {.incarnation_ = run_handler_->incarnation(),
          .minter_ = 0,
          .ready_ = state.accepting_,
          .leaving_ = process_.stopping(),
          .manifest_ = state.manifest_,
          .bundle_version_ = engine ? engine->version_ : 0,
          .load_ = run_handler_->in_flight(),
          .capacity_ = capacity_,
          .sharers_ = run_handler_->active_entries(),
          .config_ = process_.config().fingerprint()};
}

void Agent::SendReports(bool heartbeat) {
  const auto frame = CurrentFrame();
  for (const auto& attachment : std::vector(attachments_)) {
    auto& last = attachment->last_frame_;
    const bool changed =
        last.ready_ != frame.ready_ || last.leaving_ != frame.leaving_ ||
        last.manifest_ != frame.manifest_ || last.config_ != frame.config_;
    if (changed || heartbeat) {
      last = frame;
      attachment->call_->Write(Pack(frame));
    }
  }
}

EndpointState Agent::CurrentState() const {
  if (!process_.shutdown().accepting()) {
    return {};
  }
  if (!has_engine_) {
    return {.accepting_ = service_healthy_, .manifest_ = ""};
  }
  const auto& engine = activation_.engine();
  const bool has_weights = engine && !engine->manifest_.empty();
  return {.accepting_ = activation_.accepting(process_.loop().Now()),
          .manifest_ = has_weights ? engine->manifest_.ToHex() : ""};
}

void Agent::OnConfigChange() {
  std::set<core::InstanceId> members;
  for (const auto& instance : process_.config().instances()) {
    if (instance.domain_ == process_.domain() && instance.role_ == role_ &&
        !instance.leaving_) {
      members.insert(instance.id_);
    }
  }
  rollout_slots_.SetMembers(std::move(members));
  ReadOwnInstance();
  const auto* bundle = process_.config().documents().AcceptedBundle();
  if (has_engine_ && bundle != nullptr && bundle->AppliesTo(role_)) {
    const rollout::Target target{bundle->version_, bundle->manifest_};
    if (target > activation_.target()) {
      rollout_slots_.StartRollout(bundle->version_, process_.loop().Now());
      Perform(activation_.OnTarget(target));
    }
  }
  weight_fetcher_->UpdateMembers();
  SendReports(false);
}

void Agent::Perform(const rollout::Actions& actions) {
  for (const auto& action : actions) {
    // A drain is finished when the engine's next report finds no requests in
    // flight.
    const bool needs_query =
        std::holds_alternative<rollout::QueryEngine>(action) ||
        std::holds_alternative<rollout::Drain>(action);
    if (needs_query) {
      PollBackend();
    } else if (const auto* claim = std::get_if<rollout::SendClaim>(&action)) {
      SendClaim(*claim);
    } else if (const auto* fetch =
                   std::get_if<rollout::FetchWeights>(&action)) {
      weight_fetcher_->Fetch(fetch->target_);
    } else if (const auto* abandon =
                   std::get_if<rollout::AbandonFetch>(&action)) {
      weight_fetcher_->Abandon(abandon->manifest_);
    } else if (const auto* order = std::get_if<rollout::SendOrder>(&action)) {
      SendOrder(*order);
    } else if (const auto* announcement =
                   std::get_if<rollout::Announce>(&action)) {
      SetReady(announcement->ready_, announcement->serving_);
    }
  }
}

void Agent::FinishDrain() {
  if (run_handler_->in_flight() == 0) {
    CheckSuspension();
    Perform(activation_.OnDrained(process_.loop().Now()));
  }
}

void Agent::SendClaim(const rollout::SendClaim& claim) {
  process_.log().Write(core::EventNumber::kEngineClaimed,
                       {{"fence", std::to_string(claim.fence_)}});
  engine_.Claim(claim, role_, [this](bool) {
    Perform(activation_.OnOrderReply(process_.loop().Now()));
  });
}

void Agent::ReadOwnInstance() {
  for (const auto& instance : process_.config().instances()) {
    if (instance.id_ == process_.id()) {
      activation_.SetChecksFencing(instance.checks_fencing_);
      activation_.SetListed(instance.peer_address_ == AdvertisedAddress());
    }
  }
}

const std::string& Agent::AdvertisedAddress() const {
  const auto& advertised = process_.settings().Text("listen", "advertised");
  return advertised.empty() ? process_.settings().Text("listen", "peer")
                            : advertised;
}

void Agent::SetReady(bool ready, const rollout::Target& serving) {
  if (ready) {
    process_.log().Write(core::EventNumber::kEndpointReady,
                         {{"version", std::to_string(serving.version_)},
                          {"manifest", serving.manifest_.ToHex()}});
    weight_fetcher_->links().SetServedVersion(process_.id(), serving.version_);
  } else {
    process_.log().Write(core::EventNumber::kEndpointNotReady);
    run_handler_->RefuseAllQueued();
  }
  SendReports(false);
}

void Agent::SendOrder(const rollout::SendOrder& order) {
  process_.log().Write(core::EventNumber::kOrderSent,
                       {{"version", std::to_string(order.target_.version_)},
                        {"fence", std::to_string(order.fence_)}});
  engine_.Order(order, [this](bool accepted) {
    if (!accepted) {
      process_.log().Write(core::EventNumber::kOrderRefused);
    }
    Perform(activation_.OnOrderReply(process_.loop().Now()));
  });
}

void Agent::PollBackend() {
  if (std::exchange(poll_in_flight_, true)) {
    return;
  }
  if (has_engine_) {
    engine_.ReadState(
        [this, queried_at = process_.loop().Now()](const auto& state) {
          poll_in_flight_ = false;
          OnEngineState(state, queried_at);
        });
    return;
  }
  engine_.CheckHealth([this](bool healthy) {
    poll_in_flight_ = false;
    if (std::exchange(service_healthy_, healthy) != healthy) {
      process_.log().Write(healthy ? core::EventNumber::kEndpointReady
                                   : core::EventNumber::kEndpointNotReady);
      SendReports(false);
    }
  });
}

void Agent::OnEngineState(const std::optional<rollout::EngineState>& state,
                          core::TimePoint queried_at) {
  CheckSuspension();
  const auto previous_phase = activation_.phase();
  if (state) {
    Perform(
        activation_.OnEngineState(*state, queried_at, process_.loop().Now()));
    FinishDrain();
  } else {
    if (previous_phase != rollout::Phase::kQuerying) {
      process_.log().Write(core::EventNumber::kEngineUnreachable,
                           {{"peer", engine_.address().ToString()}});
    }
    Perform(activation_.OnEngineLost());
  }
  const bool replaced = activation_.phase() == rollout::Phase::kReplaced &&
                        previous_phase != rollout::Phase::kReplaced;
  if (replaced) {
    process_.log().Write(core::EventNumber::kAgentReplaced);
  }
}

void Agent::TryObtainRolloutSlot() {
  if (activation_.phase() == rollout::Phase::kWaitingForSlot &&
      rollout_slots_.MayDrain(process_.loop().Now())) {
    process_.log().Write(core::EventNumber::kRolloutSlotObtained);
    Perform(activation_.OnRolloutSlot());
  }
}

void Agent::ReadPlatformIfIsolated() {
  const auto now = process_.loop().Now();
  if (!attachments_.empty()) {
    last_entry_contact_ = now;
  } else if (now - last_entry_contact_ > isolation_timeout_) {
    last_entry_contact_ = now;
    process_.store_reader().ReadOnce();
  }
}

void Agent::Tick() {
  CheckSuspension();
  if (!CurrentState().accepting_) {
    run_handler_->RefuseAllQueued();
  }
  ++tick_count_;
  if (tick_count_ % kBackendPollTicks == 0) {
    PollBackend();
  }
  SendReports(tick_count_ % kHeartbeatTicks == 0);
  if (tick_count_ % kIsolationCheckTicks == 0) {
    ReadPlatformIfIsolated();
  }
  TryObtainRolloutSlot();
}

std::string Agent::StatusJson() const {
  const auto [staged, chunks] = weight_fetcher_->progress();
  const auto* bundle = process_.config().documents().AcceptedBundle();
  const nlohmann::json status{
      {"id", process_.id().value()},
      {"domain", process_.domain().value()},
      {"role", role_.value()},
      {"ready", CurrentState().accepting_},
      {"weights", CurrentState().manifest_},
      {"version", activation_.engine() ? activation_.engine()->version_ : 0},
      {"bundle_version", bundle == nullptr ? 0 : bundle->version_},
      {"chunks_staged", staged},
      {"chunks", chunks},
      {"drawn_bytes", weight_fetcher_->origin_bytes()},
      {"requests_in_flight", run_handler_->in_flight()}};
  return status.dump();
}

}  // namespace chalkwell::daemon
