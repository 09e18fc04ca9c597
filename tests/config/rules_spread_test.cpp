// How long a change of large rules takes to every entry of a deployment whose
// regions each reach the store, and each other, through one link: played in
// simulated time with the decisions of the entries.
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
constexpr std::uint64_t kChange = 2;
/// A link of 24 Mbit/s between regions, and one of 40 Mbit/s of an entry.
constexpr double kRegionBytes = 3e6;
constexpr double kEntryBytes = 5e6;
/// What a changed third of the document deflates to.
constexpr double kDeltaShare = 0.06;

struct Transfer {
  double left_ = 0;
  /// Crosses to another region.
  bool far_ = false;
  /// Whom it is from; empty for the store.
  core::InstanceId from_;
};

struct Entry {
  core::InstanceId id_;
  std::size_t region_ = 0;
  std::unique_ptr<membership::WatcherRole> duty_;
  std::unique_ptr<RulesPeerSelector> catch_up_;
  std::uint64_t version_ = 1;
  std::vector<Transfer> transfers_;
  bool told_ = false;
};

/// What entries do about a change.
enum class Policy : std::uint8_t {
  /// Each takes it by its watch, and once more when it is told of.
  kAllTakeAll,
  /// By duty, and from each other.
  kHandOn,
};

class Deployment {
 public:
  Deployment(std::size_t regions, std::size_t entries, double bytes,
             Policy policy)
      : bytes_(bytes), policy_(policy) {
    for (std::size_t region = 0; region < regions; ++region) {
      std::vector<core::InstanceId> ids;
      for (std::size_t i = 0; i < entries; ++i) {
        ids.emplace_back("r" + std::to_string(region) + "-" +
                         std::to_string(i));
      }
      members_.push_back(membership::WatcherRole::FirstInRank(ids, ids.size()));
      for (const auto& id : members_.back()) {
        Add(id, region);
      }
    }
  }

  /// @return until every entry has the change.
  core::Duration Play() {
    for (auto& entry : entries_) {
      if (policy_ == Policy::kAllTakeAll || entry.duty_->IsWatcher(now_)) {
        entry.transfers_.push_back({bytes_, entry.region_ != 0, {}});
      }
    }
    const auto start = now_;
    while (std::ranges::any_of(entries_, [](const Entry& entry) {
      return entry.version_ < kChange;
    })) {
      now_ += kStep;
      Move();
      if ((now_ - start) % kTick == core::Duration{}) {
        std::ranges::for_each(entries_, [this](Entry& entry) { Ask(entry); });
      }
      if (now_ - start > 60s) {
        break;
      }
    }
    return now_ - start;
  }

  /// A watcher's connection went silent: it brings nothing.
  void SilenceWatch(std::size_t region) { silent_ = region; }

 private:
  void Add(const core::InstanceId& id, std::size_t region) {
    Entry entry;
    entry.id_ = id;
    entry.region_ = region;
    entry.duty_ = std::make_unique<membership::WatcherRole>(id);
    entry.duty_->SetMembers(members_[region]);
    entry.duty_->OnDocumentReceived(static_cast<std::size_t>(bytes_));
    entry.duty_->OnWatcherAnnounced(members_[region].front(), now_);
    entry.catch_up_ = std::make_unique<RulesPeerSelector>(id);
    entry.catch_up_->OnApplied(1, now_);
    entries_.push_back(std::move(entry));
  }

  Entry& Find(const core::InstanceId& id) {
    return *std::ranges::find(entries_, id, &Entry::id_);
  }

  [[nodiscard]] bool Stalled(const Entry& entry,
                             const Transfer& transfer) const {
    return silent_ && entry.region_ == *silent_ && transfer.from_.empty();
  }

  void Move() {
    std::vector<double> crossing(members_.size(), 0);
    for (const auto& entry : entries_) {
      for (const auto& transfer : entry.transfers_) {
        crossing[entry.region_] +=
            transfer.far_ && !Stalled(entry, transfer) ? 1 : 0;
      }
    }
    const double seconds = std::chrono::duration<double>(kStep).count();
    std::vector<core::InstanceId> done;
    for (auto& entry : entries_) {
      for (auto& transfer : entry.transfers_) {
        if (Stalled(entry, transfer)) {
          continue;
        }
        const double own = kEntryBytes;
        const double rate =
            transfer.far_
                ? std::min(own, kRegionBytes / crossing[entry.region_])
                : own;
        transfer.left_ -= rate * seconds;
      }
      const auto ended = std::ranges::find_if(
          entry.transfers_,
          [](const Transfer& transfer) { return transfer.left_ <= 0; });
      if (ended != entry.transfers_.end()) {
        if (!ended->from_.empty()) {
          entry.catch_up_->OnFetchEnded(ended->from_, true, now_);
        }
        std::erase_if(entry.transfers_, [](const Transfer& transfer) {
          return transfer.left_ <= 0;
        });
        done.push_back(entry.id_);
      }
    }
    for (const auto& id : done) {
      Take(Find(id));
    }
  }

  void Take(Entry& entry) {
    if (std::exchange(entry.version_, kChange) == kChange) {
      return;
    }
    const bool watches = entry.duty_->IsWatcher(now_);
    entry.catch_up_->OnApplied(kChange, now_);
    if (policy_ == Policy::kHandOn) {
      // What is still on its way is known.
      entry.transfers_.clear();
    }
    if (policy_ == Policy::kHandOn && !watches) {
      return;
    }
    for (auto& other : entries_) {
      const bool near = other.region_ == entry.region_;
      const auto& ranked = members_[other.region_];
      const bool first = other.id_ == ranked[0] || other.id_ == ranked[1];
      if (other.id_ != entry.id_ && other.version_ < kChange &&
          (policy_ == Policy::kAllTakeAll || near || first)) {
        Tell(other, entry);
      }
    }
  }

  void Tell(Entry& other, const Entry& entry) {
    if (policy_ == Policy::kAllTakeAll) {
      if (!std::exchange(other.told_, true)) {
        other.transfers_.push_back({bytes_, other.region_ != 0, {}});
      }
      return;
    }
    const bool near = other.region_ == entry.region_;
    other.catch_up_->OnAnnounced({entry.id_, near}, kChange, now_);
    Ask(other);
  }

  void Ask(Entry& entry) {
    if (policy_ == Policy::kAllTakeAll) {
      return;
    }
    const auto peer = entry.catch_up_->Next(entry.duty_->IsWatcher(now_), now_);
    if (peer) {
      const bool far = Find(*peer).region_ != entry.region_;
      entry.transfers_.push_back({bytes_ * kDeltaShare, far, *peer});
    }
  }

  double bytes_;
  Policy policy_;
  core::TimePoint now_{1h};
  /// By region; the store is in the first. In rank.
  std::vector<std::vector<core::InstanceId>> members_;
  std::vector<Entry> entries_;
  std::optional<std::size_t> silent_;
};

TEST_CASE("large rules reach every entry through thin links", "[config]") {
  struct Row {
    std::size_t regions_;
    std::size_t entries_;
    double bytes_;
    core::Duration most_;
  };
  const auto row = GENERATE(Row{4, 9, 1.9e6, 1s}, Row{3, 13, 1.9e6, 1s},
                            Row{9, 38, 1.9e6, 1500ms}, Row{3, 3, 60e3, 1s});
  const auto before =
      Deployment(row.regions_, row.entries_, row.bytes_, Policy::kAllTakeAll)
          .Play();
  const auto after =
      Deployment(row.regions_, row.entries_, row.bytes_, Policy::kHandOn)
          .Play();
  std::cout << "figure rules_everywhere_ms " << row.regions_ << " regions of "
            << row.entries_ << " entries, " << row.bytes_ / 1000
            << " KB: " << before / 1ms << " -> " << after / 1ms << "\n";
  CHECK(after <= row.most_);
  CHECK(after <= before + 10ms);
}

TEST_CASE("a region whose watch is silent hears of rules from others",
          "[config]") {
  Deployment deployment(4, 9, 1.9e6, Policy::kHandOn);
  deployment.SilenceWatch(2);
  // Rules are to be in force after two seconds at the latest.
  CHECK(deployment.Play() < 1500ms);
}

}  // namespace
}  // namespace chalkwell::config
