// The model's steps, the operators, the platform and the rest at the end.
#include "fuzz/world.hpp"

#include <algorithm>
#include <array>
#include <utility>

#include "fuzz/parts.hpp"

namespace chalkwell::fuzz {
namespace {

constexpr std::size_t kEngines = 2;
constexpr std::size_t kEntries = 2;
constexpr int kSettleRounds = 150;
constexpr int kWarmRounds = 40;
constexpr int kStaleRounds = 60;
constexpr int kPiecesPerRound = 20;

template <typename Process>
int IdOr(const Process* process, int fallback) {
  return process == nullptr ? fallback : process->id_;
}

}  // namespace

World::World(std::uint64_t seed, const Faults& faults)
    : faults_(faults),
      random_(seed),
      published_(Published::Instance()),
      now_(std::chrono::hours(1)) {
  for (std::size_t i = 0; i < kEngines; ++i) {
    engines_.push_back(std::make_unique<Engine>());
    engines_.back()->index_ = i;
    engines_.back()->checks_fencing_ = i == 0 || Chance(50);
    StartAgent(i, next_incarnation_++);
  }
  for (std::size_t i = 0; i < kEntries; ++i) {
    auto entry = std::make_shared<Entry>(faults_);
    entry->id_ = next_id_++;
    ListInstances(*entry);
    entries_.push_back(entry);
  }
  // Most lives begin with a fleet that serves, some with one that is fresh.
  turbulence_ = std::array{1, 3, 8}.at(Below(3));
  if (Chance(80)) {
    PublishSomething();
    OfferAllShown();
    RunCalm(kWarmRounds);
  }
}

World::~World() = default;

std::uint64_t World::Below(std::uint64_t bound) { return random_() % bound; }

bool World::Chance(unsigned percent) { return Below(100) < percent; }

World::AgentPtr World::AnyAgent() {
  std::vector<AgentPtr> alive;
  for (const auto& agent : agents_) {
    if (agent->alive_) {
      alive.push_back(agent);
    }
  }
  return alive.empty() ? nullptr : alive[Below(alive.size())];
}

World::EntryPtr World::AnyEntry() {
  std::vector<EntryPtr> alive;
  for (const auto& entry : entries_) {
    if (entry->alive_) {
      alive.push_back(entry);
    }
  }
  return alive.empty() ? nullptr : alive[Below(alive.size())];
}

void World::Step() {
  now_ += std::chrono::milliseconds(Below(16));
  if (Below(1000) < 2 * turbulence_) {
    now_ += std::chrono::milliseconds(500 + Below(3000));
  }
  for (auto& engine : engines_) {
    if (now_ - engine->lagged_at_ >= kLease / 2) {
      engine->lagged_at_ = now_;
      engine->lagged_load_ = engine->running_.size();
    }
  }
  for (int i = 0; i < 3; ++i) {
    DeliverSomething();
  }
  if (Below(1000) < 10 * turbulence_) {
    Disturb();
    return;
  }
  const auto lot = Below(100);
  if (lot < 35) {
    if (const auto agent = AnyAgent()) {
      TickAgent(agent);
    }
  } else if (lot < 60) {
    FinishExecution(Below(engines_.size()));
  } else if (lot < 85) {
    NewRequest();
  } else if (lot < 88) {
    RetryByTicket();
  } else if (lot < 90) {
    PublishSomething();
  } else if (lot < 95) {
    ReadPlatform();
  } else {
    SyncSomewhere();
  }
}

void World::Disturb() {
  const auto lot = Below(100);
  if (lot < 25) {
    DuplicateSomething();
  } else if (lot < 32) {
    ReleaseDelayed();
  } else if (lot < 38) {
    LoseSomeAttempt();
  } else if (lot < 45) {
    DropSomething();
  } else if (lot < 60) {
    PauseSomething();
  } else if (lot < 68) {
    KillAgent();
  } else if (lot < 71) {
    KillEntry();
  } else if (lot < 74) {
    RestartEngine(*engines_[Below(engines_.size())]);
  } else if (lot < 82) {
    StopSomething();
  } else if (lot < 94) {
    ExitStopped();
  } else if (!cut_.empty() && Chance(30)) {
    cut_.clear();
  } else {
    const auto agent = AnyAgent();
    const auto entry = AnyEntry();
    cut_.insert(agent && Chance(70) ? agent->id_ : entry ? entry->id_ : 0);
  }
}

void World::PublishSomething() {
  const auto& documents = published_.documents();
  if (next_published_ < documents.size()) {
    shown_.push_back(documents[next_published_++]);
  }
}

void World::ReadPlatform() {
  if (shown_.empty()) {
    return;
  }
  // The service may be stale: any earlier value may be shown.
  const auto& document =
      Chance(60) ? shown_.back() : shown_[Below(shown_.size())];
  Message message;
  message.kind_ = Message::Kind::kDocument;
  message.document_ = document;
  const auto agent = AnyAgent();
  const auto entry = AnyEntry();
  if (entry && (Chance(40) || !agent)) {
    message.to_ = entry->id_;
  } else if (agent) {
    message.to_ = agent->id_;
  }
  Send(message);
}

void World::SyncSomewhere() {
  const auto agent = AnyAgent();
  const auto from = AnyEntry();
  const auto to = AnyEntry();
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

void World::Offer(config::AcceptedDocuments& documents, int process,
                  const config::Document& document) {
  (void)documents.Apply(document);
  if (const auto* bundle = documents.AcceptedBundle()) {
    oracle_.OnInForce(process, documents.stamps().at(config::kBundleKey),
                      published_.IsSigned(bundle->version_, bundle->manifest_));
  }
}

void World::RunCalm(int rounds) {
  settling_ = true;
  for (int round = 0; round < rounds; ++round) {
    now_ += std::chrono::milliseconds(100);
    for (std::size_t i = 0; i < engines_.size(); ++i) {
      engines_[i]->lagged_load_ = engines_[i]->running_.size();
      for (int pieces = 0; pieces < kPiecesPerRound; ++pieces) {
        FinishExecution(i);
      }
    }
    for (const auto& agent : std::vector(agents_)) {
      if (agent->alive_) {
        TickAgent(agent);
      }
    }
    for (std::size_t left = 4 * messages_.size(); left > 0; --left) {
      DeliverSomething();
    }
  }
  settling_ = false;
}

void World::OfferAllShown() {
  for (const auto& document : shown_) {
    for (const auto& agent : agents_) {
      if (agent->alive_) {
        Offer(agent->documents_, agent->id_, document);
        OnTarget(agent);
      }
    }
    for (const auto& entry : entries_) {
      Offer(entry->documents_, entry->id_, document);
    }
  }
}

void World::Settle() {
  cut_.clear();
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    StartAgent(i, next_incarnation_++);
  }
  for (const auto& agent : agents_) {
    agent->paused_ = false;
  }
  for (const auto& entry : entries_) {
    entry->paused_ = false;
  }
  while (shown_.size() < 3) {
    PublishSomething();
  }
  OfferAllShown();
  RunCalm(kSettleRounds);
  std::vector<config::DocumentVersion> stamps;
  for (const auto& agent : agents_) {
    if (agent->alive_) {
      stamps.push_back(agent->documents_.stamps().at(config::kBundleKey));
    }
  }
  for (const auto& entry : entries_) {
    if (entry->alive_) {
      stamps.push_back(entry->documents_.stamps().at(config::kBundleKey));
    }
  }
  oracle_.OnSettled(stamps);
  const auto newest = agents_.back()->documents_.AcceptedBundle()->manifest_;
  for (const auto& engine : engines_) {
    oracle_.OnRunsEverywhere(engine->state_.manifest_ == newest);
  }
  RestartUnderStaleService();
}

void World::RestartUnderStaleService() {
  for (const auto& agent : agents_) {
    agent->alive_ = false;
  }
  for (std::size_t i = 0; i < engines_.size(); ++i) {
    StartAgent(i, next_incarnation_++);
    const auto& fresh = agents_.back();
    Offer(fresh->documents_, fresh->id_, shown_.front());
    OnTarget(fresh);
  }
  RunCalm(kStaleRounds);
  for (const auto& engine : engines_) {
    const bool serves =
        std::ranges::any_of(agents_, [&](const AgentPtr& agent) {
          return agent->alive_ && agent->engine_ == engine->index_ &&
                 agent->activation_.accepting(now_);
        });
    oracle_.OnServesAgain(serves);
  }
}

}  // namespace chalkwell::fuzz
