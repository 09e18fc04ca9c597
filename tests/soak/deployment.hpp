// A deployment of many real entry and agent processes, each on its own loopback
// address, with fakes of the configuration store and the endpoints. Relays lie
// on the paths to the store and to some endpoints, so that these can be held.
#pragma once

#include <cstdint>
#include <deque>
#include <filesystem>
#include <map>
#include <memory>
#include <mutex>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "fleet/child.hpp"
#include "fleet/relay.hpp"
#include "fleet/suspension.hpp"
#include "platform/standins.hpp"
#include "soak/checker.hpp"

namespace chalkwell::soak {

/// From the arrival of a request at an endpoint to its run.
inline constexpr milliseconds kEndpointRunDelay{60};
/// Least timeout of requests with a long deadline in any version of the rules.
inline constexpr milliseconds kLeastTimeout{4000};

/// @brief Size and bounds of a deployment.
struct DeploymentSettings {
  std::size_t domains_ = 3;
  std::size_t entries_ = 13;  ///< per failure domain
  std::size_t engines_ = 15;  ///< per failure domain, each with an agent
  std::size_t services_ = 2;  ///< plain service endpoints per failure domain
  /// Engines per failure domain that are reached through a relay; plain
  /// services always are.
  std::size_t relayed_ = 3;
  /// Settings of the entries' retry budget.
  std::string retry_budget_ = "retry_share = 0.2\nretry_reserve = 228\n";
  Bounds bounds_;
  /// Path of the chalkwelld to run; may be of another revision, to compare.
  std::string daemon_ = fleet::DaemonPath();
  /// For settings and logs of all processes.
  std::filesystem::path folder_;
};

/// @brief An entry process.
struct Entry {
  std::string name_;
  std::string domain_;
  std::string ip_;
  /// Address of the relay to its configuration store.
  std::string store_address_;
  fleet::Child child_;
  std::unique_ptr<fleet::Suspension> suspension_;
  /// Whether it is paused or being restarted.
  bool stopped_ = false;
};

/// @brief An address at which incarnations of an endpoint follow each other.
struct EndpointHost {
  std::string domain_;
  std::string service_;
  bool is_engine_ = false;
  /// Whether it is reached through a relay.
  bool relayed_ = false;
  std::string address_;
  std::unique_ptr<standins::EndpointStandin> endpoint_;
  fleet::Child agent_;
  /// Number of the current incarnation, from 1.
  std::uint64_t incarnation_ = 0;
};

/// @brief Starts and owns all processes, fakes and relays.
class Deployment {
 public:
  Deployment(DeploymentSettings settings, Checker& checker);
  ~Deployment();
  Deployment(const Deployment&) = delete;
  Deployment& operator=(const Deployment&) = delete;

  /// @brief Starts all processes and waits until they are ready.
  /// @return false if some entry is not ready or some engine has no weights
  /// when the start timeout ends.
  [[nodiscard]] bool Start();
  void StartEntry(Entry& entry);
  [[nodiscard]] bool IsReady(const Entry& entry) const;
  /// @brief Metrics page of an entry.
  [[nodiscard]] std::string Metrics(const Entry& entry) const;
  /// @brief Adds the counters of an entry's current process to the totals.
  void CollectMetrics(const Entry& entry);
  /// @brief Collected values by name, over all labels.
  [[nodiscard]] std::map<std::string, double>& totals() { return totals_; }
  /// @brief Publishes the next version of the rules: it changes, in turn, the
  /// timeout of requests with a long deadline, the one of idle connections, a
  /// route that no caller uses, and the keys of a client account.
  void ChangeRules();
  [[nodiscard]] unsigned rules_version() const noexcept {
    return rules_version_;
  }

  /// @brief Writes the row of the current incarnation to the store.
  void PutRow(EndpointHost& host, const std::string& state);
  void RemoveRow(EndpointHost& host);
  /// @brief Keys that endpoints and operators wrote or removed.
  [[nodiscard]] std::vector<std::string> WrittenKeys() const;
  /// @brief Writes or removes a key as its writer did last, unless the store
  /// still has it so.
  void WriteAgain(const std::string& key);
  /// @brief Starts the next incarnation at a host and lists it as ready.
  /// @param same_id whether it keeps the id of the previous one.
  void StartIncarnation(EndpointHost& host, bool same_id);

  /// @brief Hosts whose endpoints crashed since the last call.
  [[nodiscard]] std::vector<EndpointHost*> TakeCrashed();

  [[nodiscard]] std::deque<Entry>& entries() noexcept { return entries_; }
  [[nodiscard]] std::deque<EndpointHost>& hosts() noexcept { return hosts_; }
  [[nodiscard]] standins::StoreStandin& store() noexcept { return *store_; }
  [[nodiscard]] fleet::Relay& relay() noexcept { return *relay_; }
  [[nodiscard]] std::string CallerAddress(const Entry& entry) const;
  [[nodiscard]] const DeploymentSettings& settings() const noexcept {
    return settings_;
  }

 private:
  void PutRules();
  /// @param value null to remove the key.
  void Write(const std::string& key, const nlohmann::json& value);
  void AddEntries();
  void AddHosts();
  void StartAgent(EndpointHost& host);
  [[nodiscard]] std::string MeshSeeds() const;
  [[nodiscard]] std::string StoreAddress() const;

  DeploymentSettings settings_;
  Checker& checker_;
  standins::LoopThread thread_;
  std::uint16_t caller_port_ = fleet::FreePort();
  std::uint16_t ready_port_ = fleet::FreePort();
  std::uint16_t peer_port_ = fleet::FreePort();
  std::uint16_t admin_port_ = fleet::FreePort();
  std::uint16_t endpoint_port_ = fleet::FreePort();
  std::uint16_t store_port_ = fleet::FreePort();
  std::unique_ptr<standins::StoreStandin> store_;
  /// By key, as its writer wrote it last; null once it was removed.
  std::map<std::string, nlohmann::json> written_;
  std::unique_ptr<standins::OriginStandin> origin_;
  std::vector<fleet::RelayRoute> routes_;
  std::unique_ptr<fleet::Relay> relay_;
  std::deque<EndpointHost> hosts_;
  std::deque<Entry> entries_;
  milliseconds long_timeout_{6000};
  milliseconds idle_timeout_{30000};
  bool extra_route_ = false;
  std::vector<std::string> account_keys_;
  unsigned rules_version_ = 0;
  std::map<std::string, double> totals_;
  std::mutex mutex_;
  /// Guarded by `mutex_`.
  std::vector<EndpointHost*> crashed_;
};

}  // namespace chalkwell::soak
