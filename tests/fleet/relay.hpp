// A relay between the processes of a fleet that cuts failure domains off: what
// crosses the cut is held in silence, as on a broken link.
#pragma once

#include <atomic>
#include <cstdint>
#include <list>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <thread>
#include <vector>

namespace chalkwell::fleet {

/// @brief One address that is relayed to another.
struct RelayRoute {
  std::string listen_;
  std::string target_;
  /// Domain of whoever connects; told by the source address when empty.
  std::string from_;
  /// Domain of the target; empty for systems outside.
  std::string to_;
};

/// @brief Directions of a route.
enum class Way : std::uint8_t { kBoth, kToTarget, kBack };

/// @brief Relays until it is destroyed.
class Relay {
 public:
  /// @param domain_of_ip domain of each source address.
  /// @throws std::runtime_error when an address cannot be listened on.
  Relay(std::vector<RelayRoute> routes,
        std::map<std::string, std::string> domain_of_ip);
  ~Relay();
  Relay(const Relay&) = delete;
  Relay& operator=(const Relay&) = delete;

  /// @brief Holds what goes between the domain and the rest from now on.
  void CutOff(const std::string& domain);
  /// @brief Holds what comes over one route from now on, or what goes back.
  /// @param listen address of the route.
  void Silence(const std::string& listen, Way way);
  /// @brief Ends the silence of one route: what its sides gave up meanwhile by
  /// a reset is dropped, as their systems would not send it any more.
  void Restore(const std::string& listen);
  /// @brief Resets all connections of one route.
  void ResetAll(const std::string& listen);
  /// @brief Ends all cuts and silences.
  void Heal();

 private:
  struct Listener;
  struct Pair;

  void Run();
  void Accept(const Listener& listener);
  [[nodiscard]] bool IsCut(const Pair& pair);
  /// @param side 0 for what comes from the one who connected.
  [[nodiscard]] bool IsSilent(const Pair& pair, std::size_t side);
  void CloseMarked();

  std::map<std::string, std::string> domain_of_ip_;
  std::list<Listener> listeners_;
  std::list<Pair> pairs_;
  std::mutex mutex_;
  /// Guarded by `mutex_`.
  std::set<std::string> cut_;
  /// By listening address. Guarded by `mutex_`.
  std::map<std::string, Way> silent_;
  /// Routes whose connections are to be reset. Guarded by `mutex_`.
  std::set<std::string> resets_;
  std::atomic<bool> stopping_ = false;
  std::thread thread_;
};

}  // namespace chalkwell::fleet
