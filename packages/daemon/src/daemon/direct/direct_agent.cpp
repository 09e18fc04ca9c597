// Reading the engine's load report costs its own agent nothing and gives
// current values, so it is polled often and sent to the entries when it has
// changed.
#include "daemon/direct/direct_agent.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "chalkwell/core/milliseconds.hpp"
#include "daemon/admin.hpp"
#include "daemon/direct/direct_settings.hpp"

namespace chalkwell::daemon::direct {
namespace {

using std::chrono::milliseconds;

/// Polling interval while idle: a request takes a second, and each report of a
/// changed request count crosses to all failure domains.
constexpr auto kPollInterval = milliseconds(110);
/// Polling interval while weights change, which is reported at once.
constexpr auto kQuickPollInterval = milliseconds(50);
/// Retry interval of requests for the engine's incarnation.
constexpr auto kIncarnationRetry = milliseconds(500);
/// Interval of requests to entries: for the facts of the service until these
/// are known, then for the list of agents while weights change and while they
/// do not.
constexpr auto kFactsInterval = milliseconds(100);
constexpr auto kAgentsInterval = milliseconds(1000);
constexpr auto kIdleFactsInterval = milliseconds(5000);
/// After this time without a message from any entry, the target version and the
/// agents are read from the store. Entries subscribe to reports each second,
/// for the first time some 1.5 s after a start of all machines.
constexpr auto kEntryTimeout = milliseconds(2000);
/// Timeout of the read of small rules, which takes one round trip. Longer reads
/// are of large rules, which are left to the entries.
constexpr auto kSmallReadTimeout = milliseconds(150);
/// After this time without a response of any entry, the rules are read from the
/// store; entries have them some 1.5 s after a start of all machines.
constexpr auto kFactsTimeout = milliseconds(4000);
/// Backoff of these reads: 76 agents that read 1.3 MB each fill the link of
/// their region for 11 s.
constexpr core::BackoffSettings kReadBackoff{milliseconds(4000),
                                             milliseconds(30000)};

membership::Member SelfMember(ProcessBase& process) {
  membership::Member self;
  self.id_ = process.id();
  self.kind_ = membership::MemberKind::kAgent;
  self.domain_ = process.domain();
  self.address_ = process.settings().Text("listen", "peer");
  return self;
}

/// Minimum change of the link delay that causes a report: entries compare the
/// delay with the cost of crossing to another failure domain.
constexpr std::uint32_t kInboundDelayStepMs = 60;

std::uint32_t AbsoluteDifference(std::uint32_t left, std::uint32_t right) {
  return std::max(left, right) - std::min(left, right);
}

/// Excess of the transfer time of chunks over that on an idle link that
/// indicates a degraded link. A smaller excess may be queueing at the senders
/// and says little about the local link.
constexpr auto kDegradedLinkDelay = milliseconds(400);

bool SameLoad(const LoadMessage& left, const LoadMessage& right) {
  return left.active_ == right.active_ && left.queued_ == right.queued_ &&
         left.accepting_ == right.accepting_ &&
         left.leaving_ == right.leaving_ && left.version_ == right.version_ &&
         left.slowdown_ == right.slowdown_ &&
         left.started_ms_ == right.started_ms_ &&
         AbsoluteDifference(left.inbound_ms_, right.inbound_ms_) <
             kInboundDelayStepMs;
}

}  // namespace

DirectAgent::DirectAgent(ProcessBase& process, Adapter adapter)
    : process_(process),
      adapter_(std::move(adapter)),
      service_(process.settings().Text("endpoint", "role")),
      endpoint_(process.settings().Text("endpoint", "backend")),
      reader_(process.loop(), adapter_.store_,
              ReaderSettingsOf(process.settings()), process.log(),
              process.metrics(),
              [this](Section, const StoreSnapshot& snapshot) {
                OnPublished(snapshot);
              }),
      mesh_(
          process.loop(), SelfMember(process),
          MeshSettingsOf(process.settings()), process.log(), process.metrics(),
          {.on_load_ = nullptr,
           .on_held_chunks_ =
               [this](const membership::Member& sender,
                      const HeldChunksMessage& held) {
                 weights_.OnHeld(sender, held);
               },
           .on_subscribe_ =
               [this](const membership::Member& entry) { OnSubscribe(entry); },
           .on_agent_query_ = nullptr,
           .on_weights_ =
               [this](const std::string& model, std::uint64_t version) {
                 weights_.OnVersionPublished({model, version});
               },
           .on_lost_ = nullptr,
           .on_departed_ = nullptr,
           .weights_ =
               [this] {
                 std::map<std::string, std::uint64_t> known;
                 if (weights_.target().version_ > 0) {
                   known[weights_.target().model_] = weights_.target().version_;
                 }
                 return known;
               }}),
      weights_(process, adapter_.weights_, mesh_),
      facts_(process.loop(), mesh_, service_,
             [this](const EngineFacts& facts) { ApplyFacts(facts); }),
      rules_backoff_(kReadBackoff, std::random_device{}()),
      store_backoff_(kReadBackoff, std::random_device{}()),
      started_at_(process.loop().Now()),
      poll_(process.loop()),
      facts_timer_(process.loop()) {}

void DirectAgent::Run() {
  const auto& settings = process_.settings();
  admin_ = MakeAdminServer(
      process_.loop(), ParseAddress(settings.Text("listen", "admin")),
      process_.metrics(),
      {.not_ready_reason_ =
           [this] {
             return engine_responds_ ? "" : "the engine does not respond";
           },
       .status_json_ = [this] { return Status(); },
       .update_gauges_ = [] {}});
  process_.OnReload(
      [this] { mesh_.SetSeeds(MeshSettingsOf(process_.settings()).seeds_); });
  mesh_.Start();
  RefreshFacts();
  PollEngine();
  process_.Run([this] { mesh_.AnnounceLeaving(); });
}

void DirectAgent::RefreshFacts() {
  const auto now = process_.loop().Now();
  ReadWithoutEntries(now);
  const bool requested = facts_.Request();
  if (!model_.empty() && !weights_.NeedsOrigin()) {
    facts_timer_.Once(weights_.idle() ? kIdleFactsInterval : kAgentsInterval,
                      [this] { RefreshFacts(); });
    return;
  }
  const auto waited = now - started_at_;
  const auto wait = FactsWait();
  if (!requested && waited >= wait && !std::exchange(small_read_tried_, true)) {
    // Entries may start after their agents. After a power loss of all machines
    // the first message from an entry came 0.4 s later, and engines started to
    // serve that much later.
    reader_.ReadNow(Section::kRules, kSmallReadTimeout);
  }
  if (waited >= wait + kFactsTimeout && rules_backoff_.IsReady(now)) {
    rules_backoff_.OnFailure(now);
    reader_.ReadNow(Section::kRules);
  }
  facts_timer_.Once(kFactsInterval, [this] { RefreshFacts(); });
}

core::Duration DirectAgent::FactsWait() const {
  return process_.settings().Milliseconds("endpoint", "facts_wait_ms");
}

void DirectAgent::ReadWithoutEntries(core::TimePoint now) {
  const auto last_contact =
      std::max(subscribers_.last_renewed(), started_at_ + FactsWait());
  if (now - last_contact < kEntryTimeout || !store_backoff_.IsReady(now)) {
    return;
  }
  store_backoff_.OnFailure(now);
  reader_.ReadNow(Section::kWeights);
  if (!weights_.KnowsAgents()) {
    reader_.ReadNow(Section::kEndpoints);
  }
}

void DirectAgent::OnSubscribe(const membership::Member& entry) {
  const auto now = process_.loop().Now();
  const bool local = entry.domain_ == process_.domain();
  if (subscribers_.Subscribe(entry.address_, local, now) && last_load_) {
    SendReports(*last_load_, false, false, now);
  }
}

void DirectAgent::SendReports(LoadMessage load, bool changed, bool urgent,
                              core::TimePoint now) {
  load.subscribers_ = static_cast<std::uint32_t>(subscribers_.size());
  load.sent_ms_ = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count());
  for (const auto& entry : subscribers_.CollectDue(changed, urgent, now)) {
    load.instance_id_ = entry.full_ ? incarnation_.value() : "";
    mesh_.SendReport(entry, load);
  }
}

void DirectAgent::OnPublished(const StoreSnapshot& snapshot) {
  if (snapshot.rules_) {
    if (const auto facts = FindEngineFacts(*snapshot.rules_, service_)) {
      ApplyFacts(*facts);
    }
  }
  if (!snapshot.endpoints_.empty()) {
    weights_.SetAgents(AgentAddressesOf(snapshot.endpoints_, service_, mesh_));
  }
  for (const auto& weights : snapshot.weights_) {
    weights_.OnVersionPublished(weights);
  }
}

void DirectAgent::ApplyFacts(const EngineFacts& facts) {
  if (model_.empty()) {
    // Earlier reports could not be interpreted without the model's name.
    poll_.Once(core::Duration{}, [this] { PollEngine(); });
  }
  model_ = facts.model_;
  health_path_ = facts.health_path_;
  weights_.SetModel(model_, facts.chunks_);
  if (!facts.agents_.empty()) {
    weights_.SetAgents(facts.agents_);
  }
  if (!facts.origin_.empty()) {
    weights_.SetOrigin(ParseAddress(facts.origin_));
  }
}

void DirectAgent::PollEngine() {
  adapter_.weights_.report_([this](const std::optional<EngineReport>& report) {
    OnReport(report);
    poll_.Once(weights_.idle() ? kPollInterval : kQuickPollInterval,
               [this] { PollEngine(); });
  });
}

void DirectAgent::OnReport(const std::optional<EngineReport>& report) {
  const auto now = process_.loop().Now();
  if (engine_responds_ != report.has_value()) {
    engine_responds_ = report.has_value();
    process_.log().Write(engine_responds_
                             ? core::EventNumber::kEndpointReady
                             : core::EventNumber::kEngineUnreachable,
                         {{"endpoint", endpoint_}});
  }
  if (!report) {
    weights_.OnEngineLost();
    incarnation_ = {};
    return;
  }
  if (Restarted(*report)) {
    incarnation_ = {};
  }
  RequestIncarnation();
  weights_.OnReport(*report);
  LoadMessage load;
  load.endpoint_ = endpoint_;
  load.active_ = report->load_.active_;
  load.queued_ = report->load_.queued_;
  load.accepting_ = !weights_.switching() && !report->activating_;
  load.leaving_ = report->load_.leaving_;
  load.slowdown_ =
      static_cast<std::uint32_t>(report->load_.slowdown_ * kSlowdownUnit);
  const auto inbound = InboundDelay(now);
  load.inbound_ms_ = static_cast<std::uint32_t>(
      std::chrono::duration_cast<milliseconds>(inbound).count());
  load.started_ms_ = ToMs(report->started_);
  const auto held = report->model_versions_.find(model_);
  if (held != report->model_versions_.end()) {
    load.version_ = held->second;
  }
  activation_count_ = report->activation_count_;
  started_ = report->started_;
  version_ = load.version_;
  const bool changed = !last_load_ || !SameLoad(*last_load_, load);
  const bool urgent =
      last_load_ && (last_load_->version_ != load.version_ ||
                     last_load_->started_ms_ != load.started_ms_ ||
                     last_load_->accepting_ != load.accepting_ ||
                     last_load_->leaving_ != load.leaving_);
  if (changed) {
    last_load_ = load;
  }
  SendReports(load, changed, urgent, now);
}

bool DirectAgent::Restarted(const EngineReport& report) const {
  const auto held = report.model_versions_.find(model_);
  const auto version = held == report.model_versions_.end() ? 0 : held->second;
  return routing::StartTimesDiffer(report.started_, started_) ||
         report.activation_count_ < activation_count_ || version < version_;
}

void DirectAgent::RequestIncarnation() {
  const auto now = process_.loop().Now();
  if (!incarnation_.empty() || health_path_.empty() ||
      now - incarnation_requested_at_ < kIncarnationRetry) {
    return;
  }
  incarnation_requested_at_ = now;
  adapter_.weights_.incarnation_(health_path_,
                                 [this](const core::InstanceId& incarnation) {
                                   incarnation_ = incarnation;
                                   subscribers_.RequestFullReports();
                                 });
}

core::Duration DirectAgent::InboundDelay(core::TimePoint now) const {
  // A degraded link drops datagrams, so the delay of those that arrive may be
  // too low an estimate.
  const auto queueing = weights_.LinkDelay(now);
  return queueing > kDegradedLinkDelay
             ? std::max(queueing, mesh_.InboundDelay())
             : mesh_.InboundDelay();
}

std::string DirectAgent::Status() const {
  const auto unresolved = weights_.OrderUnresolvedFor(process_.loop().Now())
                              .value_or(core::Duration{});
  const nlohmann::json status{{"id", process_.id().value()},
                              {"domain", process_.domain().value()},
                              {"model", model_},
                              {"wanted_version", weights_.target().version_},
                              {"serving_version", weights_.serving()},
                              {"pieces_held", weights_.held().count()},
                              {"pieces", weights_.held().size()},
                              {"order_unresolved_ms", core::ToMs(unresolved)},
                              {"members", mesh_.LiveMembers().size()}};
  return status.dump();
}

}  // namespace chalkwell::daemon::direct
