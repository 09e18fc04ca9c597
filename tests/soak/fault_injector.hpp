// Injects faults into a soak deployment, chosen at random from a seed:
// endpoints leave and return in every way, while processes, network paths
// and the configuration store are disturbed.
#pragma once

#include <chrono>
#include <functional>
#include <map>
#include <random>
#include <string>

#include "soak/callers.hpp"
#include "soak/checker.hpp"
#include "soak/deployment.hpp"
#include "soak/foreign_writer.hpp"

namespace chalkwell::soak {

/// @brief Which faults are injected, and how often.
struct FaultSettings {
  std::uint64_t seed_ = 1;
  std::chrono::seconds duration_{40};
  /// Mean intervals, exponentially distributed, between two departures of
  /// endpoints and between two disturbances.
  milliseconds mean_departure_interval_{400};
  milliseconds mean_disturbance_interval_{1500};
  /// Names of the disturbances to inject, separated by commas; empty for all.
  /// Departures are always injected.
  std::string only_kinds_;
};

/// @brief Injects departures of endpoints and disturbances, and reports both to
/// the checker.
///
/// A departure is a planned or unplanned end of an endpoint incarnation. A
/// disturbance affects an entry, the path to an endpoint or the store, so that
/// the checker suspends its checks for what is affected.
class FaultInjector {
 public:
  FaultInjector(FaultSettings settings, Deployment& deployment,
                Callers& callers, Checker& checker);

  /// @brief Injects faults on the calling thread for the configured duration,
  /// then resumes paused entries and releases held paths.
  void Run();
  /// @brief How often each fault kind was injected, by name; an injection that
  /// found no suitable target counts too.
  [[nodiscard]] const std::map<std::string, unsigned>& injected() const {
    return injected_;
  }

 private:
  using Action = std::function<void()>;
  struct Kind {
    std::string name_;
    std::function<void()> inject_;
  };

  void AddDepartures();
  void AddDisturbances();
  void InjectRandom(const std::vector<Kind>& kinds);
  void Schedule(milliseconds delay, Action action);
  [[nodiscard]] milliseconds DrawBetween(int least, int most);
  [[nodiscard]] milliseconds DrawInterval(milliseconds mean);

  /// Draws a host at random.
  /// @return null if it is busy, or if too many hosts of its service are.
  [[nodiscard]] EndpointHost* PickIdleHost();
  /// Lets a random endpoint depart.
  /// @param announces whether its row says that it is draining; otherwise the
  /// row is removed at once.
  /// @param same_id whether the next incarnation has the same id.
  void DepartRandom(bool announces, bool same_id);
  void Depart(EndpointHost& host, bool announces, bool same_id);
  /// Holds the path to a random endpoint and lets it depart meanwhile.
  void DepartWithHeldPath();
  void StopThenRestart(EndpointHost& host, bool same_id);
  /// Removes the row of a random endpoint that keeps running, and restores it
  /// later.
  void RemoveAndRelist();
  /// Draws an entry at random.
  /// @return null if it is paused or restarting.
  [[nodiscard]] Entry* PickRunningEntry();
  void Freeze(Entry& entry);
  void Suspend(Entry& entry);
  /// @param suspended whether the machine is suspended: its steady clock does
  /// not count the pause.
  void PauseEntry(Entry& entry, bool suspended, milliseconds duration);
  void CrashEndpoints(Callers::Cause cause);
  /// Schedules the next incarnations of endpoints that crashed.
  void RestartCrashed();
  void RestartAfterCrash(EndpointHost& host);
  /// Pauses about half of the running entries of a random failure domain.
  void FreezeDomain();
  /// @param signal SIGKILL, or SIGTERM for a planned stop.
  void RestartEntry(int signal);
  void HoldStorePath(fleet::Direction direction);
  void HoldEndpointPath(fleet::Direction direction);
  void HoldPath(EndpointHost& host, fleet::Direction direction,
                milliseconds duration);
  void ResetEndpointConnections();
  /// Some endpoints cut off their streams, which have no length, for a while.
  void TruncateStreams();
  /// Some endpoints state a rate limit for a while.
  void StateRateLimits();
  void StateRateLimit(EndpointHost& host);
  /// Some endpoints refuse all requests for a while, and state for how long
  /// they accept none.
  void RefuseForAWhile();
  /// Many endpoints fail all requests for a while.
  void FailRequests();
  /// Most entries are killed at once.
  void KillHerd();
  /// Some endpoints state that they leave while the store is down, and leave
  /// when it is back.
  void StateLeaving();
  /// One endpoint, or a share of all, sends nothing for a while: within streams
  /// or before responses.
  void SilenceEndpoints();
  void Silence(EndpointHost& host);
  /// Publishes several versions of the rules in a row.
  void ChangeRules();
  /// Publishes a long series of rules while the watchers of a random failure
  /// domain do not reach the store, or are frozen, and probes whether they are
  /// in force.
  void ChangeRulesInSeries();
  /// Marks it in the checker now and repeatedly: a disturbance may last longer
  /// than it remembers one.
  void MarkDisturbed(const Entry& entry, milliseconds duration);
  void HoldStorePathOf(Entry& entry, milliseconds duration);
  /// @param per_mille share of the store's calls that get 503.
  void RejectStoreCalls(unsigned per_mille, milliseconds duration);
  void DelayStore();
  /// The store is down for a while and returns from an older copy; its writers
  /// write again what it lost.
  void RestoreStore();
  void WriteLostValuesAgain();

  FaultSettings settings_;
  Deployment& deployment_;
  Callers& callers_;
  Checker& checker_;
  std::mt19937_64 random_;
  ForeignWriter foreign_writer_;
  std::vector<Kind> departure_kinds_;
  std::vector<Kind> disturbance_kinds_;
  std::multimap<TimePoint, Action> scheduled_;
  /// Hosts whose endpoint is departing or is not listed again yet.
  std::map<const EndpointHost*, bool> busy_;
  std::map<std::string, unsigned> injected_;
  /// From the copy of the store until the next one may be saved.
  bool restoring_store_ = false;
  /// While a series of rules is published and probed.
  bool in_series_ = false;
};

}  // namespace chalkwell::soak
