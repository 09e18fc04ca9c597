// Admission of callers' requests and the composition of an entry.
#include "daemon/entry.hpp"

#include <algorithm>
#include <nlohmann/json.hpp>
#include <random>
#include <utility>

#include "daemon/admin.hpp"

namespace chalkwell::daemon {
namespace {

constexpr std::size_t kMaxPeerBodyBytes = std::size_t{32} << 20;
constexpr int kBadRequestStatus = 400;
constexpr int kServiceUnavailableStatus = 503;
constexpr auto kExpiryPeriod = std::chrono::milliseconds(20);

AgentLinkSettings MakeLinkSettings(const Process& process) {
  const auto& settings = process.settings();
  return {
      .domain_ = process.domain(),
      .local_links_per_role_ = settings.Number("routing", "attach"),
      .remote_links_per_role_ = settings.Number("routing", "attach_foreign"),
      .connection_ = process.connection_settings()};
}

DisseminationSettings MakeDisseminationSettings(const Process& process) {
  const auto& settings = process.settings();
  return {.domain_ = process.domain(),
          .watchers_ = settings.Number("platform", "watchers"),
          .peer_timeout_ = settings.Milliseconds("platform", "silence_ms"),
          .connection_ = process.connection_settings()};
}

}  // namespace

Entry::Entry(Process& process)
    : process_(process),
      links_(process.loop(), MakeLinkSettings(process), process.config(),
             process.log()),
      chooser_(
          process.domain(),
          {.affinity_bound_ = static_cast<double>(process.settings().Number(
                                  "routing", "affinity_bound")) /
                              100.0},
          std::random_device{}()),
      retry_budget_(
          {.share_ = process.settings().Real("requests", "retry_share"),
           .allowance_ = routing::AllowanceOf(
               process.settings().Real("requests", "retry_reserve"))}),
      queue_limits_({.max_in_flight_ =
                         process.settings().Number("requests", "max_in_flight"),
                     .max_waiting_ =
                         process.settings().Number("requests", "max_waiting")}),
      id_prefix_((static_cast<std::uint64_t>(std::random_device{}()) << 32U) |
                 std::random_device{}()),
      disseminator_(process.loop(), MakeDisseminationSettings(process),
                    process.config(), process.store_reader()),
      expiry_timer_(process.loop()),
      request_reader_(process.config(), process.settings()),
      retry_after_(
          process.settings().Milliseconds("requests", "retry_after_ms")) {
  auto& loop = process.loop();
  const auto& settings = process.settings();
  peer_server_ = std::make_unique<PeerServer>(
      loop, ParseAddress(settings.Text("listen", "peer")), kMaxPeerBodyBytes,
      [this](const PeerCallPtr& call) { OnPeerCall(call); });
  caller_server_ = std::make_unique<HttpServer>(
      loop,
      HttpServerSettings{
          .address_ = ParseAddress(settings.Text("listen", "caller")),
          .max_body_bytes_ = settings.Number("requests", "max_body_bytes"),
          .max_connections_ = CallerConnectionsOf(settings)},
      [this](const HttpExchangePtr& exchange) { OnRequest(exchange); });
  admin_server_ = MakeAdminServer(
      loop, ParseAddress(settings.Text("listen", "admin")), process.metrics(),
      {.not_ready_reason_ = [this] { return NotReadyReason(); },
       .status_json_ = [this] { return StatusJson(); },
       .update_gauges_ =
           [this] {
             process_.metrics().Set("requests_in_flight", {},
                                    static_cast<double>(InFlight()));
           }});
  process.log().Write(core::EventNumber::kListening,
                      {{"caller", settings.Text("listen", "caller")}});
  links_.OnChange([this] { StartWaiting(); });
  expiry_timer_.Every(kExpiryPeriod, [this] { RefuseExpired(); });
}

void Entry::Run() {
  process_.Run([] {}, [this] { caller_server_->StopAccepting(); });
}

void Entry::OnPeerCall(const PeerCallPtr& call) {
  try {
    if (call->path() == kSyncPath) {
      const auto message = process_.HandleSync(call);
      disseminator_.OnPeerMessage(core::InstanceId(message.sender_),
                                  message.reaches_service_,
                                  process_.loop().Now());
    } else {
      call->Respond(404, "an entry serves only " + std::string(kSyncPath));
    }
  } catch (const std::exception& error) {
    process_.RespondError(call, error);
  }
}

void Entry::OnRequest(const HttpExchangePtr& exchange) {
  try {
    Admit(exchange);
  } catch (const std::exception& error) {
    Refuse(*exchange, kBadRequestStatus, core::EventNumber::kBadRequest,
           error.what(), "", std::nullopt);
  }
}

void Entry::Refuse(HttpExchange& exchange, int status, core::EventNumber event,
                   const std::string& detail, const std::string& request,
                   std::optional<core::Duration> retry_after) {
  process_.log().Write(event, {{"request", request}, {"reason", detail}});
  process_.metrics().Count(
      "requests_total",
      {{"outcome",
        std::string(routing::ToString(routing::Outcome::kRefusedNotRun))}});
  SendProblem(exchange, {.status_ = status,
                         .title_ = std::string(core::Describe(event).name_),
                         .detail_ = detail,
                         .event_ = event,
                         .outcome_ = routing::Outcome::kRefusedNotRun,
                         .retry_after_ = retry_after,
                         .request_ = request,
                         .ticket_ = ""});
}

void Entry::Admit(const HttpExchangePtr& exchange) {
  const auto& http = exchange->request();
  const auto id = RequestReader::ParseRequestId(http).value_or(
      std::to_string(id_prefix_) + "-" + std::to_string(++last_number_));
  if (const auto reason = NotReadyReason(); !reason.empty()) {
    Refuse(*exchange, kServiceUnavailableStatus,
           core::EventNumber::kRequestRefused, reason, id, retry_after_);
    return;
  }
  auto parsed = request_reader_.Read(http, id, process_.loop().Now());
  if (const auto* rejection = std::get_if<Rejection>(&parsed)) {
    Refuse(*exchange, rejection->status_, rejection->event_, rejection->detail_,
           id, std::nullopt);
  } else if (const auto* ticket = std::get_if<TicketRequest>(&parsed)) {
    RespondWithTicket(exchange, ticket->role_);
  } else {
    Enqueue(exchange, std::move(std::get<AdmittedRequest>(parsed)));
  }
}

void Entry::RespondWithTicket(const HttpExchangePtr& exchange,
                              const core::Role& role) {
  const auto now = process_.loop().Now();
  const auto candidates = AvailableCandidates(links_.roster(), role, now, {});
  const auto endpoint = chooser_.Choose(candidates, "");
  const auto ticket = endpoint ? links_.IssueTicket(*endpoint) : std::nullopt;
  if (!ticket) {
    Refuse(*exchange, kServiceUnavailableStatus,
           core::EventNumber::kRequestRefused,
           "no endpoint of role " + role.value() + " accepts work", "",
           retry_after_);
    return;
  }
  const nlohmann::json body{{"idempotency_key", routing::ToString(*ticket)}};
  exchange->Respond(201, {{"content-type", "application/json"}}, body.dump());
}

void Entry::Enqueue(const HttpExchangePtr& exchange, AdmittedRequest request) {
  const auto now = process_.loop().Now();
  const auto number = ++last_number_;
  auto& queue = QueueOf(request.role_);
  const bool accepted = queue.Offer({.request_ = number,
                                     .account_ = request.account_,
                                     .weight_ = request.weight_,
                                     .deadline_ = request.deadline_},
                                    now);
  if (!accepted) {
    const auto wait =
        std::max(queue.EstimatedWait(request.account_), retry_after_);
    Refuse(*exchange, kServiceUnavailableStatus,
           core::EventNumber::kRequestRefused,
           "the account's queue is full or the deadline cannot be met",
           request.id_, wait);
    return;
  }
  exchange->OnAbort([this, number, &queue] {
    queue.Remove(number);
    if (waiting_.erase(number) != 0) {
      process_.shutdown().OnWorkFinished();
    }
  });
  waiting_.emplace(number, WaitingRequest{exchange, std::move(request)});
  process_.shutdown().OnWorkAccepted();
  StartWaiting();
}

routing::FairQueue& Entry::QueueOf(const core::Role& role) {
  return queues_.try_emplace(role, queue_limits_).first->second;
}

std::size_t Entry::InFlight() const {
  std::size_t total = 0;
  for (const auto& [role, queue] : queues_) {
    total += queue.in_flight();
  }
  return total;
}

void Entry::StartWaiting() {
  for (auto& [role, queue] : queues_) {
    StartWaiting(role, queue);
  }
}

void Entry::StartWaiting(const core::Role& role, routing::FairQueue& queue) {
  while (queue.waiting() > 0) {
    const auto now = process_.loop().Now();
    // Without an endpoint of the role there is no limit here: the runner
    // refuses the request at once instead of letting it wait.
    const auto room = links_.roster().RemainingRequests(role, now);
    const auto limit = queue_limits_.max_in_flight_;
    queue.SetMaxInFlight(room ? std::min(limit, queue.in_flight() + *room)
                              : limit);
    const auto next = queue.Next();
    if (!next) {
      return;
    }
    auto waiting = waiting_.extract(next->request_);
    auto runner = std::make_shared<RequestRunner>(
        RequestDependencies{process_.loop(), process_.id(), links_, chooser_,
                            retry_budget_, process_.log(), process_.metrics(),
                            process_.tracer()},
        waiting.mapped().exchange_, std::move(waiting.mapped().request_),
        [this, &queue, now](routing::Outcome outcome) {
          const auto end = process_.loop().Now();
          queue.Release(end);
          if (outcome == routing::Outcome::kAnswered) {
            queue.OnServiceTime(end - now);
          }
          process_.shutdown().OnWorkFinished();
          process_.loop().Post([this] { StartWaiting(); });
        });
    runner->Start();
  }
}

void Entry::RefuseExpired() {
  const auto now = process_.loop().Now();
  for (auto& [role, queue] : queues_) {
    for (const auto& expired : queue.TakeExpired(now)) {
      auto waiting = waiting_.extract(expired.request_);
      process_.shutdown().OnWorkFinished();
      Refuse(*waiting.mapped().exchange_, kServiceUnavailableStatus,
             core::EventNumber::kRequestRefused,
             "the request can no longer meet its deadline",
             waiting.mapped().request_.id_,
             waiting.mapped().request_.retry_after_);
    }
  }
}

std::string Entry::NotReadyReason() const {
  if (process_.stopping()) {
    return "stopping";
  }
  const auto& config = process_.config();
  if (config.instances().empty() || config.accounts().empty() ||
      config.routes().empty()) {
    return "no configuration has been received yet";
  }
  return "";
}

std::string Entry::StatusJson() {
  auto endpoints = nlohmann::json::array();
  for (const auto& [id, endpoint] : links_.roster().endpoints()) {
    const auto report = endpoint.report_.value_or(membership::EndpointReport{});
    endpoints.push_back(
        {{"id", id.value()},
         {"domain", endpoint.instance_.domain_.value()},
         {"role", endpoint.instance_.role_.value()},
         {"connected", endpoint.connected_},
         {"ready", endpoint.connected_ && report.ready_},
         {"leaving", report.leaving_ || endpoint.instance_.leaving_},
         {"version", report.bundle_version_},
         {"weights", report.manifest_.empty() ? "" : report.manifest_.ToHex()},
         {"load", report.load_},
         {"in_flight", endpoint.in_flight_}});
  }
  auto documents = nlohmann::json::object();
  for (const auto& [key, stamp] : process_.config().documents().versions()) {
    documents[key] = stamp.sequence_;
  }
  const auto* bundle = process_.config().documents().AcceptedBundle();
  const nlohmann::json status{
      {"id", process_.id().value()},
      {"domain", process_.domain().value()},
      {"ready", NotReadyReason().empty()},
      {"not_ready_reason", NotReadyReason()},
      {"watching_platform", process_.store_reader().watching()},
      {"bundle_version", bundle == nullptr ? 0 : bundle->version_},
      {"model", bundle == nullptr ? "" : bundle->model_},
      {"documents", documents},
      {"requests_in_flight", InFlight()},
      {"requests_waiting", waiting_.size()},
      {"endpoints", endpoints}};
  return status.dump();
}

}  // namespace chalkwell::daemon
