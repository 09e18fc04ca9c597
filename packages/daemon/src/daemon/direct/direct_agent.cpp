// The engine's report is free and fresh for its own agent: it is read often,
// and told to the entries when it has changed.
#include "daemon/direct/direct_agent.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "daemon/admin.hpp"
#include "daemon/direct/direct_settings.hpp"

namespace chalkwell::daemon::direct {
namespace {

using std::chrono::milliseconds;

/// Between two reports while nothing is under way: a request takes a second,
/// and each telling of its count crosses to all failure domains.
constexpr auto kPollInterval = milliseconds(110);
/// The same while weights change: that is told at once.
constexpr auto kQuickPollInterval = milliseconds(50);
/// An engine that did not say which incarnation it is is asked again.
constexpr auto kIncarnationRetry = milliseconds(500);
/// Entries are asked this often what the engine's service is, until it is
/// known; later so often which other agents there are, while weights change and
/// while they do not.
constexpr auto kFactsInterval = milliseconds(100);
constexpr auto kAgentsInterval = milliseconds(1000);
constexpr auto kSettledInterval = milliseconds(5000);
/// Without a word of any entry for this long, which weights are wanted and
/// which other agents there are is read from the store: entries ask for reports
/// each second, and some 1.5 s after a start of all machines.
constexpr auto kEntryPatience = milliseconds(2000);
/// A read of small rules is over after a round trip; one that lasts longer is
/// of large rules, which are left to the entries.
constexpr auto kSmallRead = milliseconds(150);
/// Without an answer of any entry for this long the rules are read from the
/// store: entries have them some 1.5 s after a start of all machines.
constexpr auto kFactsPatience = milliseconds(4000);
/// Pauses between such reads: 76 agents that read 1.3 MB each fill the link of
/// their region for 11 s.
constexpr core::BackoffSettings kRulesPause{milliseconds(4000),
                                            milliseconds(30000)};

membership::Member SelfOf(ProcessBase& process) {
  membership::Member self;
  self.id_ = process.id();
  self.kind_ = membership::MemberKind::kAgent;
  self.domain_ = process.domain();
  self.address_ = process.settings().Text("listen", "peer");
  return self;
}

/// A change of the link's delay is worth a report from here on: entries compare
/// it with what crossing to another failure domain costs.
constexpr std::uint32_t kInboundStepMs = 60;

std::uint32_t Difference(std::uint32_t left, std::uint32_t right) {
  return std::max(left, right) - std::min(left, right);
}

/// Pieces that take this much longer than alone show a narrowed link. Below it
/// they may have waited at their senders, and say little of the own link.
constexpr auto kNarrowedLink = milliseconds(400);

bool SameLoad(const LoadMessage& left, const LoadMessage& right) {
  return left.active_ == right.active_ && left.queued_ == right.queued_ &&
         left.accepting_ == right.accepting_ &&
         left.version_ == right.version_ && left.slowdown_ == right.slowdown_ &&
         left.started_ms_ == right.started_ms_ &&
         Difference(left.inbound_ms_, right.inbound_ms_) < kInboundStepMs;
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
              [this](Section, const StoreSnapshot& published) {
                OnPublished(published);
              }),
      mesh_(
          process.loop(), SelfOf(process), MeshSettingsOf(process.settings()),
          process.log(), process.metrics(),
          {.on_load_ = nullptr,
           .on_held_chunks_ =
               [this](const membership::Member& sender,
                      const HeldChunksMessage& held) {
                 weights_.OnHeld(sender, held);
               },
           .on_subscribe_ =
               [this](const membership::Member& entry) { OnSubscribe(entry); },
           .on_agent_started_ = nullptr,
           .on_weights_ =
               [this](const std::string& model, std::uint64_t version) {
                 weights_.OnNamed({model, version});
               },
           .on_lost_ = nullptr,
           .on_departed_ = nullptr,
           .weights_ =
               [this] {
                 std::map<std::string, std::uint64_t> known;
                 if (weights_.wanted().version_ > 0) {
                   known[weights_.wanted().model_] = weights_.wanted().version_;
                 }
                 return known;
               }}),
      weights_(process, adapter_.weights_, mesh_),
      facts_(process.loop(), mesh_, service_,
             [this](const EngineFacts& facts) { TakeFacts(facts); }),
      rules_pause_(kRulesPause, std::random_device{}()),
      alone_pause_(kRulesPause, std::random_device{}()),
      started_at_(process.loop().Now()),
      poll_(process.loop()),
      facts_timer_(process.loop()) {}

void DirectAgent::Run() {
  const auto& settings = process_.settings();
  admin_ = OpenAdmin(
      process_.loop(), ParseAddress(settings.Text("listen", "admin")),
      process_.metrics(),
      {.not_ready_ =
           [this] {
             return engine_answers_ ? "" : "the engine does not answer";
           },
       .status_ = [this] { return Status(); },
       .refresh_ = [] {}});
  process_.OnReload(
      [this] { mesh_.SetSeeds(MeshSettingsOf(process_.settings()).seeds_); });
  mesh_.Start();
  AskFacts();
  PollEngine();
  process_.Run([this] { mesh_.AnnounceLeaving(); });
}

void DirectAgent::AskFacts() {
  const auto now = process_.loop().Now();
  ReadIfAlone(now);
  const bool asked = facts_.Ask();
  if (!model_.empty() && !weights_.NeedsOrigin()) {
    facts_timer_.Once(weights_.settled() ? kSettledInterval : kAgentsInterval,
                      [this] { AskFacts(); });
    return;
  }
  const auto waited = now - started_at_;
  const auto wait =
      process_.settings().Milliseconds("endpoint", "facts_wait_ms");
  if (!asked && waited >= wait && !std::exchange(read_small_, true)) {
    // Entries may start after their agents: after a loss of power of all
    // machines they were heard 0.4 s later, and engines served as much later.
    reader_.ReadNow(Section::kRules, kSmallRead);
  }
  if (waited >= kFactsPatience && rules_pause_.IsReady(now)) {
    rules_pause_.OnFailure(now);
    reader_.ReadNow(Section::kRules);
  }
  facts_timer_.Once(kFactsInterval, [this] { AskFacts(); });
}

void DirectAgent::ReadIfAlone(core::TimePoint now) {
  const auto heard = std::max(audience_.last_renewed(), started_at_);
  if (now - heard < kEntryPatience || !alone_pause_.IsReady(now)) {
    return;
  }
  alone_pause_.OnFailure(now);
  reader_.ReadNow(Section::kWeights);
  if (!weights_.KnowsAgents()) {
    reader_.ReadNow(Section::kEndpoints);
  }
}

void DirectAgent::OnSubscribe(const membership::Member& entry) {
  const auto now = process_.loop().Now();
  const bool near = entry.domain_ == process_.domain();
  if (audience_.Subscribe(entry.address_, near, now) && last_load_) {
    Tell(*last_load_, false, false, now);
  }
}

void DirectAgent::Tell(LoadMessage load, bool changed, bool urgent,
                       core::TimePoint now) {
  load.sent_ms_ = static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(now.time_since_epoch()).count());
  for (const auto& entry : audience_.CollectDue(changed, urgent, now)) {
    load.incarnation_ = entry.full_ ? incarnation_.value() : "";
    mesh_.SendReport(entry, load);
  }
}

void DirectAgent::OnPublished(const StoreSnapshot& published) {
  if (published.rules_) {
    if (const auto facts = FactsOf(*published.rules_, service_)) {
      TakeFacts(*facts);
    }
  }
  if (!published.endpoints_.empty()) {
    weights_.SetAgents(AgentsOf(published.endpoints_, service_, mesh_));
  }
  for (const auto& weights : published.weights_) {
    weights_.OnNamed(weights);
  }
}

void DirectAgent::TakeFacts(const EngineFacts& facts) {
  if (model_.empty()) {
    // What the engine said so far could not be understood.
    poll_.Once(core::Duration{}, [this] { PollEngine(); });
  }
  model_ = facts.model_;
  health_path_ = facts.health_path_;
  weights_.SetModel(model_, facts.pieces_);
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
    poll_.Once(weights_.settled() ? kPollInterval : kQuickPollInterval,
               [this] { PollEngine(); });
  });
}

void DirectAgent::OnReport(const std::optional<EngineReport>& report) {
  const auto now = process_.loop().Now();
  if (engine_answers_ != report.has_value()) {
    engine_answers_ = report.has_value();
    process_.log().Write(engine_answers_
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
  AskIncarnation();
  weights_.OnReport(*report);
  LoadMessage load;
  load.endpoint_ = endpoint_;
  load.active_ = report->load_.active_;
  load.queued_ = report->load_.queued_;
  load.accepting_ = !weights_.switching() && !report->activating_;
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
  orders_ = report->activation_count_;
  started_ = report->started_;
  version_ = load.version_;
  const bool changed = !last_load_ || !SameLoad(*last_load_, load);
  const bool urgent =
      last_load_ && (last_load_->version_ != load.version_ ||
                     last_load_->started_ms_ != load.started_ms_ ||
                     last_load_->accepting_ != load.accepting_);
  if (changed) {
    last_load_ = load;
  }
  Tell(load, changed, urgent, now);
}

bool DirectAgent::Restarted(const EngineReport& report) const {
  const auto held = report.model_versions_.find(model_);
  const auto version = held == report.model_versions_.end() ? 0 : held->second;
  return routing::StartTimesDiffer(report.started_, started_) ||
         report.activation_count_ < orders_ || version < version_;
}

void DirectAgent::AskIncarnation() {
  const auto now = process_.loop().Now();
  if (!incarnation_.empty() || health_path_.empty() ||
      now - incarnation_asked_at_ < kIncarnationRetry) {
    return;
  }
  incarnation_asked_at_ = now;
  adapter_.weights_.incarnation_(health_path_,
                                 [this](const core::InstanceId& incarnation) {
                                   incarnation_ = incarnation;
                                   audience_.RequestFullReports();
                                 });
}

core::Duration DirectAgent::InboundDelay(core::TimePoint now) const {
  // A narrowed link drops datagrams: those that arrive may have been quick.
  const auto pieces = weights_.LinkDelay(now);
  return pieces > kNarrowedLink ? std::max(pieces, mesh_.InboundDelay())
                                : mesh_.InboundDelay();
}

std::string DirectAgent::Status() const {
  const nlohmann::json status{{"id", process_.id().value()},
                              {"domain", process_.domain().value()},
                              {"model", model_},
                              {"wanted_version", weights_.wanted().version_},
                              {"serving_version", weights_.serving()},
                              {"pieces_held", weights_.held().count()},
                              {"pieces", weights_.held().size()},
                              {"members", mesh_.LiveMembers().size()}};
  return status.dump();
}

}  // namespace chalkwell::daemon::direct
