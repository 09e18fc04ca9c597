// Simulation of how changes and members propagate across failure domains, with
// packet loss, crashes, restarts and network partitions at any time: how long
// until every process knows them, and how much one process sends.
#include <rapidcheck.h>

#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <memory>
#include <numeric>
#include <optional>
#include <random>
#include <set>

#include "chalkwell/membership/gossip_table.hpp"
#include "chalkwell/membership/propagation_plan.hpp"
#include "chalkwell/membership/role_assignment.hpp"

namespace chalkwell::membership {
namespace {

using namespace std::chrono_literals;

constexpr std::size_t kTargets = 2;
constexpr std::size_t kRows = 18;
constexpr std::size_t kMaxProbes = 8;
constexpr std::size_t kReplyRows = 24;
constexpr unsigned kInitialSeedProbes = 6;
constexpr int kRoundsPerSeedProbe = 5;

/// A simulated process.
struct Process {
  Member self_;
  std::unique_ptr<GossipTable> table_;
  bool alive_ = true;
  /// Newest version known.
  std::uint64_t version_ = 0;
  std::size_t next_seed_ = 0;
  std::uint64_t sent_ = 0;
};

class Deployment {
 public:
  Deployment(std::size_t domains, std::size_t members_per_domain, double loss,
             std::uint32_t seed)
      : domains_(domains), loss_(loss), random_(seed) {
    for (std::size_t i = 0; i < domains * members_per_domain; ++i) {
      Process process;
      process.self_.id_ = core::InstanceId("e" + std::to_string(i));
      process.self_.domain_ =
          core::FailureDomainId("d" + std::to_string(i % domains));
      process.self_.address_ = std::to_string(i);
      processes_.push_back(std::move(process));
      Restart(i);
    }
  }

  [[nodiscard]] std::size_t size() const { return processes_.size(); }
  Process& at(std::size_t i) { return processes_[i]; }

  void Restart(std::size_t i) {
    auto& process = processes_[i];
    process.alive_ = true;
    process.version_ = 0;
    process.self_.incarnation_ = random_();
    process.table_ = std::make_unique<GossipTable>(process.self_,
                                                   GossipSettings{}, random_());
    process.next_seed_ = random_();
    for (unsigned probe = 0; probe < kInitialSeedProbes; ++probe) {
      initial_probes_.push_back(i);
    }
  }

  /// Partitions a domain from all others, or heals the partition.
  void Partition(std::optional<std::size_t> domain) {
    partitioned_ = domain ? std::optional(core::FailureDomainId(
                                "d" + std::to_string(*domain)))
                          : std::nullopt;
  }

  /// Publishes a version in the store. The watchers receive it: the first two
  /// members in rank of each domain by their own view. A member that becomes a
  /// watcher later reads it then.
  void Publish(std::uint64_t version) {
    published_ = version;
    Watch();
  }

  void Round() {
    now_ += 1s;
    ++rounds_;
    // In its first second a process probes a seed every 150 ms.
    for (const auto i : std::exchange(initial_probes_, {})) {
      ProbeSeed(i);
    }
    std::vector<std::size_t> order(size());
    std::iota(order.begin(), order.end(), 0);
    std::ranges::shuffle(order, random_);
    for (const auto i : order) {
      if (at(i).alive_) {
        Tick(i);
      }
    }
    Watch();
  }

  /// Whether all live processes that are not partitioned know a version.
  [[nodiscard]] bool AllKnow(std::uint64_t version) const {
    return std::ranges::all_of(processes_, [&](const Process& process) {
      return !process.alive_ ||
             (partitioned_ && process.self_.domain_ == *partitioned_) ||
             process.version_ >= version;
    });
  }

  /// Whether each live process knows all members of its domain and at least one
  /// of each other domain.
  [[nodiscard]] bool AllMembersKnown() const {
    return std::ranges::all_of(processes_, [&](const Process& process) {
      if (!process.alive_) {
        return true;
      }
      std::set<core::FailureDomainId> domains{process.self_.domain_};
      for (const auto& member : process.table_->Live()) {
        domains.insert(member.domain_);
      }
      const auto local =
          std::ranges::count_if(processes_, [&](const Process& other) {
            return other.alive_ && other.self_.domain_ == process.self_.domain_;
          });
      return domains.size() == domains_ &&
             process.table_->LocalMembers().size() + 1 ==
                 static_cast<std::size_t>(local);
    });
  }

 private:
  void Watch() {
    for (std::size_t i = 0; i < size(); ++i) {
      const auto& process = at(i);
      const bool reaches_store =
          !partitioned_ || process.self_.domain_ != *partitioned_;
      if (process.alive_ && reaches_store && process.table_->IsDelegate()) {
        Receive(i, published_, true);
      }
    }
  }

  [[nodiscard]] bool Delivers(const Process& from, const Process& to) {
    const bool remote = from.self_.domain_ != to.self_.domain_;
    const bool blocked = partitioned_ && remote &&
                         (from.self_.domain_ == *partitioned_ ||
                          to.self_.domain_ == *partitioned_);
    return to.alive_ && !blocked &&
           std::uniform_real_distribution<>(0, 1)(random_) >= loss_;
  }

  [[nodiscard]] std::size_t Index(const Member& member) const {
    return std::stoul(member.address_);
  }

  void ProbeSeed(std::size_t i) {
    // The seeds are one member of each of the first three domains.
    const auto seed = at(i).next_seed_++ % std::min<std::size_t>(3, domains_);
    if (seed != i) {
      Send(i, seed, {}, true);
    }
  }

  void Tick(std::size_t i) {
    auto& process = at(i);
    auto& table = *process.table_;
    table.RaiseHeartbeat();
    (void)table.Expire(now_);
    for (const auto& member : table.Unresponsive(kMaxProbes, now_)) {
      Send(i, Index(member), {}, true);
    }
    for (const auto& target : table.GossipTargets(kTargets)) {
      Send(i, Index(target), table.Sample(kRows, target.domain_), false);
    }
    const bool seed_due =
        rounds_ % kRoundsPerSeedProbe == 0 && table.IsDelegate();
    if (seed_due || table.Live().empty()) {
      ProbeSeed(i);
    }
  }

  void Send(std::size_t from, std::size_t to, const std::vector<Member>& rows,
            bool probe) {
    auto& sender = at(from);
    auto& receiver = at(to);
    ++sender.sent_;
    if (from == to || !Delivers(sender, receiver)) {
      return;
    }
    const auto row = sender.table_->self();
    const bool joined =
        receiver.table_->Merge(row, now_) == MergeOutcome::kJoined;
    if (joined || probe) {
      receiver.table_->RaiseHeartbeat();
      Send(to, from, receiver.table_->Sample(kReplyRows, row.domain_), false);
    }
    for (const auto& member : rows) {
      const bool local = member.domain_ == receiver.self_.domain_;
      if (receiver.table_->Merge(member, now_) == MergeOutcome::kJoined &&
          local) {
        Send(to, Index(member), {}, false);
      }
    }
    Receive(to, sender.version_, false);
  }

  void Receive(std::size_t i, std::uint64_t version, bool from_store) {
    auto& process = at(i);
    if (version <= process.version_) {
      return;
    }
    process.version_ = version;
    const PropagationPlan plan(process.table_->self(), process.table_->Live());
    if (from_store || process.table_->IsDelegate()) {
      for (const auto& target :
           plan.AnnounceTargets(DelegateFanout::kTwoDelegates)) {
        Send(i, Index(target), {}, false);
      }
    }
  }

  std::size_t domains_;
  double loss_;
  std::mt19937 random_;
  core::TimePoint now_{1h};
  int rounds_ = 0;
  std::uint64_t published_ = 0;
  std::vector<Process> processes_;
  std::vector<std::size_t> initial_probes_;
  std::optional<core::FailureDomainId> partitioned_;
};

TEST_CASE("the traffic of a process does not grow with the deployment",
          "[membership]") {
  struct Row {
    std::size_t domains_;
    std::size_t members_per_domain_;
  };
  const auto row = GENERATE(Row{3, 2}, Row{3, 13}, Row{5, 30}, Row{9, 38});
  Deployment deployment(row.domains_, row.members_per_domain_, 0.02, 7);
  int rounds = 0;
  while (!deployment.AllMembersKnown() && rounds < 30) {
    deployment.Round();
    ++rounds;
  }
  CHECK(rounds <= 10);
  for (int i = 0; i < 10; ++i) {
    deployment.Round();
  }
  std::vector<std::uint64_t> before;
  for (std::size_t i = 0; i < deployment.size(); ++i) {
    before.push_back(deployment.at(i).sent_);
  }
  constexpr int kMeasuredRounds = 20;
  for (int i = 0; i < kMeasuredRounds; ++i) {
    deployment.Round();
  }
  std::uint64_t sum = 0;
  std::uint64_t most = 0;
  for (std::size_t i = 0; i < deployment.size(); ++i) {
    const auto sent = deployment.at(i).sent_ - before[i];
    sum += sent;
    most = std::max(most, sent);
  }
  const auto mean = static_cast<double>(sum) /
                    static_cast<double>(deployment.size()) / kMeasuredRounds;
  std::cout << "figure gossip_datagrams_per_second " << row.domains_
            << " domains of " << row.members_per_domain_ << ": mean " << mean
            << ", most " << static_cast<double>(most) / kMeasuredRounds
            << ", members known after " << rounds << " s\n";
  CHECK(mean <= 8);
  CHECK(static_cast<double>(most) / kMeasuredRounds <= 24);
  // No live member is lost by random gossip.
  CHECK(deployment.AllMembersKnown());
}

TEST_CASE(
    "changes reach every reachable process despite loss, crashes and "
    "partitions",
    "[membership]") {
  // A domain whose delegates have crashed receives a change by the gossip of
  // other domains' delegates first.
  constexpr int kMaxRounds = 6;
  const auto simulate = [&](std::uint32_t seed) {
    std::mt19937 random(seed);
    const auto domains = 2 + random() % 4;
    const auto members_per_domain = 1 + random() % 14;
    const auto loss = 0.05 * static_cast<double>(random() % 4);
    Deployment deployment(domains, members_per_domain, loss, seed);
    for (int i = 0; i < 14; ++i) {
      deployment.Round();
    }
    std::uint64_t version = 0;
    for (int change = 0; change < 5; ++change) {
      for (std::size_t i = 0; i < deployment.size(); ++i) {
        const auto chance = random() % 10;
        if (chance == 0 && i >= 3) {
          deployment.at(i).alive_ = false;
        } else if (chance <= 2 && !deployment.at(i).alive_) {
          deployment.Restart(i);
        }
      }
      if (random() % 3 == 0) {
        deployment.Partition(random() % domains);
      }
      for (unsigned i = 0; i < random() % 4; ++i) {
        deployment.Round();
      }
      deployment.Publish(++version);
      int rounds = 0;
      while (!deployment.AllKnow(version) && rounds < 30) {
        deployment.Round();
        ++rounds;
      }
      RC_ASSERT(rounds <= kMaxRounds);
      deployment.Partition(std::nullopt);
      rounds = 0;
      while (!deployment.AllKnow(version) && rounds < 30) {
        deployment.Round();
        ++rounds;
      }
      RC_ASSERT(rounds <= kMaxRounds);
    }
  };
  // Random seeds of past failures: both delegates of the only domain that
  // reached the store had crashed, and no member read it in their place.
  CHECK(rc::check("seeds that failed", [&] {
    for (const std::uint32_t seed : {832531U, 3035155U}) {
      simulate(seed);
    }
  }));
  CHECK(rc::check(simulate));
}

}  // namespace
}  // namespace chalkwell::membership
