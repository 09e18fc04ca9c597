// Steps of the simulation, operators, configuration store and final checks.
#include "fuzz/simulation.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "fuzz/simulation_types.hpp"

namespace chalkwell::fuzz {
namespace {

constexpr std::size_t kEngineCount = 2;
constexpr std::size_t kEntryCount = 2;
// Numbers of rounds of RunWithoutFaults().
constexpr int kSettleRounds = 150;
constexpr int kWarmUpRounds = 40;
constexpr int kStaleStoreRounds = 60;
/// Calls of AdvanceExecution() per engine and round.
constexpr int kExecutionStepsPerRound = 20;

template <typename Process>
int IdOr(const Process* process, int fallback) {
  return process == nullptr ? fallback : process->id_;
}

}  // namespace

Simulation::Simulation(std::uint64_t seed, const Faults& faults)
    : faults_(faults),
      random_(seed),
      published_(PublishedDocuments::Instance()),
      now_(std::chrono::hours(1)) {
  for (std::size_t i = 0; i < kEngineCount; ++i) {
    engines_.push_back(std::make_unique<Engine>());
    engines_.back()->index_ = i;
    engines_.back()->checks_fencing_ = i == 0 || Chance(50);
    StartAgent(i, next_incarnation_++);
  }
  for (std::size_t i = 0; i < kEntryCount; ++i) {
    auto entry = std::make_shared<Entry>(faults_);
    entry->id_ = next_process_++;
    UpdateInstanceList(*entry);
    entries_.push_back(entry);
  }
  fault_rate_ = std::array{1, 3, 8}.at(RandomBelow(3));
  // Most runs start with endpoints that serve, the others without documents.
  if (Chance(80)) {
    PublishNextDocument();
    ApplyAllPublished();
    RunWithoutFaults(kWarmUpRounds);
  }
}

Simulation::~Simulation() = default;

std::uint64_t Simulation::RandomBelow(std::uint64_t bound) {
  return random_() % bound;
}

bool Simulation::Chance(unsigned percent) { return RandomBelow(100) < percent; }

Simulation::AgentPtr Simulation::RandomAgent() {
  std::vector<AgentPtr> alive;
  for (const auto& agent : agents_) {
    if (agent->alive_) {
      alive.push_back(agent);
    }
  }
  return alive.empty() ? nullptr : alive[RandomBelow(alive.size())];
}

Simulation::EntryPtr Simulation::RandomEntry() {
  std::vector<EntryPtr> alive;
  for (const auto& entry : entries_) {
    if (entry->alive_) {
      alive.push_back(entry);
    }
  }
  return alive.empty() ? nullptr : alive[RandomBelow(alive.size())];
}

void Simulation::Step() {
  now_ += std::chrono::milliseconds(RandomBelow(16));
  if (RandomBelow(1000) < 2 * fault_rate_) {
    // A gap that may exceed the leases.
    now_ += std::chrono::milliseconds(500 + RandomBelow(3000));
  }
  for (auto& engine : engines_) {
    if (now_ - engine->load_reported_at_ >= kAgentLease / 2) {
      engine->load_reported_at_ = now_;
      engine->reported_load_ = engine->executions_.size();
    }
  }
  for (int i = 0; i < 3; ++i) {
    DeliverRandomMessage();
  }
  if (RandomBelow(1000) < 10 * fault_rate_) {
    InjectEnvironmentFault();
    return;
  }
  const auto choice = RandomBelow(100);
  if (choice < 35) {
    if (const auto agent = RandomAgent()) {
      TickAgent(agent);
    }
  } else if (choice < 60) {
    AdvanceExecution(RandomBelow(engines_.size()));
  } else if (choice < 85) {
    StartRequest();
  } else if (choice < 88) {
    RetryWithTicket();
  } else if (choice < 90) {
    PublishNextDocument();
  } else if (choice < 95) {
    FetchDocument();
  } else {
    SyncDocuments();
  }
}

void Simulation::InjectEnvironmentFault() {
  const auto choice = RandomBelow(100);
  if (choice < 25) {
    DuplicateRandomMessage();
  } else if (choice < 32) {
    SendDelayedMessage();
  } else if (choice < 38) {
    LoseRandomAttempt();
  } else if (choice < 45) {
    DropRandomMessage();
  } else if (choice < 60) {
    ToggleSuspension();
  } else if (choice < 68) {
    KillAgent();
  } else if (choice < 71) {
    KillEntry();
  } else if (choice < 74) {
    RestartEngine(*engines_[RandomBelow(engines_.size())]);
  } else if (choice < 82) {
    DrainRandomProcess();
  } else if (choice < 94) {
    ExitDrainedProcesses();
  } else if (!partitioned_.empty() && Chance(30)) {
    partitioned_.clear();
  } else {
    const auto agent = RandomAgent();
    const auto entry = RandomEntry();
    partitioned_.insert(agent && Chance(70) ? agent->id_
                        : entry             ? entry->id_
                                            : 0);
  }
}

void Simulation::PublishNextDocument() {
  const auto& documents = published_.documents();
  if (next_document_ < documents.size()) {
    store_history_.push_back(documents[next_document_++]);
  }
}

void Simulation::FetchDocument() {
  if (store_history_.empty()) {
    return;
  }
  // The configuration store may be stale and return any earlier document.
  const auto& document =
      Chance(60) ? store_history_.back()
                 : store_history_[RandomBelow(store_history_.size())];
  Message message;
  message.kind_ = Message::Kind::kDocument;
  message.document_ = document;
  const auto agent = RandomAgent();
  const auto entry = RandomEntry();
  if (entry && (Chance(40) || !agent)) {
    message.to_ = entry->id_;
  } else if (agent) {
    message.to_ = agent->id_;
  }
  Send(message);
}

void Simulation::SyncDocuments() {
  const auto agent = RandomAgent();
  const auto from = RandomEntry();
  const auto to = RandomEntry();
  const auto* source = from.get();
  if (source == nullptr) {
    return;
  }
  const bool to_agent = agent != nullptr && Chance(60);
  const int target = IdOr(to_agent ? agent.get() : nullptr, IdOr(to.get(), 0));
  Message message;
  message.kind_ = Message::Kind::kDocument;
  message.from_ = source->id_;
  message.to_ = target;
  for (const auto& document : source->documents_.NewerThan({})) {
    message.document_ = document;
    Send(message);
  }
}

void Simulation::ApplyDocument(config::AcceptedDocuments& documents,
                               int process, const config::Document& document) {
  (void)documents.Apply(document);
  if (const auto* bundle = documents.AcceptedBundle()) {
    oracle_.OnBundleActive(
        process, documents.versions().at(config::kBundleKey),
        published_.IsSigned(bundle->version_, bundle->manifest_));
  }
}

void Simulation::RunWithoutFaults(int rounds) {
  fault_free_ = true;
  for (int round = 0; round < rounds; ++round) {
    now_ += std::chrono::milliseconds(100);
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      engines_[i]->reported_load_ = engines_[i]->executions_.size();
      for (int step = 0; step < kExecutionStepsPerRound; ++step) {
        AdvanceExecution(i);
      }
    }
    for (const auto& agent : std::vector(agents_)) {
      if (agent->alive_) {
        TickAgent(agent);
      }
    }
    for (std::size_t deliveries = 4 * messages_.size(); deliveries > 0;
         --deliveries) {
      DeliverRandomMessage();
    }
  }
  fault_free_ = false;
}

void Simulation::ApplyAllPublished() {
  for (const auto& document : store_history_) {
    for (const auto& agent : agents_) {
      if (agent->alive_) {
        ApplyDocument(agent->documents_, agent->id_, document);
        ApplyTarget(agent);
      }
    }
    for (const auto& entry : entries_) {
      ApplyDocument(entry->documents_, entry->id_, document);
    }
  }
}

void Simulation::Settle() {
  partitioned_.clear();
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    StartAgent(i, next_incarnation_++);
  }
  for (const auto& agent : agents_) {
    agent->suspended_ = false;
  }
  for (const auto& entry : entries_) {
    entry->suspended_ = false;
  }
  while (store_history_.size() < 3) {
    PublishNextDocument();
  }
  ApplyAllPublished();
  RunWithoutFaults(kSettleRounds);
  std::vector<config::DocumentVersion> stamps;
  for (const auto& agent : agents_) {
    if (agent->alive_) {
      stamps.push_back(agent->documents_.versions().at(config::kBundleKey));
    }
  }
  for (const auto& entry : entries_) {
    if (entry->alive_) {
      stamps.push_back(entry->documents_.versions().at(config::kBundleKey));
    }
  }
  oracle_.OnSettled(stamps);
  const auto active = agents_.back()->documents_.AcceptedBundle()->manifest_;
  for (const auto& engine : engines_) {
    oracle_.OnEngineSettled(engine->state_.manifest_ == active);
  }
  RestartWithStaleStore();
}

void Simulation::RestartWithStaleStore() {
  for (const auto& agent : agents_) {
    agent->alive_ = false;
  }
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    StartAgent(i, next_incarnation_++);
    const auto& replacement = agents_.back();
    ApplyDocument(replacement->documents_, replacement->id_,
                  store_history_.front());
    ApplyTarget(replacement);
  }
  RunWithoutFaults(kStaleStoreRounds);
  for (const auto& engine : engines_) {
    const bool accepting =
        std::ranges::any_of(agents_, [&](const AgentPtr& agent) {
          return agent->alive_ && agent->engine_ == engine->index_ &&
                 agent->activation_.accepting(now_);
        });
    oracle_.OnRestartedWithStaleStore(accepting);
  }
}

}  // namespace chalkwell::fuzz
