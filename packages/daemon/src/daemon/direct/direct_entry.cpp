// Admits requests by the active rules and by the response times that the
// endpoints are expected to reach.
#include "daemon/direct/direct_entry.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <utility>

#include "chalkwell/routing/stop_admission.hpp"
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
/// Retry-After sent to a caller when no better estimate is available.
constexpr auto kRetryAfter = milliseconds(500);
/// Shortest Retry-After: while endpoints are in slow start or rate-limited, and
/// when other entries can serve the caller.
constexpr auto kMinSendWait = milliseconds(100);
/// A request with less time left than this is refused.
constexpr auto kMinTimeLeft = milliseconds(30);
/// Requests stop being sent to older weights this long before the version
/// bound: a request may take long to cross a degraded link, and then wait at
/// its endpoint before it starts, since all entries choose the last engines
/// with older weights at the same time. Engines known to be behind a saturated
/// link are skipped earlier.
constexpr auto kVersionMargin = milliseconds(1400);
/// Interval at which an entry that can't reach the store queries another entry.
constexpr auto kRelayInterval = milliseconds(700);
/// Interval at which a subscription to an agent's load reports is renewed. A
/// subscription lasts for some seconds and is lost when the agent restarts. The
/// message also carries the target versions that the entry knows. Agents in
/// remote failure domains get it less often, since each message crosses a
/// region's link.
constexpr auto kSubscribeInterval = milliseconds(1000);
constexpr auto kRemoteSubscribeInterval = milliseconds(2500);
/// Interval of the check for due subscriptions; bounds the delay until a newly
/// used endpoint's agent is subscribed to.
constexpr auto kSubscribeTick = milliseconds(100);
/// What a connection holds beside the body and the head of a request.
constexpr std::size_t kHeadOverhead = std::size_t{256} << 10;
/// Time from its start in which an entry discovers the others.
constexpr auto kDiscoveryTime = milliseconds(1000);
/// The number of entries that share the endpoints is the largest of this time:
/// entries beyond a network partition may still send to them.
constexpr auto kEntryCountWindow = std::chrono::seconds(60);
/// Source of values that were read from the store itself, as logged.
constexpr std::string_view kStoreSource = "store";
/// Limit of a peer's request body, which holds only a few revisions. Responses
/// are not limited by this.
constexpr std::size_t kMaxPeerBody = std::size_t{1} << 16;
/// Lines of refusals that callers cause, of those that the log takes.
constexpr LogRateLimit kRefusalLines{.lines_per_second_ = 100, .burst_ = 200};
/// Limits of readiness probes, which have no body and come from few callers.
constexpr std::size_t kMaxProbeBody = 1024;
constexpr std::size_t kMaxProbeConnections = 16;
/// The platform stops routing new connections here after two failed readiness
/// probes, which it makes once a second.
constexpr auto kStopListeningDelay = milliseconds(2600);

std::string Millis(core::Duration span) {
  return std::to_string(std::chrono::duration_cast<milliseconds>(span).count());
}

/// @param deferred whether an endpoint is only prevented by its slow start or
/// its rate limit.
std::string NoEndpointReason(const AdmittedDirectRequest& request,
                             bool deferred) {
  const std::string where =
      request.allowed_domains_ ? " in its allowed regions" : "";
  return "no endpoint of service " + request.service_ + where +
         " can take work" +
         (deferred ? ", some are in slow start, at their rate limit or refuse "
                     "requests for a while"
                   : "");
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
      retry_budgets_(RetryBudgetOf(process.settings())),
      retry_reserve_(process.loop().Now(),
                     routing::RetryBudgetSettings{}.window_),
      retry_jitter_(std::random_device{}()),
      context_{
          process.loop(),
          process.http_client(),
          adapter_,
          endpoints_,
          retry_budgets_,
          retry_jitter_,
          quarantine_,
          statements_,
          process.log(),
          process.metrics(),
          process.tracer(),
          [this](const std::string& model) {
            return VersionConstraintFor(model);
          },
          [this](const std::string& service) { return MaxInFlight(service); },
          [this](const config::TrafficRoute& route,
                 const core::ClientAccountId& account) {
            return AllowedDomains(route, account);
          }},
      reader_(process.loop(), adapter_.store_,
              ReaderSettingsOf(process.settings()), process.log(),
              process.metrics(),
              [this](Section section, const StoreSnapshot& snapshot) {
                OnPublished(section, snapshot);
              }),
      mesh_(
          process.loop(), SelfOf(process), MeshSettingsOf(process.settings()),
          process.log(), process.metrics(),
          {.on_load_ = [this](const LoadMessage& load) { OnLoadReport(load); },
           .on_held_chunks_ = nullptr,
           .on_subscribe_ = nullptr,
           .on_agent_query_ =
               [this](const std::string& agent) {
                 // A new incarnation of an agent has no subscribers yet.
                 last_subscribed_.erase(agent);
                 Subscribe();
               },
           .on_weights_ =
               [this](const std::string& model, std::uint64_t version) {
                 ApplyTargetVersion({model, version}, process_.loop().Now(),
                                    false);
               },
           .on_lost_ =
               [this](const membership::Member& member) {
                 rules_manager_.OnMemberLost(member);
               },
           .on_departed_ =
               [this](const membership::Member& sender,
                      const DepartedMessage& departed) {
                 endpoint_list_.OnDeparted(sender, departed);
               },
           .on_list_ =
               [this](const membership::Member& sender,
                      const EndpointListMessage& list,
                      core::TimePoint sent_at) {
                 endpoint_list_.OnListMessage(sender, list, sent_at);
               },
           .on_rules_ =
               [this](const membership::Member& member, std::uint64_t version,
                      bool watches) {
                 rules_manager_.OnVersionAnnounced(member, version, watches);
                 if (version > 0) {
                   endpoint_list_.OnPeerReady(member);
                 }
               },
           .on_crashes_ =
               [this](const membership::Member& sender,
                      const std::vector<CrashRecordMessage>& records,
                      core::TimePoint sent_at) {
                 quarantine_.OnRecords(sender, records, sent_at);
               },
           .crashes_ =
               [this](std::size_t max_records) {
                 return quarantine_.Sample(max_records);
               },
           .on_rate_limits_ =
               [this](const membership::Member& sender,
                      const std::vector<RateLimitMessage>& limits,
                      core::TimePoint sent_at) {
                 rate_limits_.OnLimits(sender, limits, sent_at);
               },
           .rate_limits_ =
               [this](std::size_t max_limits) {
                 return rate_limits_.Sample(max_limits);
               },
           .rules_version_ = [this] { return rules_manager_.version(); },
           .watches_rules_ = [this] { return rules_manager_.is_watcher(); },
           .on_published_versions_ =
               [this](const std::vector<PublishedVersionMessage>& versions,
                      core::TimePoint sent_at) {
                 for (const auto& version : versions) {
                   ApplyTargetVersion({version.model_, version.version_},
                                      sent_at - ToAge(version.age_ms_), false);
                 }
               },
           .published_versions_ = [this] { return LimitingVersions(); },
           .weights_ =
               [this] {
                 std::map<std::string, std::uint64_t> known;
                 for (const auto& [model, bound] : version_bounds_) {
                   known[model] = bound.newest();
                 }
                 return known;
               },
           .on_evacuations_ =
               [this](const std::vector<config::Evacuation>& evacuations) {
                 ApplyAnnouncedEvacuations(evacuations);
               },
           .evacuations_ = [this] { return evacuations_.States(); }}),
      quarantine_(process.loop(), endpoints_, mesh_, process.log(),
                  process.metrics()),
      rate_limits_(process.loop(), endpoints_.rate_limits(), mesh_,
                   process.log(), process.metrics()),
      statements_(process.loop(), endpoints_, rate_limits_, mesh_,
                  process.log(), process.metrics()),
      endpoint_list_(
          process.loop(), endpoints_, mesh_, process.log(), process.metrics(),
          EndpointListSettingsOf(process.settings()),
          {.read_ = [this] { reader_.ReadNow(Section::kEndpoints); },
           .on_era_ = [this](std::uint64_t era) { reader_.OnEra(era); },
           .is_known_service_ =
               [this](const std::string& service) {
                 return rules_.empty() || rules_.HasService(service);
               }}),
      rules_manager_(
          process.loop(), adapter_.store_, reader_, mesh_, process.log(),
          process.metrics(),
          [this](const config::TrafficRules& rules, const std::string& source) {
            ApplyRules(rules, source);
          }),
      relay_(process.loop(), adapter_.store_, mesh_, process.log(),
             [this](Section section, const StoreSnapshot& snapshot) {
               ApplyPublished(section, snapshot, "peer");
             }),
      entry_count_(kEntryCountWindow),
      started_at_(process.loop().Now()),
      caller_memory_(std::make_shared<CallerMemory>(
          process.loop(), RequestMemoryOf(process.settings()))),
      refusal_lines_(kRefusalLines),
      stop_timer_(process.loop()),
      relay_timer_(process.loop()),
      subscribe_timer_(process.loop()) {}

void DirectEntry::ApplySettings() {
  const auto& settings = process_.settings();
  older_version_use_limit_ = OlderVersionUseLimitOf(settings);
  retry_reserve_.SetTotal(settings.Real("requests", "retry_reserve"));
  regions_ = DomainRegionsOf(settings);
  const auto seeds = MeshSettingsOf(settings).seeds_;
  const auto own = ParseAddress(settings.Text("listen", "peer"));
  has_other_seeds_ = std::ranges::any_of(
      seeds, [&](const Address& seed) { return seed.ip_ != own.ip_; });
  mesh_.SetSeeds(seeds);
}

void DirectEntry::Run() {
  ApplySettings();
  auto& loop = process_.loop();
  const auto& settings = process_.settings();
  admin_server_ = MakeAdminServer(
      loop, ParseAddress(settings.Text("listen", "admin")), process_.metrics(),
      {.not_ready_reason_ = [this] { return NotReadyReason(); },
       .status_json_ = [this] { return Status(); },
       .update_gauges_ =
           [this] {
             quarantine_.RefreshMetrics();
             rate_limits_.RefreshMetrics();
             rules_manager_.RefreshMetrics();
             statements_.RefreshMetrics();
             RefreshCallerMetrics();
           },
       .lift_quarantine_ =
           [this](const std::string& content) {
             const auto request = routing::RequestDigest::FromHex(content);
             return request && quarantine_.Lift(*request);
           }});
  readiness_server_ = std::make_unique<Http1Server>(
      loop, ParseAddress(settings.Text("listen", "ready")),
      Http1ServerHooks{.limits_ =
                           [] {
                             HttpLimits limits;
                             limits.body_bytes_ = kMaxProbeBody;
                             return limits;
                           },
                       .on_refused_ =
                           [this](const HttpRefusal& refusal) {
                             return OnServerRefusal(refusal);
                           }},
      [this](const HttpExchangePtr& exchange) { OnReadinessCheck(exchange); },
      caller_memory_, kMaxProbeConnections);
  for (const auto cause :
       {UnansweredCause::kDropped, UnansweredCause::kServerStopped}) {
    process_.metrics().Count("requests_unanswered_total",
                             {{"cause", std::string(ToString(cause))}}, 0);
  }
  caller_server_ = std::make_unique<Http1Server>(
      loop, ParseAddress(settings.Text("listen", "caller")),
      Http1ServerHooks{
          .limits_ = [this] { return Limits(); },
          .on_refused_ =
              [this](const HttpRefusal& refusal) {
                return OnServerRefusal(refusal);
              },
          .on_unanswered_ =
              [this](UnansweredCause cause, const HttpRequest& request) {
                OnUnanswered(cause, request);
              }},
      [this](const HttpExchangePtr& exchange) {
        const auto now = process_.loop().Now();
        process_.shutdown().OnWorkAccepted();
        endpoint_list_.WhenFresh([this, exchange, now] {
          process_.shutdown().OnWorkFinished();
          if (exchange->open()) {
            OnCallerRequest(exchange, now);
          }
        });
      },
      caller_memory_, CallerConnectionsOf(settings));
  process_.log().Write(core::EventNumber::kListening,
                       {{"caller", settings.Text("listen", "caller")}});
  peer_server_ = std::make_unique<PeerServer>(
      loop, ParseAddress(settings.Text("listen", "peer")), kMaxPeerBody,
      [this](const PeerCallPtr& call) { OnPeerCall(call); });
  relay_timer_.Every(kRelayInterval, [this] {
    ReadFromPeersIfStoreUnreachable();
    WithdrawDueEvacuations();
  });
  process_.OnReload([this] { ApplySettings(); });
  process_.OnResume([this] { mesh_.QuerySeed(); });
  mesh_.Start();
  endpoint_list_.WaitForPeers(FirstReadWait());
  rules_manager_.Start(FirstReadWait());
  subscribe_timer_.Every(kSubscribeTick, [this] {
    UpdateEntries();
    Subscribe();
  });
  reader_.Poll(
      Section::kEndpoints, [this] { return endpoint_list_.Interval(); },
      [this] {
        list_read_failed_ = true;
        endpoint_list_.OnReadFailed();
      },
      FirstReadWait());
  process_.Run([this] { BeginStop(); }, [this] { EndRequests(); });
}

core::Duration DirectEntry::FirstReadWait() const {
  const auto& settings = process_.settings();
  const auto own = ParseAddress(settings.Text("listen", "peer"));
  const auto seeds = MeshSettingsOf(settings).seeds_;
  const bool is_seed =
      std::ranges::find(seeds, own.ip_, &Address::ip_) != seeds.end();
  return is_seed || seeds.empty()
             ? core::Duration{}
             : settings.Milliseconds("platform", "first_read_wait_ms");
}

void DirectEntry::BeginStop() {
  mesh_.AnnounceLeaving();
  caller_server_->CloseAfterResponses();
  process_.shutdown().OnWorkAccepted();
  stop_timer_.Once(kStopListeningDelay, [this] {
    caller_server_->StopAccepting();
    caller_server_->CloseIdle();
    process_.shutdown().OnWorkFinished();
  });
}

void DirectEntry::OnUnanswered(UnansweredCause cause,
                               const HttpRequest& request) {
  process_.log().Write(
      core::EventNumber::kRequestUnanswered,
      {{"request", adapter_.requests_.read_request_(request).id_},
       {"cause", std::string(ToString(cause))}});
  process_.metrics().Count("requests_unanswered_total",
                           {{"cause", std::string(ToString(cause))}});
}

void DirectEntry::EndRequests() {
  exiting_ = true;
  for (const auto& [number, request] : std::map(in_flight_)) {
    if (const auto unfinished = request.lock()) {
      unfinished->Stop();
    }
  }
}

void DirectEntry::OnReadinessCheck(const HttpExchangePtr& exchange) {
  const auto reason = NotReadyReason();
  exchange->Respond(reason.empty() ? 200 : kUnavailable, {}, reason);
}

std::string DirectEntry::NotReadyReason() const {
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
  const auto& active = rules_.rules().limits_;
  limits.header_bytes_ = active.header_bytes_;
  limits.body_bytes_ = active.body_bytes_;
  limits.request_timeout_ = active.request_read_timeout_;
  limits.idle_timeout_ = active.idle_timeout_;
  return limits;
}

void DirectEntry::OnPublished(Section section, const StoreSnapshot& snapshot) {
  relay_.Store(section, snapshot);
  ApplyPublished(section, snapshot, std::string(kStoreSource));
  // Last, because rules are announced together with the versions and
  // evacuations that were published before them.
  rules_manager_.OnPublished(section, snapshot);
  if (section == Section::kEndpoints &&
      snapshot.outcome_ == ReadOutcome::kRead &&
      std::exchange(list_read_failed_, false)) {
    reader_.Confirm(Section::kOperations);
  }
}

void DirectEntry::ReadFromPeersIfStoreUnreachable() {
  const auto unreachable_for =
      process_.loop().Now() - reader_.reachable_since();
  if (!reader_.reachable() && unreachable_for >= kRelayInterval) {
    relay_.Fetch();
  }
}

void DirectEntry::ApplyPublished(Section section, const StoreSnapshot& snapshot,
                                 const std::string& source) {
  for (const auto& weights : snapshot.weights_) {
    ApplyTargetVersion(weights, process_.loop().Now(), source == kStoreSource);
  }
  if (section == Section::kOperations) {
    ApplyEvacuations(snapshot);
  }
  if (section == Section::kEndpoints) {
    endpoint_list_.ApplyRead(snapshot, source == kStoreSource);
  }
}

void DirectEntry::ApplyEvacuations(const StoreSnapshot& snapshot) {
  const bool changed =
      snapshot.whole_
          ? evacuations_.ApplyAll(snapshot.evacuations_, snapshot.revision_,
                                  process_.loop().Now())
          : evacuations_.Apply(snapshot.evacuations_);
  if (changed) {
    OnEvacuationsChanged(std::string(kStoreSource));
    mesh_.AnnounceVersions();
  }
}

void DirectEntry::WithdrawDueEvacuations() {
  if (evacuations_.ApplyDue(process_.loop().Now())) {
    OnEvacuationsChanged(std::string(kStoreSource));
    mesh_.AnnounceVersions();
  }
}

void DirectEntry::ApplyAnnouncedEvacuations(
    const std::vector<config::Evacuation>& evacuations) {
  if (!evacuations_.Apply(evacuations)) {
    return;
  }
  OnEvacuationsChanged("peer");
  if (rules_manager_.is_watcher()) {
    mesh_.AnnounceVersions();
  }
}

void DirectEntry::OnEvacuationsChanged(const std::string& source) {
  const auto active = evacuations_.Active();
  if (active == evacuated_) {
    return;
  }
  std::string domains;
  for (const auto& domain : active) {
    domains += (domains.empty() ? "" : ",") + domain.value();
  }
  process_.log().Write(core::EventNumber::kEvacuationChanged,
                       {{"domains", domains}, {"source", source}});
  process_.metrics().Set("evacuated_domains", {},
                         static_cast<double>(active.size()));
  evacuated_ = active;
  endpoints_.SetEvacuated(active, process_.loop().Now());
}

void DirectEntry::OnPeerCall(const PeerCallPtr& call) {
  const bool handled =
      rules_manager_.HandleCall(call) || relay_.HandleCall(call) ||
      endpoint_list_.HandleCall(call) ||
      HandleFactsCall(call, rules_.rules(), endpoints_.Rows(), mesh_);
  if (!handled) {
    call->Respond(kNotFound, "");
  }
}

void DirectEntry::ApplyRules(const config::TrafficRules& rules,
                             const std::string& source) {
  if (!rules_.Accept(rules)) {
    return;
  }
  process_.log().Write(
      core::EventNumber::kRulesActivated,
      {{"version", std::to_string(rules.version_)},
       {"lag_ms",
        Millis(rules_manager_.announced().LagAt(process_.loop().Now()))},
       {"routes", std::to_string(rules.routes_.size())},
       {"source", source}});
  process_.metrics().Set("rules_version", {},
                         static_cast<double>(rules.version_));
  std::map<std::string, config::SlowStart> slow_starts;
  for (const auto& service : rules.services_) {
    slow_starts[service.name_] = service.slow_start_;
  }
  endpoints_.SetSlowStarts(std::move(slow_starts));
  caller_memory_->SetLargestRequest(
      rules.limits_.body_bytes_ + rules.limits_.header_bytes_ + kHeadOverhead);
}

std::vector<PublishedVersionMessage> DirectEntry::LimitingVersions() const {
  const auto now = process_.loop().Now();
  std::vector<PublishedVersionMessage> messages;
  for (const auto& [model, bound] : version_bounds_) {
    for (const auto& known : bound.Limiting(older_version_use_limit_, now)) {
      messages.push_back(
          {model, known.version_, ToAgeMs(now - known.published_at_)});
    }
  }
  return messages;
}

void DirectEntry::ApplyTargetVersion(const TargetVersion& weights,
                                     core::TimePoint published_at,
                                     bool from_store) {
  const auto change = version_bounds_[weights.model_].OnVersionPublished(
      weights.version_, published_at);
  if (change == rollout::VersionChange::kNone) {
    return;
  }
  const auto age = process_.loop().Now() - published_at;
  process_.log().Write(core::EventNumber::kVersionPublished,
                       {{"model", weights.model_},
                        {"version", std::to_string(weights.version_)},
                        {"age_ms", std::to_string(ToAgeMs(age))}});
  if (change != rollout::VersionChange::kNewer) {
    return;
  }
  // The version bound runs from the publication of the version, not from its
  // arrival here, so the version is propagated without waiting for gossip.
  if (from_store || rules_manager_.is_watcher()) {
    mesh_.AnnounceVersions();
  }
  last_subscribed_.clear();
  Subscribe();
}

void DirectEntry::UpdateEntries() {
  const auto now = process_.loop().Now();
  const bool known = now - started_at_ >= kDiscoveryTime;
  entry_count_.Add(mesh_.EntryCount(), now);
  endpoints_.SetEntryCount(entry_count_.Get(now), known);
  std::vector<routing::EntryLocation> others;
  for (const auto& member : mesh_.LiveMembers()) {
    others.push_back({member.id_, member.domain_});
  }
  endpoints_.rate_limit_senders().SetEntries(others, known, now);
  UpdateParts(others, now);
}

void DirectEntry::UpdateParts(const std::vector<routing::EntryLocation>& others,
                              core::TimePoint now) {
  std::set<core::FailureDomainId> domains{process_.domain()};
  for (const auto& other : others) {
    domains.insert(other.domain_);
  }
  for (const auto& [domain, region] : regions_) {
    domains.insert(domain);
  }
  parts_.SetDomains(domains.size(), now);
  if (!others.empty() || !has_other_seeds_) {
    parts_.SetLocalEntries(mesh_.LocalEntries().size() + 1, now);
  }
  retry_budgets_.SetAllowance(retry_reserve_.PartOf(parts_, now));
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
    const auto known = last_subscribed_.find(agent);
    const bool local = row.domain_ == process_.domain();
    const auto interval = local ? kSubscribeInterval : kRemoteSubscribeInterval;
    const bool due =
        known == last_subscribed_.end() || now - known->second >= interval;
    if (due) {
      mesh_.Subscribe(agent, row.domain_);
    }
    subscribed[agent] = due ? now : known->second;
  }
  last_subscribed_ = std::move(subscribed);
}

routing::VersionConstraint DirectEntry::VersionConstraintFor(
    const std::string& model) const {
  const auto found = version_bounds_.find(model);
  if (found == version_bounds_.end()) {
    return {};
  }
  return found->second.ConstraintAt(older_version_use_limit_, kVersionMargin,
                                    process_.loop().Now());
}

void DirectEntry::OnLoadReport(const LoadMessage& message) {
  const auto now = process_.loop().Now();
  if (report_orders_[message.endpoint_].RecordAndCheckReordered(
          milliseconds(message.sent_ms_))) {
    process_.metrics().Count("reports_late_total", {});
    return;
  }
  const auto outbound = path_delays_[message.endpoint_].OnMessage(
      milliseconds(message.sent_ms_), now);
  const auto report = ToReport(message, outbound);
  if (!report.incarnation_.empty()) {
    endpoints_.ApplyAnnouncementAt(message.endpoint_,
                                   {report.incarnation_, report.started_}, now);
  }
  if (endpoints_.ApplyReport(message.endpoint_, report, now)) {
    process_.log().Write(core::EventNumber::kEndpointLeaving,
                         {{"address", message.endpoint_},
                          {"change", "reported"},
                          {"source", "report"}});
  }
}

void DirectEntry::OnCallerRequest(const HttpExchangePtr& exchange,
                                  core::TimePoint received_at) {
  const auto& http = exchange->request();
  auto caller = adapter_.requests_.read_request_(http);
  if (exiting_) {
    // Accepted work is finished; the loop stops soon.
    Refuse(*exchange, caller, kUnavailable, core::EventNumber::kRequestRefused,
           "the process ends", retry_jitter_.Draw(kRetryAfter));
    return;
  }
  if (rules_.empty()) {
    Refuse(*exchange, caller, kUnavailable, core::EventNumber::kRequestRefused,
           "no rules were heard yet", retry_jitter_.Draw(kRetryAfter));
    return;
  }
  const auto* route = rules_.FindRoute(caller.host_, http.path_);
  if (route == nullptr) {
    Refuse(*exchange, caller, kNotFound, core::EventNumber::kBadRequest,
           "no route for this host and path", std::nullopt);
    return;
  }
  AdmittedDirectRequest request;
  request.priority_ = route->priority_;
  if (rules_.rules().accounts_ && !route->public_) {
    const auto* account = rules_.FindAccount(caller.key_);
    if (account == nullptr) {
      Refuse(*exchange, caller, kUnauthorized,
             core::EventNumber::kAccountRefused, "unknown API key",
             std::nullopt);
      return;
    }
    request.account_ = account->id_;
    request.priority_ = account->priority_.value_or(route->priority_);
  }
  request.allowed_domains_ = AllowedDomains(*route, request.account_);
  if (caller.id_.empty()) {
    Refuse(*exchange, caller, kBadRequest, core::EventNumber::kBadRequest,
           "the request id is missing", std::nullopt);
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
    request.age_ =
        request_ages_.AddAndEstimate(route->name_, *caller.time_left_);
  }
  request.rules_version_ = rules_.rules().version_;
  request.identity_ =
      routing::RequestIdentity::Of({.account_ = request.account_,
                                    .method_ = http.method_,
                                    .host_ = caller.host_,
                                    .path_ = http.path_,
                                    .body_ = http.body_},
                                   caller.shared_prompt_parts_);
  request.route_ = *route;
  request.caller_ = std::move(caller);
  Admit(exchange, std::move(request));
}

std::optional<core::Duration> DirectEntry::CheckAdmission(
    AdmittedDirectRequest& request, core::TimePoint now, std::string& reason) {
  if (request.deadline_ - now < kMinTimeLeft) {
    reason = "too little time is left";
    return kRetryAfter;
  }
  routing::ChoiceRequest choice_request;
  choice_request.allowed_domains_ = request.allowed_domains_;
  choice_request.service_ = request.service_;
  choice_request.prompt_tokens_ = request.caller_.prompt_tokens_;
  choice_request.max_in_flight_ = MaxInFlight(request.service_);
  if (request.engine_) {
    choice_request.engine_ = &*request.engine_;
    choice_request.version_constraint_ =
        VersionConstraintFor(request.engine_->model_);
  }
  if (!request.engine_) {
    if (endpoints_.Choose(choice_request, now)) {
      return std::nullopt;
    }
    const auto wait = endpoints_.SendWait(choice_request, now);
    reason = NoEndpointReason(request, wait.has_value());
    return wait ? std::max<core::Duration>(*wait, kMinSendWait) : kRetryAfter;
  }
  const routing::StreamRequest stream{request.route_.target_latency_,
                                      request.age_};
  const auto decision =
      routing::DecideStream(endpoints_, choice_request, stream, now);
  request.on_time_ = decision.on_time_;
  if (!decision.choice_) {
    reason = NoEndpointReason(
        request, endpoints_.SendWait(choice_request, now).has_value());
  } else if (decision.retry_after_) {
    reason = "its first event is expected after " +
             Millis(decision.choice_->time_to_first_byte_) + " ms, target " +
             Millis(stream.target_) + " ms, age " + Millis(stream.age_) +
             " ms, " + std::to_string(decision.choice_->requests_ahead_) +
             " requests ahead";
  }
  return decision.retry_after_;
}

void DirectEntry::Admit(const HttpExchangePtr& exchange,
                        AdmittedDirectRequest request) {
  const auto now = process_.loop().Now();
  if (const auto refusal = quarantine_.RefusalOf(request.identity_)) {
    Refuse(*exchange, request.caller_, kUnavailable,
           core::EventNumber::kRequestQuarantined,
           refusal->subject_ + " " + refusal->reason_, refusal->retry_after_);
    return;
  }
  if (request.allowed_domains_ && request.allowed_domains_->empty()) {
    // It can be served only after the rules have changed.
    Refuse(*exchange, request.caller_, kUnavailable,
           core::EventNumber::kRequestRefused,
           "no region may process the request: its route and its account "
           "allow different regions",
           std::nullopt);
    return;
  }
  const auto end = process_.shutdown().drain_end();
  const routing::LateRequest late{
      .repeatable_ = request.route_.may_retry(),
      .deadline_ = request.deadline_,
      .target_latency_ = request.route_.target_latency_};
  if (end && !routing::CanFinishBefore(*end, late, now)) {
    Refuse(*exchange, request.caller_, kUnavailable,
           core::EventNumber::kRequestRefused,
           "the process ends in " + Millis(*end - now) + " ms",
           retry_jitter_.Draw(kMinSendWait));
    return;
  }
  std::string reason;
  if (const auto wait = CheckAdmission(request, now, reason)) {
    Refuse(*exchange, request.caller_, kUnavailable,
           core::EventNumber::kRequestRefused, reason,
           retry_jitter_.Draw(*wait));
    return;
  }
  process_.shutdown().OnWorkAccepted();
  const auto number = ++last_request_;
  const auto admitted = std::make_shared<DirectRequest>(
      context_, exchange, std::move(request), [this, number] {
        in_flight_.erase(number);
        process_.shutdown().OnWorkFinished();
      });
  in_flight_[number] = admitted;
  admitted->Start();
}

routing::AllowedDomains DirectEntry::AllowedDomains(
    const config::TrafficRoute& route,
    const core::ClientAccountId& account) const {
  const auto* active_route = rules_.FindRoute(route.host_, route.path_prefix_);
  const auto* active_account = rules_.FindAccount(account);
  return routing::AllowedDomainsOf(
      active_route == nullptr ? route.allowed_regions_
                              : active_route->allowed_regions_,
      active_account == nullptr ? std::vector<core::RegionId>{}
                                : active_account->allowed_regions_,
      regions_);
}

std::uint32_t DirectEntry::MaxInFlight(const std::string& service) {
  const auto* found = rules_.FindService(service);
  if (found == nullptr || found->max_connections_ == 0) {
    return 0;
  }
  const auto share =
      found->max_connections_ / parts_.Count(process_.loop().Now());
  return std::max(1U, static_cast<std::uint32_t>(share));
}

bool DirectEntry::MayLogRefusal() {
  const bool allowed = refusal_lines_.TryAcquire(process_.loop().Now());
  refusals_not_logged_ += allowed ? 0 : 1;
  return allowed;
}

HttpHeaders DirectEntry::OnServerRefusal(const HttpRefusal& refusal) {
  const std::string cause(ToString(refusal.cause_));
  const auto id =
      adapter_.requests_.read_request_({.headers_ = refusal.headers_}).id_;
  const auto wait =
      refusal.retry_after_
          ? std::optional(retry_jitter_.Draw(*refusal.retry_after_))
          : std::nullopt;
  process_.log().Write(core::EventNumber::kRequestLimitViolated,
                       {{"request", id},
                        {"status", std::to_string(refusal.status_)},
                        {"cause", cause},
                        {"peer", refusal.peer_ip_},
                        {"body_bytes", std::to_string(refusal.body_bytes_)},
                        {"held_bytes", std::to_string(caller_memory_->held())},
                        {"retry_after_ms", wait ? Millis(*wait) : "none"}});
  process_.metrics().Count("caller_refusals_total", {{"cause", cause}});
  return adapter_.requests_.own_headers_(id, wait);
}

void DirectEntry::RefreshCallerMetrics() {
  process_.metrics().Set("caller_memory_bytes", {{"kind", "held"}},
                         static_cast<double>(caller_memory_->held()));
  process_.metrics().Set("caller_memory_bytes", {{"kind", "limit"}},
                         static_cast<double>(caller_memory_->limit()));
  process_.metrics().Set("caller_connections", {},
                         static_cast<double>(caller_server_->descriptors()));
}

void DirectEntry::LogRefusal(const CallerRequest& caller, int status,
                             core::EventNumber event, const std::string& reason,
                             std::optional<core::Duration> retry_after) {
  const auto& announced = rules_manager_.announced();
  const auto newest = announced.Newest();
  process_.log().Write(
      event,
      {{"request", caller.id_},
       {"status", std::to_string(status)},
       {"reason", reason},
       {"rules", std::to_string(rules_.rules().version_)},
       {"rules_announced", newest ? std::to_string(newest->version_) : "none"},
       {"rules_announced_by", newest ? newest->source_.value() : "none"},
       {"rules_lag_ms", Millis(announced.LagAt(process_.loop().Now()))},
       {"retry_after_ms", retry_after ? Millis(*retry_after) : "none"},
       {"not_logged", std::to_string(std::exchange(refusals_not_logged_, 0))}});
}

void DirectEntry::Refuse(HttpExchange& exchange, const CallerRequest& caller,
                         int status, core::EventNumber event,
                         const std::string& reason,
                         std::optional<core::Duration> retry_after) {
  // Callers can cause any number of refusals that promise nothing.
  const bool limited = status != kUnavailable;
  if (!limited || MayLogRefusal()) {
    LogRefusal(caller, status, event, reason, retry_after);
  }
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
                    {"rate_limit", RateText(endpoints_.rate_limits().RateOf(
                                       row.incarnation(), now))},
                    {"load", endpoints_.LoadOf(row.id_, now)}});
  }
  const nlohmann::json status{{"id", process_.id().value()},
                              {"domain", process_.domain().value()},
                              {"ready", NotReadyReason().empty()},
                              {"not_ready_reason", NotReadyReason()},
                              {"watching_platform", reader_.reachable()},
                              {"rules_version", rules_.rules().version_},
                              {"bundle_version", 0},
                              {"model", ""},
                              {"members", mesh_.LiveMembers().size()},
                              {"requests_in_flight", in_flight_.size()},
                              {"requests_waiting", 0},
                              {"quarantine", quarantine_.Status()},
                              {"endpoints", rows}};
  return status.dump();
}

}  // namespace chalkwell::daemon::direct
