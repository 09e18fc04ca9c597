// Settings and log files go to a temporary folder of each deployment.
#include "deployment.hpp"

#include <fstream>
#include <sstream>

#include "../daemon/raw_socket.hpp"

namespace chalkwell::platform_tests {
namespace {

using daemon::RawSocket;
using namespace std::chrono_literals;

/// Far longer than anything in these tests takes.
constexpr auto kEventuallyTimeout = 20s;

nlohmann::json MakeRoute(const std::string& path, const std::string& kind,
                         const std::string& service, int timeout_ms) {
  return {{"name", path},
          {"host", "h"},
          {"pathPrefix", path},
          {"kind", kind},
          {"timeoutMs", timeout_ms},
          {"targetLatencyMs", 300},
          {"targetGapMs", 300},
          {"priority", 1},
          {"service", service},
          {"maxAttempts", 2},
          {"resumable", kind == "streaming"},
          {"public", path == "/open/"}};
}

std::string PeerAddress(const Node& node, const NodeOptions& options) {
  if (options.seed_ == nullptr) {
    return LocalAddress(node.peer_port_);
  }
  return "127.0.0." + std::to_string(options.host_number_) + ":" +
         std::to_string(options.seed_->peer_port_);
}

std::string SeedsSetting(const NodeOptions& options) {
  return options.seed_ == nullptr ? ""
                                  : LocalAddress(options.seed_->peer_port_);
}

/// An agent with a seed waits up to 10 s for the engine facts from it, so that
/// a slow machine does not make it read the store.
std::string FactsWaitSetting(const NodeOptions& options) {
  return options.seed_ == nullptr ? "" : "\nfacts_wait_ms = 10000";
}

std::string ProcessSettings(const NodeOptions& options) {
  std::string settings = "\n[process]";
  if (options.memory_mb_ > 0) {
    settings += "\nmemory_mb = " + std::to_string(options.memory_mb_);
  }
  if (options.max_descriptors_ > 0) {
    settings +=
        "\nmax_descriptors = " + std::to_string(options.max_descriptors_);
  }
  return settings;
}

}  // namespace

std::string LocalAddress(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

bool Eventually(const std::function<bool()>& condition) {
  const auto until = std::chrono::steady_clock::now() + kEventuallyTimeout;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(5ms);
  }
  return true;
}

bool Node::Ready() const {
  const RawSocket probe(ready_port_);
  probe.Send("GET /readyz HTTP/1.1\r\nhost: a\r\nconnection: close\r\n\r\n");
  return probe.connected() && probe.ReadUntil().starts_with("HTTP/1.1 200");
}

Deployment::Deployment()
    : folder_(std::filesystem::temp_directory_path() /
              ("chalkwell-path-" + std::to_string(FreePort()))) {
  std::filesystem::create_directories(folder_);
  PutRules(1, {"k1", "k2"});
  PutRows();
}

Deployment::~Deployment() { std::filesystem::remove_all(folder_); }

void Deployment::PutRules(std::uint64_t version,
                          const std::vector<std::string>& keys) {
  PutRules(store_, version, keys);
}

void Deployment::PutRules(StoreStandin& store, std::uint64_t version,
                          const std::vector<std::string>& keys) {
  nlohmann::json routes{
      MakeRoute("/safe/", "idempotent", "plain", limits_.request_timeout_ms_),
      MakeRoute("/open/", "idempotent", "plain", limits_.request_timeout_ms_),
      MakeRoute("/once/", "non_idempotent", "plain",
                limits_.request_timeout_ms_),
      MakeRoute("/stream/", "streaming", "plain", limits_.request_timeout_ms_),
      MakeRoute("/model/", "idempotent", "pool", limits_.request_timeout_ms_)};
  routes[0]["allowedRegions"] = safe_route_regions_;
  for (std::size_t i = 0; i < extra_routes_; ++i) {
    routes.push_back(MakeRoute("/more" + std::to_string(i) + "/", "idempotent",
                               "plain", limits_.request_timeout_ms_));
  }
  store.Put(
      "op/config",
      {{"version", version},
       {"routes", routes},
       {"services",
        {{{"name", "plain"}, {"maxConns", 100}},
         {{"name", "pool"},
          {"maxConns", 100},
          {"engine",
           {{"slots", 4},
            {"chunks", kChunkCount},
            {"step_ms", 1},
            {"read_per_s", 20000},
            {"models", {{{"name", "m"}}}}}}},
         {{"name", "source"}, {"origin", origin_.address()}, {"zone", "z1"}}}},
       {"limits",
        {{"maxHeaderBytes", limits_.header_bytes_},
         {"maxBodyBytes", limits_.body_bytes_},
         {"headerTimeoutMs", limits_.header_timeout_ms_},
         {"idleTimeoutMs", 3000}}},
       {"tenants",
        {{{"name", "acct"},
          {"apiKeys", keys},
          {"priority", 2},
          {"allowedRegions", account_regions_}}}}});
}

void Deployment::PutRows() { PutRows(store_); }

void Deployment::PutRows(StoreStandin& store) {
  store.Put("servers/" + first_.id(), first_.Row("plain", "z1"));
  store.Put("servers/" + second_.id(), second_.Row("plain", "z1"));
  store.Put("servers/" + engine_.id(), engine_.Row("pool", "z1"));
}

Node Deployment::StartEntry(const std::string& name, const std::string& store,
                            const Node* seed) {
  return StartEntry(name, store, NodeOptions{seed});
}

Node Deployment::StartEntry(const std::string& name, const std::string& store,
                            const NodeOptions& options) {
  Node node;
  const auto path = (folder_ / (name + ".ini")).string();
  std::ofstream(path)
      << "[instance]\nid = " << name
      << "\ndomain = z1\n[listen]\ncaller = " << LocalAddress(node.caller_port_)
      << "\nready = " << LocalAddress(node.ready_port_)
      << "\npeer = " << PeerAddress(node, options)
      << "\nadmin = " << LocalAddress(node.admin_port_)
      << "\n[platform]\naddress = " << store
      << "\nfirst_read_wait_ms = " << options.first_read_wait_ms_
      << "\npoll_ms = 100\nwatch_wait_ms = 60000\n[mesh]\nseeds = "
      << SeedsSetting(options)
      << "\n[routing]\nregion = z1:north\nregion = z2:south"
      << "\n[requests]\nretry_share = " << options.retry_share_
      << "\nretry_reserve = 100"
      << "\n[rollout]\nversion_bound_ms = " << options.version_bound_ms_
      << ProcessSettings(options) << "\n[stop]\ndrain_ms = 5000\n";
  node.child_ = Child(
      {fleet::DaemonPath(), "entry", "--adapter", "platform", "--config", path},
      (folder_ / (name + ".log")).string(), environment_);
  return node;
}

Node Deployment::StartAgent(const std::string& name,
                            const NodeOptions& options) {
  Node node;
  const auto path = (folder_ / (name + ".ini")).string();
  const auto engine = options.engine_address_.empty() ? engine_.address()
                                                      : options.engine_address_;
  std::ofstream(path) << "[instance]\nid = " << name
                      << "\ndomain = z1\n[listen]\npeer = "
                      << PeerAddress(node, options)
                      << "\nadmin = " << LocalAddress(node.admin_port_)
                      << "\n[platform]\naddress = " << store_.address()
                      << "\n[mesh]\nseeds = " << SeedsSetting(options)
                      << "\n[endpoint]\nbackend = " << engine
                      << FactsWaitSetting(options)
                      << "\nrole = pool\n[rollout]\nversion_bound_ms = "
                         "8000\n[stop]\ndrain_ms = 500\n";
  node.child_ = Child(
      {fleet::DaemonPath(), "agent", "--adapter", "platform", "--config", path},
      (folder_ / (name + ".log")).string(), environment_);
  return node;
}

std::string Deployment::Log(const std::string& name) const {
  std::ifstream file(folder_ / (name + ".log"));
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string RequestText(const std::string& path, const std::string& key,
                        const std::string& extra, const std::string& body,
                        int deadline_ms) {
  return "POST " + path + " HTTP/1.1\r\nhost: h\r\nattempt-id: a1\r\n" +
         "deadline-ms: " + std::to_string(deadline_ms) +
         "\r\ntenant: forged\r\nauthorization: Bearer " + key +
         "\r\nconnection: close\r\n" + extra +
         "content-length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

std::string SendRequest(const Node& node, const std::string& text) {
  const RawSocket caller(node.caller_port_);
  caller.Send(text);
  return caller.ReadUntil();
}

std::string Status(const std::string& response) {
  return response.size() < 12 ? "" : response.substr(9, 3);
}

}  // namespace chalkwell::platform_tests
