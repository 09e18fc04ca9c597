// Admission by what is in force and by what endpoints can do in time.
#include "daemon/direct/direct_entry.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "chalkwell/routing/stream_admission.hpp"
#include "daemon/admin.hpp"
#include "daemon/direct/direct_settings.hpp"
#include "daemon/direct/engine_facts.hpp"

namespace chalkwell::daemon::direct {
namespace {

using std::chrono::milliseconds;

constexpr int kUnauthorized = 401;
constexpr int kNotFound = 404;
constexpr int kBadRequest = 400;
constexpr int kUnavailable = 503;
/// Wait told to a caller when nothing better is known.
constexpr auto kRetryAfter = milliseconds(500);
/// What is left of a deadline when it is too late to begin.
constexpr auto kLeastTime = milliseconds(30);
/// Part of the fleet's reserve of retries that is used: not every entry knows
/// of every other.
constexpr double kReserveUsed = 0.5;
/// Old weights are not used for this last part of the time they may be: a
/// request may be long on a narrowed link, and wait at its endpoint before it
/// begins, since all entries choose the last engines with old weights at once.
/// Engines that are known to be behind a full link are passed over earlier.
constexpr auto kVersionMargin = milliseconds(1400);
/// An entry that the store does not answer asks another entry this often.
constexpr auto kRelayInterval = milliseconds(700);
/// An agent is asked for its reports this often; it gives them for some seconds
/// and has forgotten the ask when it starts anew. What an entry has heard of
/// new weights goes with it. Those of other failure domains are asked less
/// often: each crosses the link of a region.
constexpr auto kSubscribeInterval = milliseconds(1000);
constexpr auto kFarSubscribeInterval = milliseconds(2500);
/// How soon an endpoint that came to be used is asked.
constexpr auto kSubscribeTick = milliseconds(100);
/// What is believed came from the store itself, as the log names it.
constexpr std::string_view kStoreSource = "store";
/// Peers ask with a few revisions; answers are not bounded by this.
constexpr std::size_t kMaxPeerBody = std::size_t{1} << 16;
/// The platform stops sending new connections after two probes, one a second.
constexpr auto kStopListening = milliseconds(2600);

std::string Millis(core::Duration span) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(span).count());
}

membership::Member SelfOf(ProcessBase& process) {
  membership::Member self;
  self.id_ = process.id();
  self.kind_ = membership::MemberKind::kEntry;
  self.domain_ = process.domain();
  self.address_ = process.settings().Text("listen", "peer");
  return self;
}

}  // namespace

DirectEntry::DirectEntry(ProcessBase& process, Adapter adapter)
    : process_(process),
      adapter_(std::move(adapter)),
      endpoints_({.domain_ = process.domain(), .entry_ = process.id()},
                 std::random_device{}()),
      budget_(RetryBudgetOf(process.settings())),
      retry_spread_(std::random_device{}()),
      context_{process.loop(),
               process.http(),
               adapter_,
               endpoints_,
               budget_,
               retry_spread_,
               quarantine_,
               process.log(),
               process.metrics(),
               process.tracer(),
               [this](const std::string& model) { return RuleFor(model); },
               [this](const std::string& service) {
                 return ConnectionShare(service);
               }},
      reader_(process.loop(), adapter_.store_,
              ReaderSettingsOf(process.settings()), process.log(),
              process.metrics(),
              [this](Section section, const StoreSnapshot& published) {
                OnPublished(section, published);
              }),
      mesh_(process.loop(), SelfOf(process), MeshSettingsOf(process.settings()),
            process.log(), process.metrics(),
            {.on_load_ = [this](const LoadMessage& load) { OnLoad(load); },
             .on_held_chunks_ = nullptr,
             .on_subscribe_ = nullptr,
             .on_agent_started_ =
                 [this](const std::string& agent) {
                   // It has no subscribers yet.
                   subscribed_.erase(agent);
                   Subscribe();
                 },
             .on_weights_ =
                 [this](const std::string& model, std::uint64_t version) {
                   TakeWeights({model, version}, false);
                 },
             .on_lost_ =
                 [this](const membership::Member& member) {
                   keeper_.OnMemberLost(member);
                 },
             .on_departed_ =
                 [this](const DepartedMessage& departed) {
                   list_.OnDeparted(departed);
                 },
             .on_list_ =
                 [this](const membership::Member& teller,
                        const EndpointListMessage& list,
                        core::TimePoint sent_at) {
                   list_.OnListMessage(teller, list, sent_at);
                 },
             .on_rules_ =
                 [this](const membership::Member& member, std::uint64_t version,
                        bool watches) {
                   keeper_.OnVersionAnnounced(member, version, watches);
                 },
             .on_crashes_ =
                 [this](const membership::Member& sender,
                        const std::vector<CrashRecordMessage>& records,
                        core::TimePoint sent_at) {
                   quarantine_.OnRecords(sender, records, sent_at);
                 },
             .crashes_ =
                 [this](std::size_t most) { return quarantine_.Sample(most); },
             .rules_version_ = [this] { return keeper_.version(); },
             .watches_rules_ = [this] { return keeper_.is_watcher(); },
             .weights_ =
                 [this] {
                   std::map<std::string, std::uint64_t> known;
                   for (const auto& [model, named] : weights_) {
                     known[model] = named.newest();
                   }
                   return known;
                 }}),
      quarantine_(process.loop(), endpoints_, mesh_, process.log(),
                  process.metrics()),
      list_(process.loop(), endpoints_, mesh_, process.log(),
            EndpointListSettingsOf(process.settings()),
            {.read_ = [this] { reader_.ReadNow(Section::kEndpoints); },
             .is_known_service_ =
                 [this](const std::string& service) {
                   return rules_.empty() || rules_.HasService(service);
                 }}),
      keeper_(process.loop(), adapter_.store_, reader_, mesh_, process.log(),
              process.metrics(),
              [this](const config::TrafficRules& rules,
                     const std::string& source) { TakeRules(rules, source); }),
      relay_(process.loop(), adapter_.store_, mesh_, process.log(),
             [this](Section section, const StoreSnapshot& published) {
               TakePublished(section, published, "peer");
             }),
      stop_timer_(process.loop()),
      relay_timer_(process.loop()),
      subscribe_timer_(process.loop()) {}

void DirectEntry::TakeSettings() {
  const auto& settings = process_.settings();
  version_bound_ = VersionBoundOf(settings);
  retry_reserve_ = settings.Real("requests", "retry_reserve");
  mesh_.SetSeeds(MeshSettingsOf(settings).seeds_);
}

void DirectEntry::Run() {
  TakeSettings();
  auto& loop = process_.loop();
  const auto& settings = process_.settings();
  admin_ = OpenAdmin(
      loop, ParseAddress(settings.Text("listen", "admin")), process_.metrics(),
      {.not_ready_ = [this] { return NotReady(); },
       .status_ = [this] { return Status(); },
       .refresh_ = [this] { quarantine_.RefreshMetrics(); },
       .lift_quarantine_ =
           [this](const std::string& content) {
             const auto request = routing::RequestDigest::FromHex(content);
             return request && quarantine_.Lift(*request);
           }});
  ready_ = std::make_unique<Http1Server>(
      loop, ParseAddress(settings.Text("listen", "ready")),
      Http1ServerHooks{.limits_ = [] { return HttpLimits{}; },
                       .on_refused_ = nullptr},
      [this](const HttpExchangePtr& exchange) { OnReady(exchange); });
  callers_ = std::make_unique<Http1Server>(
      loop, ParseAddress(settings.Text("listen", "caller")),
      Http1ServerHooks{.limits_ = [this] { return Limits(); },
                       .on_refused_ =
                           [this](int status, const std::string& peer) {
                             process_.log().Write(
                                 core::EventNumber::kCallerLimit,
                                 {{"status", std::to_string(status)},
                                  {"peer", peer}});
                           }},
      [this](const HttpExchangePtr& exchange) {
        const auto now = process_.loop().Now();
        list_.WhenFresh([this, exchange, now] {
          if (exchange->open()) {
            OnCaller(exchange, now);
          }
        });
      });
  process_.log().Write(core::EventNumber::kListening,
                       {{"caller", settings.Text("listen", "caller")}});
  peers_ = std::make_unique<PeerServer>(
      loop, ParseAddress(settings.Text("listen", "peer")), kMaxPeerBody,
      [this](const PeerCallPtr& call) { OnPeer(call); });
  relay_timer_.Every(kRelayInterval, [this] { AskPeersIfCutOff(); });
  process_.OnReload([this] { TakeSettings(); });
  process_.OnResume([this] { mesh_.QuerySeed(); });
  mesh_.Start();
  keeper_.Start();
  subscribe_timer_.Every(kSubscribeTick, [this] { Subscribe(); });
  reader_.Poll(
      Section::kEndpoints, [this] { return list_.Interval(); },
      [this] { list_.OnReadFailed(); });
  process_.Run([this] { BeginStop(); });
}

void DirectEntry::BeginStop() {
  mesh_.AnnounceLeaving();
  callers_->CloseAfterAnswers();
  process_.stop().OnWorkAccepted();
  stop_timer_.Once(kStopListening, [this] {
    callers_->StopAccepting();
    callers_->CloseIdle();
    process_.stop().OnWorkFinished();
  });
}

void DirectEntry::OnReady(const HttpExchangePtr& exchange) {
  const auto reason = NotReady();
  exchange->Respond(reason.empty() ? 200 : kUnavailable, {}, reason);
}

std::string DirectEntry::NotReady() const {
  if (process_.stopping()) {
    return "stopping";
  }
  if (rules_.empty()) {
    return "no rules were heard yet";
  }
  return endpoints_.has_list() ? "" : "no endpoints were heard yet";
}

HttpLimits DirectEntry::Limits() const {
  HttpLimits limits;
  if (rules_.empty()) {
    return limits;
  }
  const auto& in_force = rules_.rules().limits_;
  limits.header_bytes_ = in_force.header_bytes_;
  limits.body_bytes_ = in_force.body_bytes_;
  limits.request_time_ = in_force.header_time_;
  limits.idle_time_ = in_force.idle_time_;
  return limits;
}

void DirectEntry::OnPublished(Section section, const StoreSnapshot& published) {
  if (section == Section::kRules) {
    keeper_.OnPublished(published);
    return;
  }
  relay_.Store(section, published);
  TakePublished(section, published, std::string(kStoreSource));
}

void DirectEntry::AskPeersIfCutOff() {
  const auto away = process_.loop().Now() - reader_.reachable_since();
  if (!reader_.reachable() && away >= kRelayInterval) {
    relay_.Fetch();
  }
}

void DirectEntry::TakePublished(Section section, const StoreSnapshot& published,
                                const std::string& source) {
  for (const auto& weights : published.weights_) {
    TakeWeights(weights, source == kStoreSource);
  }
  if (section == Section::kEndpoints) {
    list_.ApplyRead(published, source == kStoreSource);
  }
}

void DirectEntry::OnPeer(const PeerCallPtr& call) {
  const bool answered =
      keeper_.Answer(call) || relay_.Answer(call) ||
      HandleFactsCall(call, rules_.rules(), endpoints_.Rows(), mesh_);
  if (!answered) {
    call->Respond(kNotFound, "");
  }
}

void DirectEntry::TakeRules(const config::TrafficRules& rules,
                            const std::string& source) {
  if (!rules_.Accept(rules)) {
    return;
  }
  process_.log().Write(core::EventNumber::kRulesInForce,
                       {{"version", std::to_string(rules.version_)},
                        {"routes", std::to_string(rules.routes_.size())},
                        {"source", source}});
  process_.metrics().Set("rules_version", {},
                         static_cast<double>(rules.version_));
}

void DirectEntry::TakeWeights(const TargetVersion& weights, bool from_store) {
  if (!weights_[weights.model_].OnVersionPublished(weights.version_,
                                                   process_.loop().Now())) {
    return;
  }
  process_.log().Write(core::EventNumber::kWeightsNamed,
                       {{"model", weights.model_},
                        {"version", std::to_string(weights.version_)}});
  // The time of a bound runs from the naming, not from its being heard.
  if (from_store || keeper_.is_watcher()) {
    mesh_.AnnounceVersions();
  }
  subscribed_.clear();
  Subscribe();
}

void DirectEntry::Subscribe() {
  const auto now = process_.loop().Now();
  std::map<std::string, core::TimePoint> subscribed;
  for (const auto& row : endpoints_.Subset()) {
    const auto* service = rules_.FindService(row.service_);
    if (service == nullptr || !service->engine_) {
      continue;
    }
    const auto agent = mesh_.MeshAddressOf(row.address_);
    const auto known = subscribed_.find(agent);
    const bool near = row.domain_ == process_.domain();
    const auto interval = near ? kSubscribeInterval : kFarSubscribeInterval;
    const bool due =
        known == subscribed_.end() || now - known->second >= interval;
    if (due) {
      mesh_.Subscribe(agent, row.domain_);
    }
    subscribed[agent] = due ? now : known->second;
  }
  subscribed_ = std::move(subscribed);
}

routing::VersionConstraint DirectEntry::RuleFor(
    const std::string& model) const {
  const auto found = weights_.find(model);
  if (found == weights_.end()) {
    return {};
  }
  return found->second.ConstraintAt(version_bound_, kVersionMargin,
                                    process_.loop().Now());
}

void DirectEntry::OnLoad(const LoadMessage& message) {
  const auto now = process_.loop().Now();
  if (reports_[message.endpoint_].CheckLate(milliseconds(message.sent_ms_))) {
    process_.metrics().Count("reports_late_total", {});
    return;
  }
  const auto outbound =
      paths_[message.endpoint_].OnMessage(milliseconds(message.sent_ms_), now);
  const auto report = ToReport(message, outbound);
  if (!report.incarnation_.empty()) {
    endpoints_.ApplyIncarnation(message.endpoint_,
                                {report.incarnation_, report.started_}, now);
  }
  endpoints_.ApplyReport(message.endpoint_, report, now);
}

void DirectEntry::OnCaller(const HttpExchangePtr& exchange,
                           core::TimePoint received_at) {
  const auto& http = exchange->request();
  auto caller = adapter_.requests_.read_request_(http);
  if (rules_.empty()) {
    Refuse(*exchange, caller, kUnavailable, core::EventNumber::kRequestRefused,
           "no rules were heard yet", retry_spread_.Draw(kRetryAfter));
    return;
  }
  const auto* route = rules_.FindRoute(caller.host_, http.path_);
  if (route == nullptr) {
    Refuse(*exchange, caller, kNotFound, core::EventNumber::kBadRequest,
           "no route for this host and path", std::nullopt);
    return;
  }
  AdmittedDirect request;
  request.priority_ = route->priority_;
  if (rules_.rules().accounts_ && !route->public_) {
    const auto* account = rules_.FindAccount(caller.key_);
    if (account == nullptr) {
      Refuse(*exchange, caller, kUnauthorized,
             core::EventNumber::kAccountRefused, "the key is not known",
             std::nullopt);
      return;
    }
    request.account_ = account->id_;
    request.priority_ = account->priority_.value_or(route->priority_);
  }
  if (caller.id_.empty()) {
    Refuse(*exchange, caller, kBadRequest, core::EventNumber::kBadRequest,
           "the request carries no id", std::nullopt);
    return;
  }
  request.service_ = config::TrafficTable::SelectService(*route, caller.id_);
  if (const auto* service = rules_.FindService(request.service_)) {
    request.engine_ = service->engine_;
  }
  request.received_at_ = received_at;
  request.deadline_ =
      received_at +
      std::min(route->timeout_, caller.time_left_.value_or(route->timeout_));
  if (caller.time_left_) {
    request.age_ = ages_.AddAndEstimate(route->name_, *caller.time_left_);
  }
  request.rules_version_ = rules_.rules().version_;
  request.digest_ = routing::RequestDigest::Of({.account_ = request.account_,
                                                .method_ = http.method_,
                                                .host_ = caller.host_,
                                                .path_ = http.path_,
                                                .body_ = http.body_});
  request.route_ = *route;
  request.caller_ = std::move(caller);
  Admit(exchange, std::move(request));
}

std::optional<core::Duration> DirectEntry::RefusalOf(AdmittedDirect& request,
                                                     core::TimePoint now,
                                                     std::string& reason) {
  if (request.deadline_ - now < kLeastTime) {
    reason = "too little time is left";
    return kRetryAfter;
  }
  routing::ChoiceRequest wanted;
  wanted.service_ = request.service_;
  wanted.prompt_tokens_ = request.caller_.prompt_tokens_;
  wanted.max_in_flight_ = ConnectionShare(request.service_);
  if (request.engine_) {
    wanted.engine_ = &*request.engine_;
    wanted.version_constraint_ = RuleFor(request.engine_->model_);
  }
  if (!request.engine_) {
    if (endpoints_.Choose(wanted, now)) {
      return std::nullopt;
    }
    reason = "no endpoint of service " + request.service_ + " can take work";
    return kRetryAfter;
  }
  const routing::StreamRequest stream{request.route_.target_latency_,
                                      request.age_};
  const auto decision = routing::DecideStream(endpoints_, wanted, stream, now);
  request.on_time_ = decision.on_time_;
  if (!decision.choice_) {
    reason = "no endpoint of service " + request.service_ + " can take work";
  } else if (decision.retry_after_) {
    reason = "its first event is expected after " +
             Millis(decision.choice_->time_to_first_byte_) + " ms, target " +
             Millis(stream.target_) + " ms, age " + Millis(stream.age_) +
             " ms, " + std::to_string(decision.choice_->requests_ahead_) +
             " places occupied";
  }
  return decision.retry_after_;
}

void DirectEntry::Admit(const HttpExchangePtr& exchange,
                        AdmittedDirect request) {
  const auto now = process_.loop().Now();
  if (const auto refusal = quarantine_.RefusalOf(request.digest_)) {
    Refuse(*exchange, request.caller_, kUnavailable,
           core::EventNumber::kRequestQuarantined,
           "content " + request.digest_.ToHex() + " " + refusal->reason_,
           refusal->retry_after_);
    return;
  }
  std::string reason;
  if (const auto wait = RefusalOf(request, now, reason)) {
    Refuse(*exchange, request.caller_, kUnavailable,
           core::EventNumber::kRequestRefused, reason,
           retry_spread_.Draw(*wait));
    return;
  }
  ++in_flight_;
  process_.stop().OnWorkAccepted();
  budget_.SetReserve(ReserveShare());
  std::make_shared<DirectRequest>(context_, exchange, std::move(request),
                                  [this] {
                                    --in_flight_;
                                    process_.stop().OnWorkFinished();
                                  })
      ->Start();
}

double DirectEntry::ReserveShare() {
  return kReserveUsed * retry_reserve_ /
         static_cast<double>(mesh_.EntryCount());
}

std::uint32_t DirectEntry::ConnectionShare(const std::string& service) {
  const auto* found = rules_.FindService(service);
  if (found == nullptr || found->max_connections_ == 0) {
    return 0;
  }
  const auto share = found->max_connections_ / mesh_.EntryCount();
  return std::max(1U, static_cast<std::uint32_t>(share));
}

void DirectEntry::Refuse(HttpExchange& exchange, const CallerRequest& caller,
                         int status, core::EventNumber event,
                         const std::string& reason,
                         std::optional<core::Duration> retry_after) {
  process_.log().Write(
      event, {{"request", caller.id_},
              {"status", std::to_string(status)},
              {"reason", reason},
              {"rules", std::to_string(rules_.rules().version_)},
              {"retry_after_ms", retry_after ? Millis(*retry_after) : "none"}});
  process_.metrics().Count("refused_total",
                           {{"status", std::to_string(status)}});
  exchange.Respond(status,
                   adapter_.requests_.own_headers_(caller.id_, retry_after),
                   reason + "\n");
}

std::string DirectEntry::Status() const {
  const auto now = process_.loop().Now();
  auto rows = nlohmann::json::array();
  for (const auto& row : endpoints_.Rows()) {
    rows.push_back({{"id", row.id_.value()},
                    {"domain", row.domain_.value()},
                    {"role", row.service_},
                    {"connected", true},
                    {"ready", !row.leaving_},
                    {"leaving", row.leaving_},
                    {"version", row.weights_version_.value_or(0)},
                    {"weights", ""},
                    {"load", endpoints_.LoadOf(row.id_, now)}});
  }
  const nlohmann::json status{{"id", process_.id().value()},
                              {"domain", process_.domain().value()},
                              {"ready", NotReady().empty()},
                              {"not_ready_reason", NotReady()},
                              {"watching_platform", reader_.reachable()},
                              {"rules_version", rules_.rules().version_},
                              {"bundle_version", 0},
                              {"model", ""},
                              {"members", mesh_.LiveMembers().size()},
                              {"requests_in_flight", in_flight_},
                              {"requests_waiting", 0},
                              {"quarantine", quarantine_.Status()},
                              {"endpoints", rows}};
  return status.dump();
}

}  // namespace chalkwell::daemon::direct
