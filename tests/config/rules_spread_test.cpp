// Simulates, in virtual time, how long a change of large rules takes to reach
// all entries of a deployment in which each failure domain shares one link
// to the configuration store and to the other domains.
#include <algorithm>
#include <catch2/catch.hpp>
#include <iostream>
#include <memory>
#include <vector>

#include "chalkwell/config/rules_peer_selector.hpp"
#include "chalkwell/membership/watcher_role.hpp"

namespace chalkwell::config {
namespace {

using namespace std::chrono_literals;

constexpr auto kStep = 5ms;
constexpr auto kTick = 100ms;
constexpr std::uint64_t kNewVersion = 2;
/// Link of a failure domain to the others, 24 Mbit/s, and of an entry, 40
/// Mbit/s.
constexpr double kDomainLinkBytesPerSecond = 3e6;
constexpr double kEntryLinkBytesPerSecond = 5e6;
/// Size of the deflated delta when a third of the document changed, as a share
/// of the document.
constexpr double kDeltaShare = 0.06;

struct Transfer {
  double remaining_bytes_ = 0;
  /// Uses the domain's link.
  bool remote_ = false;
  /// The sending entry; empty for the store.
  core::InstanceId sender_;
};

struct Entry {
  core::InstanceId id_;
  std::size_t domain_ = 0;
  std::unique_ptr<membership::WatcherRole> watcher_role_;
  std::unique_ptr<RulesPeerSelector> peer_selector_;
  std::uint64_t version_ = 1;
  std::vector<Transfer> transfers_;
  bool notified_ = false;
};

/// How entries get a change.
enum class Policy : std::uint8_t {
  /// Each entry fetches the document through its own watch and again when a
  /// peer announces it.
  kAllFetchAndRefetch,
  /// Designated watchers fetch the document; the others fetch deltas from
  /// peers.
  kWatchersAndPeers,
};

class Deployment {
 public:
  Deployment(std::size_t domains, std::size_t entries, double bytes,
             Policy policy)
      : bytes_(bytes), policy_(policy) {
    for (std::size_t domain = 0; domain < domains; ++domain) {
      std::vector<core::InstanceId> ids;
      for (std::size_t i = 0; i < entries; ++i) {
        ids.emplace_back("r" + std::to_string(domain) + "-" +
                         std::to_string(i));
      }
      members_.push_back(membership::WatcherRole::FirstInRank(ids, ids.size()));
      for (const auto& id : members_.back()) {
        Add(id, domain);
      }
    }
  }

  /// @return time until all entries have the change.
  core::Duration Run() {
    for (auto& entry : entries_) {
      if (policy_ == Policy::kAllFetchAndRefetch ||
          entry.watcher_role_->IsWatcher(now_)) {
        entry.transfers_.push_back({bytes_, entry.domain_ != 0, {}});
      }
    }
    const auto start = now_;
    while (std::ranges::any_of(entries_, [](const Entry& entry) {
      return entry.version_ < kNewVersion;
    })) {
      now_ += kStep;
      AdvanceTransfers();
      if ((now_ - start) % kTick == core::Duration{}) {
        std::ranges::for_each(entries_,
                              [this](Entry& entry) { FetchFromPeer(entry); });
      }
      if (now_ - start > 60s) {
        break;
      }
    }
    return now_ - start;
  }

  /// The connections of a domain's watchers stay open but deliver nothing.
  void StallWatch(std::size_t domain) { stalled_domain_ = domain; }

 private:
  void Add(const core::InstanceId& id, std::size_t domain) {
    Entry entry;
    entry.id_ = id;
    entry.domain_ = domain;
    entry.watcher_role_ = std::make_unique<membership::WatcherRole>(id);
    entry.watcher_role_->SetMembers(members_[domain]);
    entry.watcher_role_->OnDocumentReceived(static_cast<std::size_t>(bytes_));
    entry.watcher_role_->OnWatcherAnnounced(members_[domain].front(), now_);
    entry.peer_selector_ = std::make_unique<RulesPeerSelector>(id);
    entry.peer_selector_->OnApplied(1);
    entries_.push_back(std::move(entry));
  }

  Entry& Find(const core::InstanceId& id) {
    return *std::ranges::find(entries_, id, &Entry::id_);
  }

  [[nodiscard]] bool Stalled(const Entry& entry,
                             const Transfer& transfer) const {
    return stalled_domain_ && entry.domain_ == *stalled_domain_ &&
           transfer.sender_.empty();
  }

  void AdvanceTransfers() {
    std::vector<double> transfers_by_domain(members_.size(), 0);
    for (const auto& entry : entries_) {
      for (const auto& transfer : entry.transfers_) {
        transfers_by_domain[entry.domain_] +=
            transfer.remote_ && !Stalled(entry, transfer) ? 1 : 0;
      }
    }
    const double seconds = std::chrono::duration<double>(kStep).count();
    std::vector<core::InstanceId> done;
    for (auto& entry : entries_) {
      for (auto& transfer : entry.transfers_) {
        if (Stalled(entry, transfer)) {
          continue;
        }
        const double entry_rate = kEntryLinkBytesPerSecond;
        const double rate =
            transfer.remote_
                ? std::min(entry_rate, kDomainLinkBytesPerSecond /
                                           transfers_by_domain[entry.domain_])
                : entry_rate;
        transfer.remaining_bytes_ -= rate * seconds;
      }
      const auto ended =
          std::ranges::find_if(entry.transfers_, [](const Transfer& transfer) {
            return transfer.remaining_bytes_ <= 0;
          });
      if (ended != entry.transfers_.end()) {
        if (!ended->sender_.empty()) {
          entry.peer_selector_->OnFetchEnded(ended->sender_, true, now_);
        }
        std::erase_if(entry.transfers_, [](const Transfer& transfer) {
          return transfer.remaining_bytes_ <= 0;
        });
        done.push_back(entry.id_);
      }
    }
    for (const auto& id : done) {
      OnReceived(Find(id));
    }
  }

  void OnReceived(Entry& entry) {
    if (std::exchange(entry.version_, kNewVersion) == kNewVersion) {
      return;
    }
    const bool watches = entry.watcher_role_->IsWatcher(now_);
    entry.peer_selector_->OnApplied(kNewVersion);
    if (policy_ == Policy::kWatchersAndPeers) {
      // Transfers in progress would deliver the same version.
      entry.transfers_.clear();
    }
    if (policy_ == Policy::kWatchersAndPeers && !watches) {
      return;
    }
    for (auto& other : entries_) {
      const bool local = other.domain_ == entry.domain_;
      const auto& priority_order = members_[other.domain_];
      const bool is_designated =
          other.id_ == priority_order[0] || other.id_ == priority_order[1];
      if (other.id_ != entry.id_ && other.version_ < kNewVersion &&
          (policy_ == Policy::kAllFetchAndRefetch || local || is_designated)) {
        Notify(other, entry);
      }
    }
  }

  void Notify(Entry& other, const Entry& entry) {
    if (policy_ == Policy::kAllFetchAndRefetch) {
      if (!std::exchange(other.notified_, true)) {
        other.transfers_.push_back({bytes_, other.domain_ != 0, {}});
      }
      return;
    }
    const bool local = other.domain_ == entry.domain_;
    other.peer_selector_->OnAnnounced({entry.id_, local}, kNewVersion, now_);
    FetchFromPeer(other);
  }

  void FetchFromPeer(Entry& entry) {
    if (policy_ == Policy::kAllFetchAndRefetch) {
      return;
    }
    const auto peer =
        entry.peer_selector_->Next(entry.watcher_role_->IsWatcher(now_), now_);
    if (peer) {
      const bool remote = Find(*peer).domain_ != entry.domain_;
      entry.transfers_.push_back({bytes_ * kDeltaShare, remote, *peer});
    }
  }

  double bytes_;
  Policy policy_;
  core::TimePoint now_{1h};
  /// By domain, each in priority order. The store is in the first domain.
  std::vector<std::vector<core::InstanceId>> members_;
  std::vector<Entry> entries_;
  std::optional<std::size_t> stalled_domain_;
};

TEST_CASE("large rules reach all entries quickly through slow links",
          "[config]") {
  struct Row {
    std::size_t domains_;
    std::size_t entries_;
    double bytes_;
    core::Duration max_duration_;
  };
  const auto row = GENERATE(Row{4, 9, 1.9e6, 1s}, Row{3, 13, 1.9e6, 1s},
                            Row{9, 38, 1.9e6, 1500ms}, Row{3, 3, 60e3, 1s});
  const auto baseline = Deployment(row.domains_, row.entries_, row.bytes_,
                                   Policy::kAllFetchAndRefetch)
                            .Run();
  const auto duration = Deployment(row.domains_, row.entries_, row.bytes_,
                                   Policy::kWatchersAndPeers)
                            .Run();
  std::cout << "figure rules_everywhere_ms " << row.domains_ << " regions of "
            << row.entries_ << " entries, " << row.bytes_ / 1000
            << " KB: " << baseline / 1ms << " -> " << duration / 1ms << "\n";
  CHECK(duration <= row.max_duration_);
  CHECK(duration <= baseline + 10ms);
}

TEST_CASE("a failure domain whose watch is unresponsive gets rules from peers",
          "[config]") {
  Deployment deployment(4, 9, 1.9e6, Policy::kWatchersAndPeers);
  deployment.StallWatch(2);
  // Rules must be active within two seconds.
  CHECK(deployment.Run() < 1500ms);
}

}  // namespace
}  // namespace chalkwell::config
