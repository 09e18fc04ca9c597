// A model of entries, agents, engines, callers and operators that exchange the
// decision modules' own messages through a lossy, reordering, duplicating,
// delaying, partitioning hand-over, while processes pause, restart empty and
// overlap with their replacement. Oracles watch every step.
#pragma once

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <vector>

#include "chalkwell/config/accepted_documents.hpp"
#include "chalkwell/membership/graceful_shutdown.hpp"
#include "chalkwell/membership/roster.hpp"
#include "chalkwell/rollout/activation.hpp"
#include "chalkwell/routing/execution_guard.hpp"
#include "chalkwell/routing/request_tracker.hpp"
#include "chalkwell/swarm/assembly.hpp"
#include "fuzz/oracle.hpp"
#include "fuzz/published.hpp"

namespace chalkwell::fuzz {

/// @brief Seeded faults of all modules; all off in the real proof.
struct Faults {
  config::AcceptanceFaults acceptance_;
  rollout::ActivationFaults activation_;
  routing::RequestFaults request_;
  routing::GuardFaults guard_;
  swarm::AssemblyFaults assembly_;
  membership::ShutdownFaults stop_;
  membership::RosterFaults roster_;
};

/// @brief The model; one short life of a small fleet.
class World {
 public:
  World(std::uint64_t seed, const Faults& faults);
  ~World();
  World(const World&) = delete;
  World& operator=(const World&) = delete;

  /// @brief Does one random thing.
  void Step();
  /// @brief Heals everything, lets the fleet come to rest, and checks that all
  /// processes agree.
  void Settle();
  [[nodiscard]] const Oracle& oracle() const noexcept { return oracle_; }

 private:
  struct Engine;
  struct Agent;
  struct Entry;
  struct Request;
  struct Message;

  using AgentPtr = std::shared_ptr<Agent>;
  using EntryPtr = std::shared_ptr<Entry>;

  // Choices.
  [[nodiscard]] std::uint64_t Below(std::uint64_t bound);
  [[nodiscard]] bool Chance(unsigned percent);
  [[nodiscard]] AgentPtr AnyAgent();
  [[nodiscard]] EntryPtr AnyEntry();

  // Operators and platform.
  void PublishSomething();
  void ReadPlatform();
  void Offer(config::AcceptedDocuments& documents, int process,
             const config::Document& document);
  void SyncSomewhere();

  // Agents.
  void StartAgent(std::size_t engine, std::uint64_t incarnation);
  void TickAgent(const AgentPtr& agent);
  void ReadOwnRow(const AgentPtr& agent);
  void Perform(const AgentPtr& agent, const rollout::Actions& actions);
  void OnTarget(const AgentPtr& agent);
  void AskForChunk(const AgentPtr& agent);
  void Report(const AgentPtr& agent);
  void CheckPause(const AgentPtr& agent);
  void HandleRun(const AgentPtr& agent, const Message& message);
  void EndWork(const AgentPtr& agent, std::uint64_t execution, bool finished);

  // Engines.
  void Execute(const AgentPtr& agent, const Message& run);
  void FinishExecution(std::size_t engine);
  void HandleOrder(Engine& engine, const Message& message);
  void RestartEngine(Engine& engine);

  // Entries and callers.
  void NewRequest();
  void RetryByTicket();
  void Perform(const EntryPtr& entry, Request& request,
               const routing::RequestActions& actions);
  void Choose(const EntryPtr& entry, Request& request, bool same_weights);
  void SendRun(const EntryPtr& entry, Request& request,
               const routing::SendAttempt& send);
  void HandleFrame(const EntryPtr& entry, const Message& message);
  void LoseAttempt(const Request& request);
  void LoseSomeAttempt();

  // Hand-over.
  void Send(Message message);
  void DeliverSomething();
  void DropSomething();
  void DuplicateSomething();
  void ReleaseDelayed();
  void Deliver(const Message& message);
  [[nodiscard]] bool IsCut(const Message& message) const;
  [[nodiscard]] std::size_t FirstOfStream(std::size_t index) const;

  // Faults of processes.
  void Disturb();
  void RunCalm(int rounds);
  /// All agents die; fresh ones hear nothing but the oldest document.
  void RestartUnderStaleService();
  void OfferAllShown();
  void PauseSomething();
  void KillAgent();
  void KillEntry();
  void ListInstances(Entry& entry);
  void ListLeaving(std::size_t engine);
  void StopSomething();
  void ExitStopped();

  Faults faults_;
  std::mt19937_64 random_;
  Oracle oracle_;
  const Published& published_;
  core::TimePoint now_;
  int next_id_ = 1;
  std::uint64_t next_request_ = 1;
  std::uint64_t next_incarnation_ = 1;
  std::uint64_t next_execution_ = 1;
  /// Documents shown by the service, oldest first.
  std::vector<config::Document> shown_;
  std::size_t next_published_ = 0;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::vector<AgentPtr> agents_;
  std::vector<EntryPtr> entries_;
  std::map<std::uint64_t, std::unique_ptr<Request>> requests_;
  std::vector<Message> messages_;
  /// Copies that arrive much later.
  std::vector<Message> delayed_;
  /// Processes that are cut off from all others.
  std::set<int> cut_;
  bool settling_ = false;
  /// How often something goes wrong in this life.
  std::uint64_t turbulence_ = 1;
};

}  // namespace chalkwell::fuzz
