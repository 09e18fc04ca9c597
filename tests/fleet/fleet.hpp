// A fleet of real entry and agent processes with fakes of the external systems.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "chalkwell/bundle/signature.hpp"
#include "fleet/child.hpp"
#include "fleet/http.hpp"
#include "fleet/relay.hpp"

namespace chalkwell::fleet {

/// @brief Values by "section.key"; they override the fleet's settings.
using ExtraSettings = std::map<std::string, std::string>;

/// @brief Size and settings of a fleet.
struct FleetSpec {
  std::vector<std::string> domains_ = {"port-louis"};
  unsigned entries_ = 1;   ///< per failure domain
  unsigned engines_ = 1;   ///< per failure domain, each with an agent
  unsigned services_ = 0;  ///< per failure domain, each with an agent
  /// Folder for settings, logs and blobs; created if it does not exist.
  std::string folder_;
  ExtraSettings entry_settings_;
  ExtraSettings agent_settings_;
  std::vector<std::string> engine_arguments_;
  std::vector<std::string> store_arguments_;
  std::vector<std::string> origin_arguments_;
  std::uint64_t list_lag_ms_ = 0;
  bool checks_fencing_ = true;
  /// Whether a few processes run all engines and one runs all services, instead
  /// of one process per backend.
  bool shared_backends_ = false;
  /// Whether peers and the configuration store are reached through relays, so
  /// that failure domains can be isolated.
  bool uses_relays_ = false;
  /// Settings of single nodes, by id; they override the others.
  std::map<std::string, ExtraSettings> node_settings_;
};

/// @brief An entry, or an agent with its backend, and their addresses.
struct Node {
  std::string id_;
  std::string domain_;
  std::string role_;
  bool is_entry_ = false;
  bool is_engine_ = false;
  std::string caller_address_;
  std::string admin_address_;
  std::string peer_address_;
  /// Published peer address: that of the relay, if there is one.
  std::string listed_peer_;
  std::string backend_address_;
  std::string settings_path_;
  std::string log_path_;
  /// Whether its row is published.
  bool published_ = true;
  /// Whether its row says that it is draining.
  bool draining_ = false;
  Child process_;
  Child backend_process_;
};

/// @brief Owns the processes of a fleet; the destructor kills them.
class Fleet {
 public:
  explicit Fleet(FleetSpec spec);

  [[nodiscard]] std::vector<Node>& nodes() noexcept { return nodes_; }
  [[nodiscard]] Node& node(const std::string& id);
  [[nodiscard]] std::vector<Node*> Entries();
  [[nodiscard]] std::vector<Node*> Engines();
  [[nodiscard]] std::vector<Node*> Services();
  [[nodiscard]] const std::string& platform() const noexcept {
    return platform_;
  }
  [[nodiscard]] const std::string& store() const noexcept { return store_; }
  [[nodiscard]] const std::string& origin() const noexcept { return origin_; }
  [[nodiscard]] const std::string& folder() const noexcept {
    return spec_.folder_;
  }
  [[nodiscard]] const bundle::KeyPair& key() const noexcept { return key_; }
  /// @brief Bearer key of the fleet's first account.
  [[nodiscard]] static std::string CallerKey();

  /// @brief Starts the configuration store, the weights store, the origin and
  /// the backends, and waits until the first three listen.
  /// @throws std::runtime_error if one of them does not listen within 10 s.
  void StartExternalServices();
  /// @brief Starts all entries and agents.
  void StartNodes();
  void StartNode(Node& node);
  /// @brief Overrides a setting of one node; takes effect at its next start.
  void SetNodeSetting(const std::string& id, const std::string& name,
                      const std::string& value);
  void StartBackend(Node& node);
  /// @brief Isolates a failure domain from the others and from the
  /// configuration store. Requires FleetSpec::relayed_.
  void Isolate(const std::string& domain);
  /// @brief Ends all isolations.
  void Heal();
  /// @brief Publishes instances, accounts and routes.
  void PublishFleet();
  void PublishInstances();
  /// @brief Publishes a document in the configuration store.
  /// @throws std::runtime_error if the store refuses it.
  void Publish(const std::string& key, const std::string& value);
  /// @brief Creates weights from a seed and signs their bundle, without
  /// publishing it.
  /// @return the signed document.
  [[nodiscard]] std::string MakeBundle(std::uint64_t version,
                                       std::uint64_t seed,
                                       std::uint64_t model_bytes,
                                       std::uint64_t chunk_bytes);
  /// @brief Number of listed engines whose agent reports that it is ready and
  /// serves a version.
  [[nodiscard]] std::size_t CountServing(std::uint64_t version);
  /// @brief Polls a condition until it holds.
  /// @return false if it does not hold within the limit.
  [[nodiscard]] static bool WaitFor(const std::function<bool()>& condition,
                                    std::chrono::milliseconds limit);
  /// @brief Waits until all listed engines serve a version.
  /// @return false if they do not within the limit.
  [[nodiscard]] bool WaitLive(std::uint64_t version,
                              std::chrono::milliseconds limit);
  /// @brief Waits until every entry is ready and knows as many ready endpoints
  /// as are listed.
  /// @return false if this does not hold within the limit.
  [[nodiscard]] bool WaitEntriesReady(std::chrono::milliseconds limit);

 private:
  void AddNodes();
  void AddRelay();
  void StartSharedBackends();
  void WriteSettings(const Node& node) const;
  [[nodiscard]] std::string LogPath(const std::string& name) const;

  FleetSpec spec_;
  bundle::KeyPair key_;
  std::string platform_;
  std::string store_;
  std::string origin_;
  std::vector<Node> nodes_;
  std::unique_ptr<Relay> relay_;
  Child platform_process_;
  Child store_process_;
  Child origin_process_;
  std::vector<Child> shared_backend_processes_;
};

/// @brief Writes a file of pseudo-random bytes generated from a seed.
void WriteRandomFile(const std::string& path, std::uint64_t seed,
                     std::uint64_t bytes);

}  // namespace chalkwell::fleet
