// Addresses in failure domain D: entry N 127.1.D.N, endpoint N 127.2.D.N, relay
// of entry N to the store 127.3.D.N, relay to endpoint N 127.4.D.N.
#include "soak/deployment.hpp"

#include <cstdlib>
#include <fstream>
#include <sstream>
#include <thread>
#include <utility>

#include "fleet/http.hpp"

namespace chalkwell::soak {
namespace {

using namespace std::chrono_literals;

/// Newest versions of the rules that have a route of their own: all that are
/// published within the time until one must be in force.
constexpr unsigned kVersionRoutes = 100;
constexpr std::size_t kChunks = 5;
/// Large enough for all items in one response of the store.
constexpr std::size_t kStorePageSize = 500;
constexpr auto kStartTimeout = 30s;
/// Time for the endpoints' pending responses to end.
constexpr auto kSettle = milliseconds(200);

std::string IpAddress(int kind, std::size_t domain, std::size_t number) {
  return "127." + std::to_string(kind) + "." + std::to_string(domain + 1) +
         "." + std::to_string(number + 1);
}

std::string JoinAddress(const std::string& ip, std::uint16_t port) {
  return ip + ":" + std::to_string(port);
}

std::string DomainName(std::size_t domain) {
  return "d" + std::to_string(domain + 1);
}

nlohmann::json Route(const std::string& path, const std::string& kind,
                     const std::string& service, int target_ms,
                     int timeout_ms) {
  return {{"name", path},
          {"host", "h"},
          {"pathPrefix", path},
          {"kind", kind},
          {"timeoutMs", timeout_ms},
          {"targetLatencyMs", target_ms},
          {"targetGapMs", 300},
          {"priority", 1},
          {"service", service},
          {"maxAttempts", 2},
          {"resumable", false},
          {"public", true}};
}

}  // namespace

Deployment::Deployment(DeploymentSettings settings, Checker& checker)
    : settings_(std::move(settings)), checker_(checker) {
  std::filesystem::create_directories(settings_.folder_);
  store_ = std::make_unique<standins::StoreStandin>(
      thread_, daemon::Address{"127.0.0.1", store_port_}, kStorePageSize);
  origin_ = std::make_unique<standins::OriginStandin>(thread_, kChunks);
  AddEntries();
  AddHosts();
  relay_ = std::make_unique<fleet::Relay>(routes_,
                                          std::map<std::string, std::string>{});
  PutRules();
}

Deployment::~Deployment() {
  entries_.clear();
  for (auto& host : hosts_) {
    host.agent_ = {};
  }
  std::this_thread::sleep_for(kSettle);
}

std::string Deployment::StoreAddress() const { return store_->address(); }

std::string Deployment::MeshSeeds() const {
  std::string seeds;
  for (std::size_t domain = 0; domain < settings_.domains_; ++domain) {
    seeds += (seeds.empty() ? "" : ",") +
             JoinAddress(IpAddress(1, domain, 0), peer_port_);
  }
  return seeds;
}

void Deployment::AddEntries() {
  for (std::size_t domain = 0; domain < settings_.domains_; ++domain) {
    for (std::size_t number = 0; number < settings_.entries_; ++number) {
      Entry entry;
      entry.domain_ = DomainName(domain);
      entry.name_ = entry.domain_ + "e" + std::to_string(number + 1);
      entry.ip_ = IpAddress(1, domain, number);
      entry.store_address_ =
          JoinAddress(IpAddress(3, domain, number), store_port_);
      entry.suspension_ = std::make_unique<fleet::Suspension>(
          settings_.folder_ / (entry.name_ + ".clock"));
      routes_.push_back({entry.store_address_, StoreAddress(), "", ""});
      entries_.push_back(std::move(entry));
    }
  }
}

void Deployment::AddHosts() {
  const auto endpoints_per_domain = settings_.engines_ + settings_.services_;
  for (std::size_t domain = 0; domain < settings_.domains_; ++domain) {
    for (std::size_t number = 0; number < endpoints_per_domain; ++number) {
      EndpointHost host;
      host.domain_ = DomainName(domain);
      host.is_engine_ = number < settings_.engines_;
      host.service_ = host.is_engine_ ? "pool" : "plain";
      host.relayed_ = number < settings_.relayed_ || !host.is_engine_;
      const auto actual =
          JoinAddress(IpAddress(2, domain, number), endpoint_port_);
      host.address_ = host.relayed_ ? JoinAddress(IpAddress(4, domain, number),
                                                  endpoint_port_)
                                    : actual;
      host.endpoint_ = std::make_unique<standins::EndpointStandin>(
          thread_, "", daemon::ParseAddress(actual));
      host.endpoint_->SetAdvertisedAddress(host.address_);
      host.endpoint_->SetRunDelay(kEndpointRunDelay);
      if (host.relayed_) {
        routes_.push_back({host.address_, actual, "", ""});
      }
      hosts_.push_back(std::move(host));
      auto& added = hosts_.back();
      added.endpoint_->CrashOn(kCrashMark);
      added.endpoint_->OnCrash([this, &added](const std::string& request) {
        checker_.OnCrash(request);
        checker_.OnBreaks(added.endpoint_->id(), milliseconds(0));
        const std::lock_guard lock(mutex_);
        crashed_.push_back(&added);
      });
      StartIncarnation(added, false);
    }
  }
}

void Deployment::Write(const std::string& key, const nlohmann::json& value) {
  written_[key] = value;
  if (value.is_null()) {
    store_->Remove(key);
  } else {
    store_->Put(key, value);
  }
}

std::vector<std::string> Deployment::WrittenKeys() const {
  std::vector<std::string> keys;
  for (const auto& [key, value] : written_) {
    keys.push_back(key);
  }
  return keys;
}

void Deployment::WriteAgain(const std::string& key) {
  const auto value = written_.at(key);
  if (store_->Value(key) != value) {
    Write(key, value);
  }
}

void Deployment::ChangeRules() {
  switch (rules_version_ % 4) {
    case 0:
      long_timeout_ = long_timeout_ > kLeastTimeout ? kLeastTimeout : 8000ms;
      break;
    case 1:
      idle_timeout_ = idle_timeout_ > 1000ms ? 1000ms : 30000ms;
      break;
    case 2:
      extra_route_ = !extra_route_;
      break;
    default:
      account_keys_.push_back("key-" + std::to_string(rules_version_));
      break;
  }
  PutRules();
}

void Deployment::PutRules() {
  const auto timeout_ms = static_cast<int>(long_timeout_.count());
  nlohmann::json routes{
      Route("/stream/", "streaming", "pool", 400, timeout_ms),
      Route("/stream/resumable/", "streaming", "pool", 400, timeout_ms),
      Route("/safe/", "idempotent", "plain", 120, 1200),
      Route("/safe/slow/", "idempotent", "plain", 120, timeout_ms),
      Route("/once/", "non_idempotent", "plain", 120, 1200)};
  routes[1]["resumable"] = true;
  if (extra_route_) {
    routes.push_back(Route("/extra/", "idempotent", "plain", 120, 1200));
  }
  ++rules_version_;
  const auto oldest =
      rules_version_ > kVersionRoutes ? rules_version_ - kVersionRoutes + 1 : 1;
  for (auto version = oldest; version <= rules_version_; ++version) {
    routes.push_back(Route("/version/" + std::to_string(version) + "/",
                           "idempotent", "plain", 120, 1200));
  }
  Write("op/config",
        {{"version", rules_version_},
         {"routes", routes},
         {"limits", {{"idleTimeoutMs", idle_timeout_.count()}}},
         {"tenants", {{{"name", "account"}, {"apiKeys", account_keys_}}}},
         {"services",
          {{{"name", "plain"}, {"maxConns", 520}},
           {{"name", "pool"},
            {"maxConns", 668},
            {"engine",
             {{"slots", 12},
              {"chunks", kChunks},
              {"step_ms", 6.7},
              {"read_per_s", 30600},
              {"models", {{{"name", "m"}}}}}}},
           {{"name", "source"},
            {"origin", origin_->address()},
            {"zone", DomainName(0)}}}}});
  checker_.OnRulesAcknowledged(rules_version_);
}

void Deployment::StartIncarnation(EndpointHost& host, bool same_id) {
  ++host.incarnation_;
  auto& endpoint = *host.endpoint_;
  if (!same_id || host.incarnation_ == 1) {
    // The checker and the store identify a host by the id of its current
    // incarnation.
    endpoint.SetId("i-" + host.address_.substr(0, host.address_.find(':')) +
                   "-" + std::to_string(host.incarnation_));
  }
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  endpoint.SetStatesLeaving(false);
  endpoint.SetStartTime(static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(now).count()));
  endpoint.OnArrival([this, id = endpoint.id(),
                      service = host.service_](const std::string& request) {
    checker_.OnArrival(id, service, request);
  });
  checker_.OnListed(endpoint.id());
  PutRow(host, "ready");
}

void Deployment::PutRow(EndpointHost& host, const std::string& state) {
  const auto& endpoint = *host.endpoint_;
  Write("servers/" + endpoint.id(),
        endpoint.Row(host.service_, host.domain_, state));
}

void Deployment::RemoveRow(EndpointHost& host) {
  Write("servers/" + host.endpoint_->id(), nullptr);
}

std::vector<EndpointHost*> Deployment::TakeCrashed() {
  const std::lock_guard lock(mutex_);
  return std::exchange(crashed_, {});
}

void Deployment::StartEntry(Entry& entry) {
  const auto path = (settings_.folder_ / (entry.name_ + ".ini")).string();
  std::ofstream(path) << "[instance]\nid = " << entry.name_
                      << "\ndomain = " << entry.domain_
                      << "\n[listen]\ncaller = "
                      << JoinAddress(entry.ip_, caller_port_)
                      << "\nready = " << JoinAddress(entry.ip_, ready_port_)
                      << "\npeer = " << JoinAddress(entry.ip_, peer_port_)
                      << "\nadmin = " << JoinAddress(entry.ip_, admin_port_)
                      << "\n[platform]\naddress = " << entry.store_address_
                      << "\nwatch_wait_ms = 25000\nleave_bound_ms = "
                      << settings_.bounds_.drain_.count()
                      << "\n[mesh]\nseeds = " << MeshSeeds() << "\n[requests]\n"
                      << settings_.retry_budget_
                      << "[stop]\ndrain_ms = 7500\n"
                         "[log]\nformat = json\n";
  entry.child_ = fleet::Child(
      {settings_.daemon_, "entry", "--adapter", "platform", "--config", path},
      (settings_.folder_ / (entry.name_ + ".log")).string(),
      entry.suspension_->environment());
  entry.stopped_ = false;
}

void Deployment::StartAgent(EndpointHost& host) {
  const auto ip = host.address_.substr(0, host.address_.find(':'));
  const auto path = (settings_.folder_ / ("agent-" + ip + ".ini")).string();
  std::ofstream(path) << "[instance]\nid = agent-" << ip
                      << "\ndomain = " << host.domain_
                      << "\n[listen]\npeer = " << JoinAddress(ip, peer_port_)
                      << "\nadmin = " << JoinAddress(ip, admin_port_)
                      << "\n[platform]\naddress = " << StoreAddress()
                      << "\n[mesh]\nseeds = " << MeshSeeds()
                      << "\n[endpoint]\nbackend = " << host.address_
                      << "\nrole = pool\n[weights]\nlink_mbps = 7.6\n"
                         "[rollout]\nversion_bound_ms = 8000\n"
                         "[stop]\ndrain_ms = 1000\n[log]\nformat = json\n";
  host.agent_ = fleet::Child(
      {settings_.daemon_, "agent", "--adapter", "platform", "--config", path},
      (settings_.folder_ / ("agent-" + ip + ".log")).string());
}

bool Deployment::Start() {
  for (auto& entry : entries_) {
    StartEntry(entry);
  }
  for (auto& host : hosts_) {
    if (host.is_engine_) {
      StartAgent(host);
    }
  }
  const auto until = std::chrono::steady_clock::now() + kStartTimeout;
  const auto started = [this] {
    return std::ranges::all_of(
               entries_,
               [this](const Entry& entry) { return IsReady(entry); }) &&
           std::ranges::all_of(hosts_, [](const EndpointHost& host) {
             return !host.is_engine_ || host.endpoint_->version() > 0;
           });
  };
  while (!started()) {
    if (std::chrono::steady_clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(50ms);
  }
  return true;
}

std::string Deployment::CallerAddress(const Entry& entry) const {
  return JoinAddress(entry.ip_, caller_port_);
}

bool Deployment::IsReady(const Entry& entry) const {
  return fleet::Get(JoinAddress(entry.ip_, ready_port_), "/readyz").status_ ==
         200;
}

std::string Deployment::Metrics(const Entry& entry) const {
  return fleet::Get(JoinAddress(entry.ip_, admin_port_), "/metrics").body_;
}

void Deployment::CollectMetrics(const Entry& entry) {
  std::istringstream lines(Metrics(entry));
  for (std::string line; std::getline(lines, line);) {
    if (!line.starts_with('#')) {
      totals_[line.substr(0, line.find_first_of("{ "))] +=
          std::strtod(line.c_str() + line.rfind(' '), nullptr);
    }
  }
}

}  // namespace chalkwell::soak
