// Settings files are written into a folder of the deployment's own.
#include "deployment.hpp"

#include <fstream>
#include <sstream>

#include "../daemon/raw_socket.hpp"

namespace chalkwell::platform_tests {
namespace {

using daemon::RawSocket;
using namespace std::chrono_literals;

/// Far longer than anything here takes: a wait that fails says so.
constexpr auto kPatience = 20s;

nlohmann::json Route(const std::string& path, const std::string& kind,
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

std::string PeerAddress(const Node& node, const Beside& beside) {
  if (beside.seed_ == nullptr) {
    return Local(node.peer_);
  }
  return "127.0.0." + std::to_string(beside.host_) + ":" +
         std::to_string(beside.seed_->peer_);
}

std::string Seeds(const Beside& beside) {
  return beside.seed_ == nullptr ? "" : Local(beside.seed_->peer_);
}

/// An agent that knows an entry from the start waits for it, however slow the
/// machine is.
std::string FactsWait(const Beside& beside) {
  return beside.seed_ == nullptr ? "" : "\nfacts_wait_ms = 10000";
}

}  // namespace

std::string Local(std::uint16_t port) {
  return "127.0.0.1:" + std::to_string(port);
}

bool Eventually(const std::function<bool()>& condition) {
  const auto until = std::chrono::steady_clock::now() + kPatience;
  while (!condition()) {
    if (std::chrono::steady_clock::now() > until) {
      return false;
    }
    std::this_thread::sleep_for(5ms);
  }
  return true;
}

bool Node::Ready() const {
  const RawSocket probe(ready_);
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
      Route("/safe/", "idempotent", "plain", limits_.timeout_ms_),
      Route("/open/", "idempotent", "plain", limits_.timeout_ms_),
      Route("/once/", "non_idempotent", "plain", limits_.timeout_ms_),
      Route("/stream/", "streaming", "plain", limits_.timeout_ms_),
      Route("/model/", "idempotent", "pool", limits_.timeout_ms_)};
  for (std::size_t i = 0; i < more_routes_; ++i) {
    routes.push_back(Route("/more" + std::to_string(i) + "/", "idempotent",
                           "plain", limits_.timeout_ms_));
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
            {"chunks", kPieces},
            {"step_ms", 1},
            {"read_per_s", 20000},
            {"models", {{{"name", "m"}}}}}}},
         {{"name", "source"}, {"origin", origin_.address()}, {"zone", "z1"}}}},
       {"limits",
        {{"maxHeaderBytes", limits_.header_bytes_},
         {"maxBodyBytes", limits_.body_bytes_},
         {"headerTimeoutMs", limits_.header_ms_},
         {"idleTimeoutMs", 3000}}},
       {"tenants", {{{"name", "acct"}, {"apiKeys", keys}, {"priority", 2}}}}});
}

void Deployment::PutRows() { PutRows(store_); }

void Deployment::PutRows(StoreStandin& store) {
  store.Put("servers/" + first_.id(), first_.Row("plain", "z1"));
  store.Put("servers/" + second_.id(), second_.Row("plain", "z1"));
  store.Put("servers/" + engine_.id(), engine_.Row("pool", "z1"));
}

Node Deployment::StartEntry(const std::string& name, const std::string& store,
                            const Node* seed) {
  return StartEntry(name, store, Beside{seed});
}

Node Deployment::StartEntry(const std::string& name, const std::string& store,
                            const Beside& beside) {
  Node node;
  const auto path = (folder_ / (name + ".ini")).string();
  std::ofstream(path)
      << "[instance]\nid = " << name
      << "\ndomain = z1\n[listen]\ncaller = " << Local(node.caller_)
      << "\nready = " << Local(node.ready_)
      << "\npeer = " << PeerAddress(node, beside)
      << "\nadmin = " << Local(node.admin_)
      << "\n[platform]\naddress = " << store
      << "\npoll_ms = 100\nwatch_wait_ms = 60000\n[mesh]\nseeds = "
      << Seeds(beside)
      << "\n[requests]\nretry_share = 0.2\n"
         "retry_reserve = 100\n[stop]\ndrain_ms = 5000\n";
  node.child_ = Child(
      {fleet::DaemonPath(), "entry", "--adapter", "platform", "--config", path},
      (folder_ / (name + ".log")).string(), environment_);
  return node;
}

Node Deployment::StartAgent(const std::string& name, const Beside& beside) {
  Node node;
  const auto path = (folder_ / (name + ".ini")).string();
  const auto engine =
      beside.engine_.empty() ? engine_.address() : beside.engine_;
  std::ofstream(path) << "[instance]\nid = " << name
                      << "\ndomain = z1\n[listen]\npeer = "
                      << PeerAddress(node, beside)
                      << "\nadmin = " << Local(node.admin_)
                      << "\n[platform]\naddress = " << store_.address()
                      << "\n[mesh]\nseeds = " << Seeds(beside)
                      << "\n[endpoint]\nbackend = " << engine
                      << FactsWait(beside)
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
                        const std::string& extra, const std::string& body) {
  return "POST " + path + " HTTP/1.1\r\nhost: h\r\nattempt-id: a1\r\n" +
         "deadline-ms: 3000\r\ntenant: forged\r\nauthorization: Bearer " + key +
         "\r\nconnection: close\r\n" + extra + "content-length: 4\r\n\r\n" +
         body;
}

std::string Ask(const Node& node, const std::string& text) {
  const RawSocket caller(node.caller_);
  caller.Send(text);
  return caller.ReadUntil();
}

std::string Status(const std::string& answer) {
  return answer.size() < 12 ? "" : answer.substr(9, 3);
}

}  // namespace chalkwell::platform_tests
