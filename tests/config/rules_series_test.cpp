// Simulates, in virtual time, how long each version of a series of changes of
// the rules takes to reach all entries while some of them get it late.
#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <vector>

#include "chalkwell/config/rules_peer_selector.hpp"
#include "chalkwell/membership/gossip_table.hpp"
#include "chalkwell/membership/propagation_plan.hpp"
#include "chalkwell/membership/watcher_role.hpp"

namespace chalkwell::config {
namespace {

using namespace std::chrono_literals;

constexpr auto kStep = 10ms;
constexpr auto kTick = 100ms;
constexpr auto kGossipInterval = 1s;
constexpr std::size_t kGossipTargets = 2;
/// Members that an entry knows of each remote failure domain.
constexpr std::size_t kKnownRemote =
    membership::GossipSettings{}.remote_rows_per_domain_;
constexpr std::uint64_t kVersions = 25;
constexpr auto kPublishInterval = 240ms;
/// Time from publication to a response of an undisturbed watch.
constexpr auto kWatchDelay = 10ms;
constexpr auto kLocalFetch = 10ms;
constexpr auto kRemoteFetch = 30ms;
/// Within this time of its acknowledgement each version must be in force.
constexpr auto kBound = 2s;
/// A simulation that has not ended after this time is taken as failed.
constexpr auto kMaxTime = 30s;

/// What keeps the rules from the watchers of one failure domain. They go on
/// announcing what they have.
enum class Disturbance : std::uint8_t {
  kNone,
  /// The store responds to none of their calls.
  kTurnedAway,
  /// Each response, also that of a peer, arrives 3 s late.
  kDelayed,
  /// Each response, also that of a peer, takes 1.5 s, one after the other.
  kSlow,
};

constexpr auto kDelayedResponse = 3000ms;
constexpr auto kSlowResponse = 1500ms;

struct Deployment {
  std::size_t domains_ = 3;
  std::size_t entries_per_domain_ = 13;
};

struct Transfer {
  std::uint64_t version_ = 0;
  core::TimePoint arrives_at_;
  /// The peer that sends it; empty for the store.
  core::InstanceId peer_;
};

struct Entry {
  membership::Member member_;
  std::optional<membership::PropagationPlan> plan_;
  std::unique_ptr<membership::WatcherRole> watcher_role_;
  std::unique_ptr<RulesPeerSelector> peer_selector_;
  bool disturbed_ = false;
  std::uint64_t version_ = 1;
  /// Newest version that a response of its watch holds or held.
  std::uint64_t watched_version_ = 1;
  std::vector<Transfer> transfers_;
};

class Simulation {
 public:
  Simulation(const Deployment& deployment, Disturbance disturbance)
      : disturbance_(disturbance) {
    for (std::size_t domain = 0; domain < deployment.domains_; ++domain) {
      AddDomain("d" + std::to_string(domain), deployment.entries_per_domain_);
    }
    for (auto& entry : entries_) {
      std::vector<membership::Member> others;
      for (const auto& other : entries_) {
        if (other.member_.id_ != entry.member_.id_) {
          others.push_back(other.member_);
        }
      }
      entry.plan_.emplace(entry.member_, std::move(others));
    }
  }

  /// @return longest time from the publication of a version until an
  /// undisturbed entry has it or a newer one.
  core::Duration Run() {
    while (now_ - start_ < kMaxTime &&
           std::ranges::any_of(entries_, [](const Entry& entry) {
             return entry.version_ < kVersions;
           })) {
      now_ += kStep;
      Publish();
      for (auto& entry : entries_) {
        StartWatchTransfer(entry);
        ReceiveTransfers(entry);
      }
      if ((now_ - start_) % kTick == core::Duration{}) {
        std::ranges::for_each(entries_,
                              [this](Entry& entry) { FetchFromPeer(entry); });
      }
      if ((now_ - start_) % kGossipInterval == core::Duration{}) {
        std::ranges::for_each(entries_,
                              [this](Entry& entry) { Gossip(entry); });
      }
      Measure();
    }
    return worst_;
  }

 private:
  void AddDomain(const std::string& name, std::size_t count) {
    std::vector<core::InstanceId> ids;
    for (std::size_t i = 0; i < count; ++i) {
      ids.emplace_back(name + "-" + std::to_string(i));
    }
    const bool first = entries_.empty();
    const auto watchers = membership::WatcherRole::FirstInRank(ids, 2);
    for (const auto& id : ids) {
      Entry entry;
      entry.member_.id_ = id;
      entry.member_.domain_ = core::FailureDomainId(name);
      entry.member_.address_ = id.value();
      entry.watcher_role_ = std::make_unique<membership::WatcherRole>(id);
      entry.watcher_role_->SetMembers(ids);
      entry.watcher_role_->OnDocumentReceived(1);
      entry.watcher_role_->OnWatcherAnnounced(watchers.front(), now_);
      entry.peer_selector_ = std::make_unique<RulesPeerSelector>(id);
      entry.peer_selector_->OnApplied(1);
      entry.disturbed_ = disturbance_ != Disturbance::kNone && first &&
                         std::ranges::find(watchers, id) != watchers.end();
      entries_.push_back(std::move(entry));
    }
  }

  /// The watchers of all domains go on announcing themselves.
  [[nodiscard]] bool Watches(const Entry& entry) const {
    return entry.watcher_role_->IsWatcher(start_);
  }

  void Publish() {
    const auto published =
        1 + static_cast<std::uint64_t>((now_ - start_) / kPublishInterval);
    newest_ = std::min(kVersions, published);
  }

  [[nodiscard]] static core::TimePoint PublishedAt(std::uint64_t version) {
    return core::TimePoint(1h) +
           kPublishInterval * static_cast<std::int64_t>(version - 1);
  }

  void StartWatchTransfer(Entry& entry) {
    if (!Watches(entry) || entry.watched_version_ >= newest_) {
      return;
    }
    const bool busy = !entry.transfers_.empty();
    if (entry.disturbed_ && (disturbance_ == Disturbance::kTurnedAway ||
                             (disturbance_ == Disturbance::kSlow && busy))) {
      return;
    }
    entry.watched_version_ = newest_;
    entry.transfers_.push_back(
        {newest_, now_ + DelayTo(entry, kWatchDelay), {}});
  }

  /// Time until a response arrives that takes this long without a disturbance.
  [[nodiscard]] core::Duration DelayTo(const Entry& entry,
                                       core::Duration usual) const {
    if (entry.disturbed_ && disturbance_ == Disturbance::kDelayed) {
      return kDelayedResponse;
    }
    if (entry.disturbed_ && disturbance_ == Disturbance::kSlow) {
      return kSlowResponse;
    }
    return usual;
  }

  void ReceiveTransfers(Entry& entry) {
    const auto arrived = [this](const Transfer& transfer) {
      return transfer.arrives_at_ <= now_;
    };
    std::vector<Transfer> ended;
    std::ranges::copy_if(entry.transfers_, std::back_inserter(ended), arrived);
    std::erase_if(entry.transfers_, arrived);
    for (const auto& transfer : ended) {
      const bool newer = transfer.version_ > entry.version_;
      if (!transfer.peer_.empty()) {
        entry.peer_selector_->OnFetchEnded(transfer.peer_, newer, now_);
      }
      if (newer) {
        Apply(entry, transfer);
      }
    }
  }

  void Apply(Entry& entry, const Transfer& transfer) {
    entry.version_ = transfer.version_;
    entry.peer_selector_->OnApplied(entry.version_);
    for (const auto& target : TargetsOf(entry, OriginOf(entry, transfer))) {
      Announce(entry, Find(target.id_));
    }
  }

  RulesOrigin OriginOf(const Entry& entry, const Transfer& transfer) {
    if (transfer.peer_.empty()) {
      return RulesOrigin::kStore;
    }
    return Find(transfer.peer_).member_.domain_ == entry.member_.domain_
               ? RulesOrigin::kLocalPeer
               : RulesOrigin::kRemotePeer;
  }

  [[nodiscard]] std::vector<membership::Member> TargetsOf(
      const Entry& entry, RulesOrigin origin) const {
    switch (AnnounceScopeOf(origin, Watches(entry))) {
      case AnnounceScope::kNone:
        return {};
      case AnnounceScope::kLocalDomain:
        return entry.plan_->local_members();
      case AnnounceScope::kAllDomains:
        return entry.plan_->AnnounceTargets(
            membership::DelegateFanout::kDelegatesAndSpare);
    }
    return {};
  }

  void Announce(const Entry& from, Entry& to) {
    const bool local = from.member_.domain_ == to.member_.domain_;
    if (from.version_ > to.version_) {
      to.peer_selector_->OnAnnounced({from.member_.id_, local}, from.version_,
                                     now_);
      FetchFromPeer(to);
    }
  }

  void Gossip(const Entry& entry) {
    const auto& local = entry.plan_->local_members();
    for (std::size_t i = 0; i < kGossipTargets; ++i) {
      Announce(entry, Find(local[random_() % local.size()].id_));
    }
    if (!Watches(entry)) {
      return;
    }
    // The watchers are the delegates, too.
    std::map<core::FailureDomainId, std::vector<core::InstanceId>> remote;
    for (const auto& member : entry.plan_->RemoteDelegates(kKnownRemote)) {
      remote[member.domain_].push_back(member.id_);
    }
    for (const auto& [domain, ids] : remote) {
      Announce(entry, Find(ids[random_() % ids.size()]));
    }
  }

  void FetchFromPeer(Entry& entry) {
    const auto peer = entry.peer_selector_->Next(Watches(entry), now_);
    if (!peer) {
      return;
    }
    const auto& source = Find(*peer);
    const bool local = source.member_.domain_ == entry.member_.domain_;
    entry.transfers_.push_back(
        {source.version_,
         now_ + DelayTo(entry, local ? kLocalFetch : kRemoteFetch), *peer});
  }

  void Measure() {
    for (const auto& entry : entries_) {
      if (!IsExcluded(entry) && entry.version_ < newest_) {
        worst_ = std::max<core::Duration>(
            worst_, now_ - PublishedAt(entry.version_ + 1));
      }
    }
  }

  /// The disturbed entries themselves can't have the rules in time.
  [[nodiscard]] bool IsExcluded(const Entry& entry) const {
    return entry.disturbed_ && disturbance_ != Disturbance::kTurnedAway;
  }

  Entry& Find(const core::InstanceId& id) {
    return *std::ranges::find(
        entries_, id, [](const Entry& entry) { return entry.member_.id_; });
  }

  Disturbance disturbance_;
  core::TimePoint start_{1h};
  core::TimePoint now_{1h};
  std::vector<Entry> entries_;
  std::uint64_t newest_ = 1;
  core::Duration worst_{};
  std::minstd_rand random_{1};
};

TEST_CASE("entries follow neighbours that get a series of rules late",
          "[config]") {
  struct Row {
    std::string name_;
    Deployment deployment_;
    Disturbance disturbance_;
  };
  const auto row = GENERATE(
      Row{"39 entries", {3, 13}, Disturbance::kNone},
      Row{"39 entries, delayed", {3, 13}, Disturbance::kDelayed},
      Row{"39 entries, slow", {3, 13}, Disturbance::kSlow},
      Row{"39 entries, turned away", {3, 13}, Disturbance::kTurnedAway},
      Row{"330 entries, delayed", {5, 66}, Disturbance::kDelayed},
      Row{"330 entries, slow", {5, 66}, Disturbance::kSlow},
      Row{"330 entries, turned away", {5, 66}, Disturbance::kTurnedAway},
      Row{"640 entries, delayed", {10, 64}, Disturbance::kDelayed},
      Row{"640 entries, slow", {10, 64}, Disturbance::kSlow});
  CAPTURE(row.name_);
  const auto worst = Simulation(row.deployment_, row.disturbance_).Run();
  std::cout << "figure rules_series_worst_ms " << row.name_ << ": "
            << worst / 1ms << "\n";
  CHECK(worst <= kBound);
}

}  // namespace
}  // namespace chalkwell::config
