// What happens to a deployment, drawn from a seed: endpoints leave and return
// in every way, while processes, paths and the store are disturbed.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <string>

#include "soak/callers.hpp"
#include "soak/judge.hpp"
#include "soak/world.hpp"

namespace chalkwell::soak {

/// @brief What may be played.
struct TroubleSettings {
  std::uint64_t seed_ = 1;
  std::chrono::seconds length_{40};
  /// Mean pause between two departures of endpoints, and two disturbances.
  milliseconds departures_{400};
  milliseconds disturbances_{1500};
  /// Kinds to play, by name; empty for all.
  std::string only_;
};

/// @brief Plays on the calling thread until its time is over.
class Troubles {
 public:
  Troubles(TroubleSettings settings, World& world, Callers& callers,
           Judge& judge);

  void Play();
  /// @brief How often each kind was played.
  [[nodiscard]] const std::map<std::string, unsigned>& played() const {
    return played_;
  }

 private:
  using Action = std::function<void()>;
  struct Kind {
    std::string name_;
    std::function<void()> begin_;
  };

  void AddDepartures();
  void AddDisturbances();
  void Begin(const std::vector<Kind>& kinds);
  void Later(milliseconds delay, Action action);
  [[nodiscard]] milliseconds Between(int least, int most);
  [[nodiscard]] milliseconds Pause(milliseconds mean);

  /// A place whose endpoint is listed and serves.
  [[nodiscard]] Place* Settled();
  /// @param says whether it states that it drains.
  /// @param same_id whether the next life bears the same id.
  void Leave(bool says, bool same_id);
  void Depart(Place& place, bool says, bool same_id);
  void LeaveHeld();
  void EndLife(Place& place, bool same_id);
  void Lapse();
  [[nodiscard]] Entry* Running();
  void Freeze(Entry& entry);
  void Suspend(Entry& entry);
  void Pause(Entry& entry, bool suspended);
  void CrashEndpoints();
  /// @brief Endpoints that crashed begin their next lives some seconds later.
  void ReviveCrashed();
  void Revive(Place& place);
  void FreezeDomain();
  void Restart(int signal);
  void HoldStore(fleet::Way way);
  void HoldEndpoint(fleet::Way way);
  void Hold(Place& place, fleet::Way way, milliseconds length);
  void ResetEndpoint();
  void StoreBusy(unsigned per_mille, milliseconds length);
  void StoreSlow();

  TroubleSettings settings_;
  World& world_;
  Callers& callers_;
  Judge& judge_;
  std::mt19937_64 random_;
  std::vector<Kind> departures_;
  std::vector<Kind> disturbances_;
  std::multimap<TimePoint, Action> due_;
  /// Places where something is under way.
  std::map<const Place*, bool> busy_;
  std::map<std::string, unsigned> played_;
};

}  // namespace chalkwell::soak
