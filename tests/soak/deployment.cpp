// Entry N of domain D is 127.1.D.N, engine N 127.2.D.N, a store behind the
// relay 127.3.D.N, an endpoint behind the relay 127.4.D.N.
#include "soak/world.hpp"

#include <fstream>
#include <thread>
#include <utility>

#include "fleet/http.hpp"

namespace chalkwell::soak {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kPieces = 5;
/// Items of an answer of the store: all fit into one.
constexpr std::size_t kPage = 500;
constexpr auto kStartTime = 30s;
constexpr auto kWork = milliseconds(60);
/// Answers of endpoints that are still awaited end within this.
constexpr auto kSettle = milliseconds(200);

std::string Ip(int kind, std::size_t domain, std::size_t number) {
  return "127." + std::to_string(kind) + "." + std::to_string(domain + 1) +
         "." + std::to_string(number + 1);
}

std::string At(const std::string& ip, std::uint16_t port) {
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

World::World(WorldSettings settings, Judge& judge)
    : settings_(std::move(settings)), judge_(judge) {
  std::filesystem::create_directories(settings_.folder_);
  store_ = std::make_unique<standins::StoreStandin>(
      thread_, daemon::Address{"127.0.0.1", store_port_}, kPage);
  origin_ = std::make_unique<standins::OriginStandin>(thread_, kPieces);
  AddEntries();
  AddPlaces();
  relay_ = std::make_unique<fleet::Relay>(routes_,
                                          std::map<std::string, std::string>{});
  PutRules();
}

World::~World() {
  entries_.clear();
  for (auto& place : places_) {
    place.agent_ = {};
  }
  std::this_thread::sleep_for(kSettle);
}

std::string World::StoreAddress() const { return store_->address(); }

std::string World::Seeds() const {
  std::string seeds;
  for (std::size_t domain = 0; domain < settings_.domains_; ++domain) {
    seeds += (seeds.empty() ? "" : ",") + At(Ip(1, domain, 0), peer_port_);
  }
  return seeds;
}

void World::AddEntries() {
  for (std::size_t domain = 0; domain < settings_.domains_; ++domain) {
    for (std::size_t number = 0; number < settings_.entries_; ++number) {
      Entry entry;
      entry.domain_ = DomainName(domain);
      entry.name_ = entry.domain_ + "e" + std::to_string(number + 1);
      entry.ip_ = Ip(1, domain, number);
      entry.store_ = At(Ip(3, domain, number), store_port_);
      entry.clocks_ = std::make_unique<fleet::Suspension>(
          settings_.folder_ / (entry.name_ + ".clock"));
      routes_.push_back({entry.store_, StoreAddress(), "", ""});
      entries_.push_back(std::move(entry));
    }
  }
}

void World::AddPlaces() {
  const auto of_each = settings_.engines_ + settings_.services_;
  for (std::size_t domain = 0; domain < settings_.domains_; ++domain) {
    for (std::size_t number = 0; number < of_each; ++number) {
      Place place;
      place.domain_ = DomainName(domain);
      place.engine_ = number < settings_.engines_;
      place.service_ = place.engine_ ? "pool" : "plain";
      place.relayed_ = number < settings_.relayed_ || !place.engine_;
      const auto real = At(Ip(2, domain, number), endpoint_port_);
      place.address_ =
          place.relayed_ ? At(Ip(4, domain, number), endpoint_port_) : real;
      place.endpoint_ = std::make_unique<standins::EndpointStandin>(
          thread_, "", daemon::ParseAddress(real));
      place.endpoint_->SetNamed(place.address_);
      place.endpoint_->SetWork(kWork);
      if (place.relayed_) {
        routes_.push_back({place.address_, real, "", ""});
      }
      places_.push_back(std::move(place));
      auto& placed = places_.back();
      placed.endpoint_->CrashOn(kCrashMark);
      placed.endpoint_->OnCrash([this, &placed](const std::string& request) {
        judge_.OnCrash(request);
        const std::lock_guard lock(mutex_);
        crashed_.push_back(&placed);
      });
      BeginLife(placed, false);
    }
  }
}

void World::PutRules() {
  store_->Put("op/config",
              {{"version", 1},
               {"routes",
                {Route("/stream/", "streaming", "pool", 400, 6000),
                 Route("/safe/", "idempotent", "plain", 120, 1200),
                 Route("/once/", "non_idempotent", "plain", 120, 1200)}},
               {"services",
                {{{"name", "plain"}, {"maxConns", 520}},
                 {{"name", "pool"},
                  {"maxConns", 668},
                  {"engine",
                   {{"slots", 12},
                    {"chunks", kPieces},
                    {"step_ms", 6.7},
                    {"read_per_s", 30600},
                    {"models", {{{"name", "m"}}}}}}},
                 {{"name", "source"},
                  {"origin", origin_->address()},
                  {"zone", DomainName(0)}}}}});
}

void World::BeginLife(Place& place, bool same_id) {
  ++place.life_;
  auto& endpoint = *place.endpoint_;
  if (!same_id || place.life_ == 1) {
    // The judge and the store know a place by the id of its present life.
    endpoint.SetId("i-" + place.address_.substr(0, place.address_.find(':')) +
                   "-" + std::to_string(place.life_));
  }
  const auto now = std::chrono::system_clock::now().time_since_epoch();
  endpoint.SetBorn(static_cast<std::uint64_t>(
      std::chrono::duration_cast<milliseconds>(now).count()));
  endpoint.OnArrival([this, id = endpoint.id()](const std::string& request) {
    judge_.OnArrival(id, request);
  });
  judge_.OnBack(endpoint.id());
  PutRow(place, "ready");
}

void World::PutRow(Place& place, const std::string& state) {
  const auto& endpoint = *place.endpoint_;
  store_->Put("servers/" + endpoint.id(),
              endpoint.Row(place.service_, place.domain_, state));
}

void World::RemoveRow(Place& place) {
  store_->Remove("servers/" + place.endpoint_->id());
}

std::vector<Place*> World::TakeCrashed() {
  const std::lock_guard lock(mutex_);
  return std::exchange(crashed_, {});
}

void World::StartEntry(Entry& entry) {
  const auto path = (settings_.folder_ / (entry.name_ + ".ini")).string();
  std::ofstream(path)
      << "[instance]\nid = " << entry.name_ << "\ndomain = " << entry.domain_
      << "\n[listen]\ncaller = " << At(entry.ip_, caller_port_)
      << "\nready = " << At(entry.ip_, ready_port_)
      << "\npeer = " << At(entry.ip_, peer_port_)
      << "\nadmin = " << At(entry.ip_, admin_port_)
      << "\n[platform]\naddress = " << entry.store_
      << "\nwatch_wait_ms = 25000\nleave_bound_ms = "
      << settings_.bounds_.drain_.count() << "\n[mesh]\nseeds = " << Seeds()
      << "\n[requests]\nretry_share = 0.2\nretry_reserve = 228\n"
         "[stop]\ndrain_ms = 7500\n[log]\nformat = json\n";
  entry.child_ = fleet::Child(
      {settings_.daemon_, "entry", "--adapter", "platform", "--config", path},
      (settings_.folder_ / (entry.name_ + ".log")).string(),
      entry.clocks_->environment());
  entry.stopped_ = false;
}

void World::StartAgent(Place& place) {
  const auto ip = place.address_.substr(0, place.address_.find(':'));
  const auto path = (settings_.folder_ / ("agent-" + ip + ".ini")).string();
  std::ofstream(path) << "[instance]\nid = agent-" << ip
                      << "\ndomain = " << place.domain_
                      << "\n[listen]\npeer = " << At(ip, peer_port_)
                      << "\nadmin = " << At(ip, admin_port_)
                      << "\n[platform]\naddress = " << StoreAddress()
                      << "\n[mesh]\nseeds = " << Seeds()
                      << "\n[endpoint]\nbackend = " << place.address_
                      << "\nrole = pool\n[weights]\nlink_mbps = 7.6\n"
                         "[rollout]\nversion_bound_ms = 8000\n"
                         "[stop]\ndrain_ms = 1000\n[log]\nformat = json\n";
  place.agent_ = fleet::Child(
      {settings_.daemon_, "agent", "--adapter", "platform", "--config", path},
      (settings_.folder_ / ("agent-" + ip + ".log")).string());
}

bool World::Start() {
  for (auto& entry : entries_) {
    StartEntry(entry);
  }
  for (auto& place : places_) {
    if (place.engine_) {
      StartAgent(place);
    }
  }
  const auto until = std::chrono::steady_clock::now() + kStartTime;
  const auto started = [this] {
    return std::ranges::all_of(
               entries_, [this](const Entry& entry) { return Ready(entry); }) &&
           std::ranges::all_of(places_, [](const Place& place) {
             return !place.engine_ || place.endpoint_->version() > 0;
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

std::string World::CallerAddress(const Entry& entry) const {
  return At(entry.ip_, caller_port_);
}

bool World::Ready(const Entry& entry) const {
  return fleet::Get(At(entry.ip_, ready_port_), "/readyz").status_ == 200;
}

std::string World::Metrics(const Entry& entry) const {
  return fleet::Get(At(entry.ip_, admin_port_), "/metrics").body_;
}

}  // namespace chalkwell::soak
