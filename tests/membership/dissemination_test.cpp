// How news and members spread over failure domains, played in simulated time
// with loss, deaths, restarts and cuts at any moment: who knows what after how
// long, and what one process sends for it.
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
constexpr std::size_t kAsked = 8;
constexpr std::size_t kAnswerRows = 24;
constexpr unsigned kGreetings = 6;
constexpr int kSeedRounds = 5;

/// One process of the play.
struct Process {
  Member self_;
  std::unique_ptr<GossipTable> table_;
  bool alive_ = true;
  /// Newest news known.
  std::uint64_t version_ = 0;
  std::size_t seed_ = 0;
  std::uint64_t sent_ = 0;
};

class Deployment {
 public:
  Deployment(std::size_t domains, std::size_t each, double loss,
             std::uint32_t seed)
      : domains_(domains), loss_(loss), random_(seed) {
    for (std::size_t i = 0; i < domains * each; ++i) {
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
    process.seed_ = random_();
    for (unsigned greeting = 0; greeting < kGreetings; ++greeting) {
      greetings_.push_back(i);
    }
  }

  void Cut(std::optional<std::size_t> domain) {
    cut_ = domain ? std::optional(
                        core::FailureDomainId("d" + std::to_string(*domain)))
                  : std::nullopt;
  }

  /// Those who watch the store hear of a version; they are the first two of
  /// each domain as they see it. Whoever comes to watch later reads it.
  void Publish(std::uint64_t version) {
    published_ = version;
    Watch();
  }

  void Round() {
    now_ += 1s;
    ++rounds_;
    // A process that has just started greets every 150 ms.
    for (const auto i : std::exchange(greetings_, {})) {
      GreetSeed(i);
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

  /// Whether all that live, and are not cut off, know a version.
  [[nodiscard]] bool AllKnow(std::uint64_t version) const {
    return std::ranges::all_of(processes_, [&](const Process& process) {
      return !process.alive_ || (cut_ && process.self_.domain_ == *cut_) ||
             process.version_ >= version;
    });
  }

  /// Whether each knows all of its own domain, and someone of each other one.
  [[nodiscard]] bool AllMembersKnown() const {
    return std::ranges::all_of(processes_, [&](const Process& process) {
      if (!process.alive_) {
        return true;
      }
      std::set<core::FailureDomainId> domains{process.self_.domain_};
      for (const auto& member : process.table_->Live()) {
        domains.insert(member.domain_);
      }
      const auto near =
          std::ranges::count_if(processes_, [&](const Process& other) {
            return other.alive_ && other.self_.domain_ == process.self_.domain_;
          });
      return domains.size() == domains_ &&
             process.table_->LocalMembers().size() + 1 ==
                 static_cast<std::size_t>(near);
    });
  }

 private:
  void Watch() {
    for (std::size_t i = 0; i < size(); ++i) {
      const auto& process = at(i);
      const bool reaches = !cut_ || process.self_.domain_ != *cut_;
      if (process.alive_ && reaches && process.table_->IsDelegate()) {
        Hear(i, published_, true);
      }
    }
  }

  [[nodiscard]] bool Passes(const Process& from, const Process& to) {
    const bool crosses = from.self_.domain_ != to.self_.domain_;
    const bool cut = cut_ && crosses &&
                     (from.self_.domain_ == *cut_ || to.self_.domain_ == *cut_);
    return to.alive_ && !cut &&
           std::uniform_real_distribution<>(0, 1)(random_) >= loss_;
  }

  [[nodiscard]] std::size_t Index(const Member& member) const {
    return std::stoul(member.address_);
  }

  void GreetSeed(std::size_t i) {
    // One seed in each of the first three domains.
    const auto seed = at(i).seed_++ % std::min<std::size_t>(3, domains_);
    if (seed != i) {
      Send(i, seed, {}, true);
    }
  }

  void Tick(std::size_t i) {
    auto& process = at(i);
    auto& table = *process.table_;
    table.RaiseHeartbeat();
    (void)table.Expire(now_);
    for (const auto& silent : table.Unresponsive(kAsked, now_)) {
      Send(i, Index(silent), {}, true);
    }
    for (const auto& target : table.GossipTargets(kTargets)) {
      Send(i, Index(target), table.Sample(kRows, target.domain_), false);
    }
    const bool seeds = rounds_ % kSeedRounds == 0 && table.IsDelegate();
    if (seeds || table.Live().empty()) {
      GreetSeed(i);
    }
  }

  void Send(std::size_t from, std::size_t to, const std::vector<Member>& rows,
            bool asks) {
    auto& sender = at(from);
    auto& receiver = at(to);
    ++sender.sent_;
    if (from == to || !Passes(sender, receiver)) {
      return;
    }
    const auto row = sender.table_->self();
    const bool joined =
        receiver.table_->Merge(row, now_) == MergeOutcome::kJoined;
    if (joined || asks) {
      receiver.table_->RaiseHeartbeat();
      Send(to, from, receiver.table_->Sample(kAnswerRows, row.domain_), false);
    }
    for (const auto& told : rows) {
      const bool near = told.domain_ == receiver.self_.domain_;
      if (receiver.table_->Merge(told, now_) == MergeOutcome::kJoined && near) {
        Send(to, Index(told), {}, false);
      }
    }
    Hear(to, sender.version_, false);
  }

  void Hear(std::size_t i, std::uint64_t version, bool from_store) {
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
  std::vector<std::size_t> greetings_;
  std::optional<core::FailureDomainId> cut_;
};

TEST_CASE("what a process sends does not grow with the deployment",
          "[membership]") {
  struct Row {
    std::size_t domains_;
    std::size_t each_;
  };
  const auto row = GENERATE(Row{3, 2}, Row{3, 13}, Row{5, 30}, Row{9, 38});
  Deployment deployment(row.domains_, row.each_, 0.02, 7);
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
  constexpr int kMeasured = 20;
  for (int i = 0; i < kMeasured; ++i) {
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
                    static_cast<double>(deployment.size()) / kMeasured;
  std::cout << "figure gossip_datagrams_per_second " << row.domains_
            << " domains of " << row.each_ << ": mean " << mean << ", most "
            << static_cast<double>(most) / kMeasured << ", members known after "
            << rounds << " s\n";
  CHECK(mean <= 8);
  CHECK(static_cast<double>(most) / kMeasured <= 24);
  // No life is lost by chance.
  CHECK(deployment.AllMembersKnown());
}

TEST_CASE("news reach all who can be reached, whatever happens meanwhile",
          "[membership]") {
  // A domain whose delegates have died hears by gossip of the others' first.
  constexpr int kBound = 6;
  const auto play = [&](std::uint32_t seed) {
    std::mt19937 random(seed);
    const auto domains = 2 + random() % 4;
    const auto each = 1 + random() % 14;
    const auto loss = 0.05 * static_cast<double>(random() % 4);
    Deployment deployment(domains, each, loss, seed);
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
        deployment.Cut(random() % domains);
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
      RC_ASSERT(rounds <= kBound);
      deployment.Cut(std::nullopt);
      rounds = 0;
      while (!deployment.AllKnow(version) && rounds < 30) {
        deployment.Round();
        ++rounds;
      }
      RC_ASSERT(rounds <= kBound);
    }
  };
  // Seeds that failed once: both delegates of the only domain that reached the
  // store had died, and nobody read it in their place.
  CHECK(rc::check("seeds that failed", [&] {
    for (const std::uint32_t seed : {832531U, 3035155U}) {
      play(seed);
    }
  }));
  CHECK(rc::check(play));
}

}  // namespace
}  // namespace chalkwell::membership
