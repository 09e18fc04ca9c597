// Randomized simulation of a small deployment. Entries, agents, engines,
// callers and operators exchange the real messages of the decision modules over
// a network that loses, reorders, duplicates, delays and partitions them, while
// processes are suspended, crash, restart without state and overlap with their
// replacements. An oracle checks the invariants at every step.
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
#include "chalkwell/membership/listed_endpoints.hpp"
#include "chalkwell/rollout/activation.hpp"
#include "chalkwell/routing/execution_guard.hpp"
#include "chalkwell/routing/request_tracker.hpp"
#include "chalkwell/swarm/assembly.hpp"
#include "fuzz/oracle.hpp"
#include "fuzz/published_documents.hpp"

namespace chalkwell::fuzz {

/// @brief Faults injected into the modules under test; none by default.
struct Faults {
  config::AcceptanceFaults acceptance_;
  rollout::ActivationFaults activation_;
  routing::RequestFaults request_;
  routing::GuardFaults guard_;
  swarm::AssemblyFaults assembly_;
  membership::ShutdownFaults shutdown_;
  membership::ListedEndpointsFaults roster_;
};

/// @brief One run of a simulated deployment in virtual time.
///
/// The run depends only on the seed and the injected faults.
class Simulation {
 public:
  Simulation(std::uint64_t seed, const Faults& faults);
  ~Simulation();
  Simulation(const Simulation&) = delete;
  Simulation& operator=(const Simulation&) = delete;

  /// @brief Advances the time, delivers up to three messages, and performs one
  /// random action or injects one environment fault.
  void Step();
  /// @brief Ends partitions and suspensions, starts a new agent for each
  /// engine, runs without faults and checks that all processes agree. Then
  /// restarts all agents while the configuration store is stale and checks that
  /// the endpoints accept work.
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

  // Random choices.
  /// @return a number in [0, bound).
  [[nodiscard]] std::uint64_t RandomBelow(std::uint64_t bound);
  /// @return true with the given probability.
  [[nodiscard]] bool Chance(unsigned percent);
  /// @return a live agent, or null.
  [[nodiscard]] AgentPtr RandomAgent();
  /// @return a live entry, or null.
  [[nodiscard]] EntryPtr RandomEntry();

  // Operators and configuration store.
  void PublishNextDocument();
  /// A random process receives a document from the configuration store, which
  /// may return an outdated one.
  void FetchDocument();
  void ApplyDocument(config::AcceptedDocuments& documents, int process,
                     const config::Document& document);
  /// Sends the documents of a random entry to a random process.
  void SyncDocuments();

  // Agents.
  void StartAgent(std::size_t engine, std::uint64_t incarnation);
  void TickAgent(const AgentPtr& agent);
  /// Tells the agent whether the published list contains its process.
  void UpdateListed(const AgentPtr& agent);
  void Perform(const AgentPtr& agent, const rollout::Actions& actions);
  /// Passes the accepted bundle to the agent's activation.
  void ApplyTarget(const AgentPtr& agent);
  void FetchChunks(const AgentPtr& agent);
  void SendReports(const AgentPtr& agent);
  void CheckSuspension(const AgentPtr& agent);
  void HandleRun(const AgentPtr& agent, const Message& message);
  void EndWork(const AgentPtr& agent, std::uint64_t execution, bool finished);

  // Engines.
  void Execute(const AgentPtr& agent, const Message& run);
  /// Sends the next frame of a random execution of the engine; the last one
  /// ends it.
  void AdvanceExecution(std::size_t engine_index);
  void HandleOrder(Engine& engine, const Message& message);
  /// The engine loses its weights, staged chunks and executions.
  void RestartEngine(Engine& engine);

  // Entries and callers.
  void StartRequest();
  /// A caller retries a request of unknown outcome with its ticket.
  void RetryWithTicket();
  void Perform(const EntryPtr& entry, Request& request,
               const routing::RequestActions& actions);
  void SelectEndpoint(const EntryPtr& entry, Request& request,
                      bool same_weights);
  void SendRun(const EntryPtr& entry, Request& request,
               const routing::SendAttempt& send);
  void HandleFrame(const EntryPtr& entry, const Message& message);
  /// Breaks the stream of the request's current attempt. Its frames in flight
  /// are lost or arrive after the entry has noticed; its run is lost or, if it
  /// has a ticket, may still arrive.
  void LoseAttempt(const Request& request);
  void LoseRandomAttempt();

  // Network.
  void Send(Message message);
  void DeliverRandomMessage();
  void DropRandomMessage();
  void DuplicateRandomMessage();
  void SendDelayedMessage();
  void Deliver(const Message& message);
  /// Whether a partition or a suspended receiver holds the message up.
  [[nodiscard]] bool IsBlocked(const Message& message) const;
  /// Index of the first message in flight of the same stream. Frames of one
  /// attempt, and reports of one agent to one entry, keep their order.
  [[nodiscard]] std::size_t FirstOfStream(std::size_t index) const;

  // Environment faults: of the network and of processes.
  void InjectEnvironmentFault();
  /// Runs rounds of 100 ms in which no environment fault is injected.
  void RunWithoutFaults(int rounds);
  /// Restarts all agents; the new ones receive only the oldest document.
  void RestartWithStaleStore();
  /// Applies all published documents, oldest first, at every live process.
  void ApplyAllPublished();
  void ToggleSuspension();
  /// Starts a new incarnation of a random agent; the old process is killed or
  /// keeps running beside it.
  void KillAgent();
  /// Replaces a random entry by a new process.
  void KillEntry();
  /// Passes the list of instances, with their draining marks, to the entry.
  void UpdateInstanceList(Entry& entry);
  /// The published list marks an endpoint as draining. Entries learn this at
  /// different times, and the agent may not know.
  void ListAsDraining(std::size_t engine);
  /// Marks an endpoint as draining, or begins the graceful shutdown of a random
  /// process.
  void DrainRandomProcess();
  /// Ends processes whose graceful shutdown permits it.
  void ExitDrainedProcesses();

  Faults faults_;
  std::mt19937_64 random_;
  Oracle oracle_;
  const PublishedDocuments& published_;
  /// Virtual time.
  core::TimePoint now_;
  /// Id of the next process; 0 stands for the configuration store.
  int next_process_ = 1;
  std::uint64_t next_request_ = 1;
  std::uint64_t next_incarnation_ = 1;
  std::uint64_t next_execution_ = 1;
  /// Documents that the configuration store has published, oldest first.
  std::vector<config::Document> store_history_;
  /// Index of the next document to publish.
  std::size_t next_document_ = 0;
  std::vector<std::unique_ptr<Engine>> engines_;
  std::vector<AgentPtr> agents_;
  std::vector<EntryPtr> entries_;
  std::map<std::uint64_t, std::unique_ptr<Request>> requests_;
  /// Messages in flight.
  std::vector<Message> messages_;
  /// Copies of messages that are sent much later.
  std::vector<Message> delayed_;
  /// Processes that are partitioned from all others.
  std::set<int> partitioned_;
  /// Whether RunWithoutFaults() is running.
  bool fault_free_ = false;
  /// Relative frequency of environment faults in this run.
  std::uint64_t fault_rate_ = 1;
};

}  // namespace chalkwell::fuzz
