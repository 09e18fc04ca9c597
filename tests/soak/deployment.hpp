// A deployment of real entries and agents in numbers, on addresses of their
// own, against stand-ins of the store and the endpoints, with relays between.
#pragma once

#include <cstdint>
#include <deque>
#include <filesystem>
#include <memory>
#include <mutex>
#include <string>
#include <vector>

#include "fleet/child.hpp"
#include "fleet/relay.hpp"
#include "fleet/suspension.hpp"
#include "platform/standins.hpp"
#include "soak/judge.hpp"

namespace chalkwell::soak {

/// @brief Size of a deployment.
struct WorldSettings {
  std::size_t domains_ = 3;
  std::size_t entries_ = 13;  ///< of each domain
  std::size_t engines_ = 15;  ///< of each domain, each with an agent
  std::size_t services_ = 2;  ///< plain endpoints of each domain
  /// Endpoints of each domain whose paths can be held up.
  std::size_t relayed_ = 3;
  Bounds bounds_;
  /// Program that is run; another revision's to compare with.
  std::string daemon_ = fleet::DaemonPath();
  /// Kept, with the logs of all processes, when something was found.
  std::filesystem::path folder_;
};

/// @brief An entry process.
struct Entry {
  std::string name_;
  std::string domain_;
  std::string ip_;
  /// Where its store is reached, through a relay.
  std::string store_;
  fleet::Child child_;
  std::unique_ptr<fleet::Suspension> clocks_;
  bool stopped_ = false;
};

/// @brief The place of an endpoint: lives follow each other in it.
struct Place {
  std::string domain_;
  std::string service_;
  bool engine_ = false;
  /// Its path can be held up.
  bool relayed_ = false;
  std::string address_;
  std::unique_ptr<standins::EndpointStandin> endpoint_;
  fleet::Child agent_;
  std::uint64_t life_ = 0;
};

/// @brief The whole deployment.
class World {
 public:
  World(WorldSettings settings, Judge& judge);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /// @brief Starts all processes.
  /// @return false when some entry is not ready in time.
  [[nodiscard]] bool Start();
  void StartEntry(Entry& entry);
  [[nodiscard]] bool Ready(const Entry& entry) const;
  /// @brief What an entry's metrics page says.
  [[nodiscard]] std::string Metrics(const Entry& entry) const;

  /// @brief Writes the row of a place's present life.
  void PutRow(Place& place, const std::string& state);
  void RemoveRow(Place& place);
  /// @brief Begins the next life in a place.
  /// @param same_id it bears the id of the one before.
  void BeginLife(Place& place, bool same_id);

  /// @brief Places whose endpoints crashed since the last call.
  [[nodiscard]] std::vector<Place*> TakeCrashed();

  [[nodiscard]] std::deque<Entry>& entries() noexcept { return entries_; }
  [[nodiscard]] std::deque<Place>& places() noexcept { return places_; }
  [[nodiscard]] standins::StoreStandin& store() noexcept { return *store_; }
  [[nodiscard]] fleet::Relay& relay() noexcept { return *relay_; }
  [[nodiscard]] std::string CallerAddress(const Entry& entry) const;
  [[nodiscard]] const WorldSettings& settings() const noexcept {
    return settings_;
  }

 private:
  void PutRules();
  void AddEntries();
  void AddPlaces();
  void StartAgent(Place& place);
  [[nodiscard]] std::string Seeds() const;
  [[nodiscard]] std::string StoreAddress() const;

  WorldSettings settings_;
  Judge& judge_;
  standins::LoopThread thread_;
  std::uint16_t caller_port_ = fleet::FreePort();
  std::uint16_t ready_port_ = fleet::FreePort();
  std::uint16_t peer_port_ = fleet::FreePort();
  std::uint16_t admin_port_ = fleet::FreePort();
  std::uint16_t endpoint_port_ = fleet::FreePort();
  std::uint16_t store_port_ = fleet::FreePort();
  std::unique_ptr<standins::StoreStandin> store_;
  std::unique_ptr<standins::OriginStandin> origin_;
  std::vector<fleet::RelayRoute> routes_;
  std::unique_ptr<fleet::Relay> relay_;
  std::deque<Place> places_;
  std::deque<Entry> entries_;
  std::mutex mutex_;
  std::vector<Place*> crashed_;
};

}  // namespace chalkwell::soak
