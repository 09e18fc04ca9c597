// Writes the settings of the nodes, starts the processes and publishes
// documents.
#include "fleet/fleet.hpp"

#include <algorithm>
#include <filesystem>
#include <fstream>
#include <random>
#include <stdexcept>
#include <thread>
#include <utility>

#include "chalkwell/core/digest.hpp"
#include "cli/bundle_commands.hpp"
#include "cli/files.hpp"

namespace chalkwell::fleet {
namespace {

constexpr auto kPollInterval = std::chrono::milliseconds(20);
/// Number of processes that run the engines with shared_backends_.
constexpr std::size_t kSharedEngineProcesses = 4;

std::string NewAddress() { return "127.0.0.1:" + std::to_string(FreePort()); }

/// Each failure domain has its own loopback address, so that the relay can tell
/// the domain of a connection by its source.
std::string DomainIp(std::size_t domain) {
  return "127.0.0." + std::to_string(domain + 2);
}

void WaitUntilListening(const std::string& address) {
  const bool listening = Fleet::WaitFor(
      [&] {
        return Get(address, "/healthz").end_ != daemon::HttpEnd::kNotSent;
      },
      std::chrono::seconds(10));
  if (!listening) {
    throw std::runtime_error("no process listens on " + address);
  }
}

}  // namespace

void WriteRandomFile(const std::string& path, std::uint64_t seed,
                     std::uint64_t bytes) {
  std::mt19937_64 random(seed);
  std::ofstream file(path, std::ios::binary);
  std::string block(1 << 16, '\0');
  while (bytes > 0) {
    for (std::size_t i = 0; i < block.size(); i += sizeof(std::uint64_t)) {
      const auto word = random();
      std::copy_n(reinterpret_cast<const char*>(&word), sizeof(word),
                  block.data() + i);
    }
    const auto size = std::min<std::uint64_t>(bytes, block.size());
    file.write(block.data(), static_cast<std::streamsize>(size));
    bytes -= size;
  }
}

Fleet::Fleet(FleetSpec spec)
    : spec_(std::move(spec)),
      key_(bundle::KeyPair::FromSeed("chalkwell test fleet")),
      platform_(NewAddress()),
      store_(NewAddress()),
      origin_(NewAddress()) {
  std::filesystem::create_directories(spec_.folder_ + "/blobs");
  AddNodes();
  if (spec_.uses_relays_) {
    AddRelay();
  }
}

void Fleet::AddRelay() {
  std::vector<RelayRoute> routes;
  std::map<std::string, std::string> domain_of_ip;
  std::map<std::string, std::string> platform_relay_of;
  for (std::size_t i = 0; i < spec_.domains_.size(); ++i) {
    const auto& domain = spec_.domains_[i];
    domain_of_ip[DomainIp(i)] = domain;
    platform_relay_of[domain] = NewAddress();
    routes.push_back({.listen_ = platform_relay_of[domain],
                      .target_ = platform_,
                      .from_ = domain,
                      .to_ = ""});
    for (auto& node : nodes_) {
      if (node.domain_ == domain) {
        node.peer_address_ = DomainIp(i) + node.peer_address_.substr(
                                               node.peer_address_.find(':'));
        node.listed_peer_ = NewAddress();
        routes.push_back({.listen_ = node.listed_peer_,
                          .target_ = node.peer_address_,
                          .from_ = "",
                          .to_ = domain});
        SetNodeSetting(node.id_, "listen.advertised", node.listed_peer_);
        SetNodeSetting(node.id_, "platform.address", platform_relay_of[domain]);
      }
    }
  }
  relay_ = std::make_unique<Relay>(std::move(routes), std::move(domain_of_ip));
}

void Fleet::Isolate(const std::string& domain) { relay_->Isolate(domain); }

void Fleet::Heal() { relay_->Heal(); }

std::string Fleet::CallerKey() { return "caller-key-of-lagon"; }

std::string Fleet::LogPath(const std::string& name) const {
  return spec_.folder_ + "/" + name + ".log";
}

void Fleet::AddNodes() {
  const auto add = [this](const std::string& domain, const std::string& kind,
                          unsigned number) {
    Node node;
    node.id_ = domain + "-" + kind + "-" + std::to_string(number);
    node.domain_ = domain;
    node.is_entry_ = kind == "entry";
    node.is_engine_ = kind == "engine";
    node.role_ = node.is_engine_ ? "chat" : "records";
    node.admin_address_ = NewAddress();
    node.peer_address_ = NewAddress();
    node.listed_peer_ = node.peer_address_;
    (node.is_entry_ ? node.caller_address_ : node.backend_address_) =
        NewAddress();
    node.settings_path_ = spec_.folder_ + "/" + node.id_ + ".ini";
    node.log_path_ = LogPath(node.id_);
    nodes_.push_back(std::move(node));
  };
  for (const auto& domain : spec_.domains_) {
    for (unsigned i = 1; i <= spec_.entries_; ++i) {
      add(domain, "entry", i);
    }
    for (unsigned i = 1; i <= spec_.engines_; ++i) {
      add(domain, "engine", i);
    }
    for (unsigned i = 1; i <= spec_.services_; ++i) {
      add(domain, "service", i);
    }
  }
}

Node& Fleet::node(const std::string& id) {
  const auto found = std::ranges::find(nodes_, id, &Node::id_);
  if (found == nodes_.end()) {
    throw std::out_of_range("the fleet has no node " + id);
  }
  return *found;
}

std::vector<Node*> Fleet::Entries() {
  std::vector<Node*> selected;
  for (auto& node : nodes_) {
    if (node.is_entry_) {
      selected.push_back(&node);
    }
  }
  return selected;
}

std::vector<Node*> Fleet::Engines() {
  std::vector<Node*> selected;
  for (auto& node : nodes_) {
    if (node.is_engine_) {
      selected.push_back(&node);
    }
  }
  return selected;
}

std::vector<Node*> Fleet::Services() {
  std::vector<Node*> selected;
  for (auto& node : nodes_) {
    if (!node.is_entry_ && !node.is_engine_) {
      selected.push_back(&node);
    }
  }
  return selected;
}

void Fleet::WriteSettings(const Node& node) const {
  ExtraSettings values{{"instance.id", node.id_},
                       {"instance.domain", node.domain_},
                       {"listen.admin", node.admin_address_},
                       {"listen.peer", node.peer_address_},
                       {"platform.address", platform_},
                       {"bundle.trusted_keys", key_.public_.ToHex()}};
  const auto& extra =
      node.is_entry_ ? spec_.entry_settings_ : spec_.agent_settings_;
  if (node.is_entry_) {
    values["listen.caller"] = node.caller_address_;
  } else {
    values["endpoint.backend"] = node.backend_address_;
    values["endpoint.kind"] = node.is_engine_ ? "engine" : "service";
    values["endpoint.role"] = node.role_;
    values["weights.store"] = store_;
    values["weights.origin"] = origin_;
  }
  for (const auto& [name, value] : extra) {
    values[name] = value;
  }
  if (const auto node_settings = spec_.node_settings_.find(node.id_);
      node_settings != spec_.node_settings_.end()) {
    for (const auto& [name, value] : node_settings->second) {
      values[name] = value;
    }
  }
  std::map<std::string, std::string> sections;
  for (const auto& [name, value] : values) {
    const auto dot = name.find('.');
    sections[name.substr(0, dot)] +=
        name.substr(dot + 1) + " = " + value + "\n";
  }
  std::ofstream file(node.settings_path_);
  for (const auto& [section, lines] : sections) {
    file << "[" << section << "]\n" << lines << "\n";
  }
}

void Fleet::StartExternalServices() {
  platform_process_ =
      Child({StandinPath(), "platform", "--listen", platform_, "--list-lag-ms",
             std::to_string(spec_.list_lag_ms_)},
            LogPath("platform"));
  std::vector<std::string> blobs{StandinPath(), "blobs", "--folder",
                                 spec_.folder_, "--listen"};
  auto store = blobs;
  store.push_back(store_);
  store.insert(store.end(), spec_.store_arguments_.begin(),
               spec_.store_arguments_.end());
  store_process_ = Child(store, LogPath("store"));
  auto origin = blobs;
  origin.push_back(origin_);
  origin.insert(origin.end(), spec_.origin_arguments_.begin(),
                spec_.origin_arguments_.end());
  origin_process_ = Child(origin, LogPath("origin"));
  if (spec_.shared_backends_) {
    StartSharedBackends();
  }
  for (auto& node : nodes_) {
    if (!node.is_entry_ && !spec_.shared_backends_) {
      StartBackend(node);
    }
  }
  WaitUntilListening(platform_);
  WaitUntilListening(store_);
  WaitUntilListening(origin_);
}

void Fleet::StartSharedBackends() {
  std::vector<std::vector<std::string>> engines(kSharedEngineProcesses,
                                                {StandinPath(), "engine"});
  for (auto& arguments : engines) {
    arguments.insert(arguments.end(), spec_.engine_arguments_.begin(),
                     spec_.engine_arguments_.end());
  }
  std::vector<std::string> services{StandinPath(), "service"};
  std::size_t next = 0;
  for (const auto& node : nodes_) {
    if (!node.is_entry_) {
      auto& arguments =
          node.is_engine_ ? engines[next++ % kSharedEngineProcesses] : services;
      arguments.insert(arguments.end(), {"--listen", node.backend_address_});
    }
  }
  for (std::size_t i = 0; i < std::min(next, kSharedEngineProcesses); ++i) {
    shared_backend_processes_.emplace_back(
        engines[i], LogPath("engines-" + std::to_string(i)));
  }
  if (spec_.services_ > 0) {
    shared_backend_processes_.emplace_back(services, LogPath("services"));
  }
}

void Fleet::StartBackend(Node& node) {
  std::vector<std::string> arguments{StandinPath(),
                                     node.is_engine_ ? "engine" : "service",
                                     "--listen", node.backend_address_};
  if (node.is_engine_) {
    arguments.insert(arguments.end(), spec_.engine_arguments_.begin(),
                     spec_.engine_arguments_.end());
  }
  node.backend_process_ = Child(arguments, LogPath(node.id_ + "-backend"));
}

void Fleet::SetNodeSetting(const std::string& id, const std::string& name,
                           const std::string& value) {
  spec_.node_settings_[id][name] = value;
}

void Fleet::StartNode(Node& node) {
  WriteSettings(node);
  node.process_ = Child({DaemonPath(), node.is_entry_ ? "entry" : "agent",
                         "--config", node.settings_path_},
                        node.log_path_);
}

void Fleet::StartNodes() {
  for (auto& node : nodes_) {
    StartNode(node);
  }
}

void Fleet::Publish(const std::string& key, const std::string& value) {
  const auto response = Post(platform_, "/control/values/" + key, value);
  if (!response.ok()) {
    throw std::runtime_error("configuration store refused to publish " + key);
  }
}

void Fleet::PublishInstances() {
  auto instances = nlohmann::json::array();
  for (const auto& node : nodes_) {
    if (!node.published_) {
      continue;
    }
    nlohmann::json row{{"id", node.id_},
                       {"kind", node.is_entry_ ? "entry" : "endpoint"},
                       {"domain", node.domain_},
                       {"peer", node.listed_peer_},
                       {"leaving", node.draining_}};
    if (!node.is_entry_) {
      row["role"] = node.role_;
      row["backend"] = node.is_engine_ ? "engine" : "service";
      row["checks_fencing"] = spec_.checks_fencing_;
    }
    instances.push_back(row);
  }
  Publish("instances", nlohmann::json{{"instances", instances}}.dump());
}

void Fleet::PublishFleet() {
  const nlohmann::json account{
      {"id", "lagon"},
      {"key_digest", core::Digest::Of(CallerKey()).ToHex()},
      {"weight", 4}};
  const nlohmann::json other{
      {"id", "zagreb"},
      {"key_digest", core::Digest::Of("caller-key-of-zagreb").ToHex()},
      {"weight", 1}};
  Publish("accounts", nlohmann::json{{"accounts", {account, other}}}.dump());
  const nlohmann::json chat{
      {"prefix", "/v1/"}, {"role", "chat"}, {"repeatable", true}};
  const nlohmann::json records{
      {"prefix", "/records"}, {"role", "records"}, {"repeatable", false}};
  Publish("routes", nlohmann::json{{"routes", {chat, records}}}.dump());
  PublishInstances();
}

std::string Fleet::MakeBundle(std::uint64_t version, std::uint64_t seed,
                              std::uint64_t model_bytes,
                              std::uint64_t chunk_bytes) {
  const auto model = spec_.folder_ + "/model-" + std::to_string(seed) + ".bin";
  const auto adapter =
      spec_.folder_ + "/adapter-" + std::to_string(seed) + ".bin";
  WriteRandomFile(model, seed, model_bytes);
  WriteRandomFile(adapter, seed + 1, chunk_bytes / 2);
  cli::CreateOptions options;
  options.version_ = version;
  options.model_ = "pitch-advisor";
  options.model_files_ = {model};
  options.adapters_ = {"creole=" + adapter};
  options.roles_ = {"chat"};
  options.chunk_bytes_ = chunk_bytes;
  options.out_ = spec_.folder_;
  cli::CreateBundle(options);
  const auto payload = cli::ReadFile(spec_.folder_ + "/bundle.json");
  return bundle::Serialize(bundle::Sign(key_, bundle::kBundleContext, payload));
}

std::size_t Fleet::CountServing(std::uint64_t version) {
  std::size_t serving = 0;
  for (auto* node : Engines()) {
    if (!node->published_) {
      continue;
    }
    const auto status = GetJson(node->admin_address_, "/status");
    const bool serves = status.is_object() && status.value("ready", false) &&
                        status.value("version", std::uint64_t{0}) == version;
    serving += serves ? 1 : 0;
  }
  return serving;
}

bool Fleet::WaitFor(const std::function<bool()>& condition,
                    std::chrono::milliseconds limit) {
  const auto until = std::chrono::steady_clock::now() + limit;
  while (!condition()) {
    if (std::chrono::steady_clock::now() >= until) {
      return false;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return true;
}

bool Fleet::WaitLive(std::uint64_t version, std::chrono::milliseconds limit) {
  const auto engines = Engines();
  const auto listed = static_cast<std::size_t>(std::ranges::count_if(
      engines, [](const Node* node) { return node->published_; }));
  return WaitFor([&] { return CountServing(version) == listed; }, limit);
}

bool Fleet::WaitEntriesReady(std::chrono::milliseconds limit) {
  const auto expected = std::ranges::count_if(nodes_, [](const Node& node) {
    return !node.is_entry_ && node.published_;
  });
  return WaitFor(
      [&] {
        return std::ranges::all_of(Entries(), [&](Node* entry) {
          const auto status = GetJson(entry->admin_address_, "/status");
          if (!status.is_object() || !status.value("ready", false)) {
            return false;
          }
          return std::ranges::count_if(status["endpoints"],
                                       [](const nlohmann::json& endpoint) {
                                         return endpoint.value("ready", false);
                                       }) == expected;
        });
      },
      limit);
}

}  // namespace chalkwell::fleet
